//! The settings of an entry.

use std::net::SocketAddr;

use alderhaven_core::errors::Error;
use alderhaven_core::ids::{FailureDomain, HostId, NodeId};
use alderhaven_core::program::CheckedSettings;
use alderhaven_core::quantities::ByteSize;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::admission::AdmissionOptions;
use alderhaven_policy::claim_options::ClaimOptions;
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_policy::quarantine::QuarantineOptions;
use serde::{Deserialize, Serialize};

use crate::link_options::LinkOptions;
use crate::replica_board::BoardOptions;

/// The least and the greatest limit on a body.
const BODY_RANGE: (ByteSize, ByteSize) = (ByteSize::from_kib(1), ByteSize::from_kib(1024));
/// The least and the greatest limit on a head; hyper needs 8 KB at least.
const HEAD_RANGE: (ByteSize, ByteSize) = (ByteSize::from_kib(8), ByteSize::from_kib(256));

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
    pub listen: SocketAddr,
    /// The address for operators (metrics, dump).
    pub operator_listen: SocketAddr,
    /// The address for other processes of the system.
    pub peer_listen: SocketAddr,
    /// The platform's object API and host list.
    pub platform: SocketAddr,
    /// The relays that are known from the start.
    #[serde(default)]
    pub relays: Vec<SocketAddr>,
    /// Peers to learn from at the start.
    #[serde(default)]
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
    /// The choices of replicas, hedges and retries.
    #[serde(default)]
    pub choices: BoardOptions,
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

impl CheckedSettings for EntrySettings {
    fn check(&self) -> Vec<Error> {
        let mut errors = self.quarantine.check();
        if !(BODY_RANGE.0..=BODY_RANGE.1).contains(&self.limits.body) {
            errors.push(Error::invalid(
                "limits.body",
                format!(
                    "{} is refused: allowed is {} to {}",
                    self.limits.body, BODY_RANGE.0, BODY_RANGE.1
                ),
            ));
        }
        if !(HEAD_RANGE.0..=HEAD_RANGE.1).contains(&self.limits.head) {
            errors.push(Error::invalid(
                "limits.head",
                format!(
                    "{} is refused: allowed is {} to {}",
                    self.limits.head, HEAD_RANGE.0, HEAD_RANGE.1
                ),
            ));
        }
        if self.limits.caller_connections == 0 {
            errors.push(Error::invalid(
                "limits.caller_connections",
                "0 is refused: allowed is 1 or more",
            ));
        }
        if self.limits.read_timeout == TimeSpan::ZERO {
            errors.push(Error::invalid(
                "limits.read_timeout",
                "0us is refused: allowed is above 0",
            ));
        }
        if self.links.ping_every == TimeSpan::ZERO {
            errors.push(Error::invalid(
                "links.ping_every",
                "0us is refused: allowed is above 0",
            ));
        }
        errors.extend(self.claims.check());
        errors
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
