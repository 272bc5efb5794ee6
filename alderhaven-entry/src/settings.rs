//! The settings of an entry.

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
use alderhaven_policy::quarantine::QuarantineOptions;
use serde::{Deserialize, Serialize};

use crate::link_options::LinkOptions;
use crate::replica_selector::SelectorOptions;

/// The least and the greatest limit on a body.
const BODY_RANGE: RangeInclusive<ByteSize> = ByteSize::from_kib(1)..=ByteSize::from_kib(1024);
/// The least and the greatest limit on a head; hyper needs 8 KB at least.
const HEAD_RANGE: RangeInclusive<ByteSize> = ByteSize::from_kib(8)..=ByteSize::from_kib(256);
/// The most connections that may be allowed, as many as a process can have descriptors for.
const MAX_CONNECTIONS: usize = 65_536;
/// The most waiting queries that may be allowed; each holds a few kilobytes.
const MAX_WAITING_QUERIES: usize = 65_536;
/// The least and the greatest time that a setting may hold.
const TIME_RANGE: RangeInclusive<TimeSpan> = TimeSpan::from_millis(1)..=TimeSpan::from_secs(60);

/// An `EntrySettings` is the content of an entry's settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The entry's own id.
    pub node: NodeId,
    /// The host that the entry runs on.
    pub host: HostId,
    /// The failure domain of the host.
    pub domain: FailureDomain,
    /// The address for callers; port 0 takes a free one.
    #[serde(deserialize_with = "settings::address")]
    pub listen: SocketAddr,
    /// The address for operators (metrics, dump).
    #[serde(deserialize_with = "settings::address")]
    pub operator_listen: SocketAddr,
    /// The address for other processes of the system.
    #[serde(deserialize_with = "settings::address")]
    pub peer_listen: SocketAddr,
    /// The platform's object API and host list.
    #[serde(deserialize_with = "settings::address")]
    pub platform: SocketAddr,
    /// The relays that are known from the start.
    #[serde(default, deserialize_with = "settings::addresses")]
    pub relays: Vec<SocketAddr>,
    /// The address for gossip and exchange with the other processes; without it the entry knows
    /// only the relays that the settings name.
    #[serde(default)]
    pub gossip_listen: Option<SocketAddr>,
    /// The gossip addresses of peers to learn from at the start.
    #[serde(default, deserialize_with = "settings::addresses")]
    pub seeds: Vec<SocketAddr>,
    /// The limits.
    #[serde(default)]
    pub limits: EntryLimits,
    /// The admission of queries.
    #[serde(default)]
    pub admission: AdmissionOptions,
    /// The ledger of non-idempotent requests.
    #[serde(default)]
    pub claims: ClaimOptions,
    /// The answers that tell callers which entries to use.
    #[serde(default)]
    pub answers: AnswerOptions,
    /// The planned stop.
    #[serde(default)]
    pub stop: DrainOptions,
    /// The choices of replicas, hedges and retries.
    #[serde(default)]
    pub choices: SelectorOptions,
    /// The refusal of requests that crash targets.
    #[serde(default)]
    pub quarantine: QuarantineOptions,
    /// The links to relays.
    #[serde(default)]
    pub links: LinkOptions,
    /// The decisions to run; `baseline` is for comparisons only.
    #[serde(default)]
    pub policy: PolicyKind,
    /// The least severe level that is logged.
    #[serde(default = "default_log_level")]
    pub log_level: log::LevelFilter,
}

/// An `EntryLimits` bounds what a caller can make the entry hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryLimits {
    /// The largest body of a request.
    pub body: ByteSize,
    /// The largest head of a request: its line and all headers.
    pub head: ByteSize,
    /// The most open connections from callers.
    pub caller_connections: usize,
    /// The time within which a request must have come in.
    pub read_timeout: TimeSpan,
}

impl EntrySettings {
    /// Gets the settings of the links; the baseline policy replaces none.
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
                    "{} is refused: allowed is answers.ttl ({}) or more, for callers keep an address that long",
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
            caller_connections: 4096,
            read_timeout: TimeSpan::from_secs(10),
        }
    }
}

const fn default_log_level() -> log::LevelFilter {
    log::LevelFilter::Info
}
