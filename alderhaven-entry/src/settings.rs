//! Settings of an entry.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use alderhaven_core::errors::Error;
use alderhaven_core::ids::{FailureDomain, HostId, NodeId};
use alderhaven_core::quantities::ByteSize;
use alderhaven_core::settings;
use alderhaven_core::startup::CheckedSettings;
use alderhaven_core::time::TimeSpan;
use alderhaven_core::value_check::ValueCheck;
use alderhaven_node::process_main::ProcessSettings;
use alderhaven_policy::admission::AdmissionOptions;
use alderhaven_policy::claim_options::ClaimOptions;
use alderhaven_policy::drain::DrainOptions;
use alderhaven_policy::entry_answer::AnswerOptions;
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_policy::quarantine_options::QuarantineOptions;
use serde::{Deserialize, Serialize};

use crate::link_options::LinkOptions;
use crate::replica_selector::SelectorOptions;

/// Allowed range of the body limit.
const BODY_RANGE: RangeInclusive<ByteSize> = ByteSize::from_kib(1)..=ByteSize::from_kib(1024);
/// Allowed range of the head limit. hyper requires at least 8 KB.
const HEAD_RANGE: RangeInclusive<ByteSize> = ByteSize::from_kib(8)..=ByteSize::from_kib(256);
/// Allowed range of the memory for bodies or answers: four of the largest bodies, up to what a host may have.
const HELD_RANGE: RangeInclusive<ByteSize> =
    ByteSize::from_kib(4 << 10)..=ByteSize::from_kib(64 << 20);
/// Largest allowed connection limit; each connection holds a file descriptor.
const MAX_CONNECTIONS: usize = 65_536;
/// Largest allowed limit on queued queries, each of which holds a few kilobytes.
const MAX_WAITING_QUERIES: usize = 65_536;
/// Allowed range of time settings.
const TIME_RANGE: RangeInclusive<TimeSpan> = TimeSpan::from_millis(1)..=TimeSpan::from_secs(60);

/// Content of an entry's settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Id of this entry.
    pub node: NodeId,
    /// Host on which the entry runs.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: FailureDomain,
    /// Address for callers. Port 0 selects a free port.
    #[serde(deserialize_with = "settings::address")]
    pub listen: SocketAddr,
    /// Address for operators: metrics, state dump and drain.
    #[serde(deserialize_with = "settings::address")]
    pub operator_listen: SocketAddr,
    /// Address for outcome queries of other entries.
    #[serde(deserialize_with = "settings::address")]
    pub peer_listen: SocketAddr,
    /// Address of the platform's object API and host list.
    #[serde(deserialize_with = "settings::address")]
    pub platform: SocketAddr,
    /// Addresses of relays, used while the group knows none.
    #[serde(default, deserialize_with = "settings::addresses")]
    pub relays: Vec<SocketAddr>,
    /// Address for gossip and exchange with other processes. Without it, the entry has no group and
    /// uses only the relays in its settings.
    #[serde(default)]
    pub gossip_listen: Option<SocketAddr>,
    /// Gossip addresses of the first peers to contact.
    #[serde(default, deserialize_with = "settings::addresses")]
    pub seeds: Vec<SocketAddr>,
    /// Limits on callers' connections and requests.
    #[serde(default)]
    pub limits: EntryLimits,
    /// Admission control.
    #[serde(default)]
    pub admission: AdmissionOptions,
    /// Ledger of non-idempotent requests.
    #[serde(default)]
    pub claims: ClaimOptions,
    /// Answers to callers that request the list of entries.
    #[serde(default)]
    pub answers: AnswerOptions,
    /// Graceful shutdown.
    #[serde(default)]
    pub stop: DrainOptions,
    /// Replica choice, hedges and retries.
    #[serde(default)]
    pub choices: SelectorOptions,
    /// Quarantine of requests that crash targets.
    #[serde(default)]
    pub quarantine: QuarantineOptions,
    /// Connections to relays.
    #[serde(default)]
    pub links: LinkOptions,
    /// Set of policies to use. `baseline` is meant for comparison only.
    #[serde(default)]
    pub policy: PolicyKind,
    /// Lowest severity that is logged.
    #[serde(default = "default_log_level")]
    pub log_level: log::LevelFilter,
}

/// Limits on the resources that callers can use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryLimits {
    /// Largest body of a request.
    pub body: ByteSize,
    /// Largest head of a request: the request line and all headers.
    pub head: ByteSize,
    /// Bodies that are held at the same time. Heads may use half as much besides.
    pub held_bodies: ByteSize,
    /// Answers that callers have yet to take.
    pub held_answers: ByteSize,
    /// Maximum number of open connections from callers.
    pub caller_connections: usize,
    /// Time limit for receiving the head, and for receiving the body, of a request.
    pub read_timeout: TimeSpan,
}

impl EntrySettings {
    /// Returns the settings of the relay connections. The baseline policy never replaces a silent
    /// one.
    #[must_use]
    pub fn link_options(&self) -> LinkOptions {
        match self.policy {
            PolicyKind::Current => self.links,
            PolicyKind::Baseline => LinkOptions {
                max_silence: TimeSpan::ZERO,
                ..self.links
            },
        }
    }
}

impl ProcessSettings for EntrySettings {
    fn platform(&self) -> SocketAddr {
        self.platform
    }

    fn log_level(&self) -> log::LevelFilter {
        self.log_level
    }
}

impl CheckedSettings for EntrySettings {
    fn check(&self) -> Vec<Error> {
        let mut check = ValueCheck::default();
        let limits = &self.limits;
        check.within("limits.body", &limits.body, &BODY_RANGE);
        check.within("limits.head", &limits.head, &HEAD_RANGE);
        check.within("limits.held_bodies", &limits.held_bodies, &HELD_RANGE);
        check.within("limits.held_answers", &limits.held_answers, &HELD_RANGE);
        check.within(
            "limits.caller_connections",
            &limits.caller_connections,
            &(1..=MAX_CONNECTIONS),
        );
        check.within("limits.read_timeout", &limits.read_timeout, &TIME_RANGE);
        self.check_admission(&mut check);
        self.check_choices(&mut check);
        self.quarantine.check(&mut check);
        check.within("links.ping_every", &self.links.ping_every, &TIME_RANGE);
        let mut errors = check.finish();
        if self.stop.directory_lifetime < self.answers.ttl {
            errors.push(Error::invalid(
                "stop.address_life",
                format!(
                    "{} is refused: allowed is answers.ttl ({}) or more, since callers cache an address for that long",
                    self.stop.directory_lifetime, self.answers.ttl
                ),
            ));
        }
        errors.extend(self.claims.check());
        errors
    }
}

impl EntrySettings {
    fn check_admission(&self, check: &mut ValueCheck) {
        let admission = &self.admission;
        let shares = [
            ("wait_share", admission.wait_share),
            ("lower_wait_share", admission.lower_wait_share),
            ("give_up_share", admission.queue_timeout_share),
        ];
        for (name, share) in shares {
            check.within(&format!("admission.{name}"), &share, &(0.0..=1.0));
        }
        check.within("admission.max_wait", &admission.max_wait, &TIME_RANGE);
        check.within(
            "admission.max_waiting",
            &admission.max_waiting,
            &(1..=MAX_WAITING_QUERIES),
        );
    }

    fn check_choices(&self, check: &mut ValueCheck) {
        let hedging = &self.choices.hedging;
        let shares = [
            ("hedging.quantile", hedging.quantile),
            ("hedging.budget", hedging.budget),
            ("hedging.max_refused", hedging.max_refused_share),
            ("retries.budget", self.choices.retries.retries_per_attempt),
        ];
        for (name, share) in shares {
            check.within(&format!("choices.{name}"), &share, &(0.0..=1.0));
        }
    }
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            body: ByteSize::from_kib(64),
            head: ByteSize::from_kib(16),
            held_bodies: ByteSize::from_kib(8 << 10),
            held_answers: ByteSize::from_kib(16 << 10),
            caller_connections: 4096,
            read_timeout: TimeSpan::from_secs(10),
        }
    }
}

const fn default_log_level() -> log::LevelFilter {
    log::LevelFilter::Info
}
