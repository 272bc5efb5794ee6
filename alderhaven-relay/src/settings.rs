//! The settings of a relay.

use std::net::SocketAddr;

use alderhaven_core::errors::Error;
use alderhaven_core::ids::{FailureDomain, HostId, NodeId};
use alderhaven_core::program::CheckedSettings;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::connection_health::HealthOptions;
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_policy::quarantine::QuarantineOptions;
use alderhaven_policy::relay_queue::RelayQueueOptions;
use alderhaven_policy::target_limit::TargetLimitOptions;
use serde::{Deserialize, Serialize};

use crate::lane_options::LaneOptions;

/// A `RelaySettings` is the content of a relay's settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// The relay's own id.
    pub node: NodeId,
    /// The host that the relay runs on.
    pub host: HostId,
    /// The failure domain of the host.
    pub domain: FailureDomain,
    /// The address for other processes of the system; port 0 takes a free one.
    pub peer_listen: SocketAddr,
    /// The address for operators (metrics, dump).
    pub operator_listen: SocketAddr,
    /// The platform's object API and host list.
    pub platform: SocketAddr,
    /// Peers to learn from at the start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The limits.
    #[serde(default)]
    pub limits: RelayLimits,
    /// The queues before targets.
    #[serde(default)]
    pub queue: RelayQueueOptions,
    /// The limits of attempts at a time.
    #[serde(default)]
    pub limit: TargetLimitOptions,
    /// The refusal of requests that crash targets.
    #[serde(default)]
    pub quarantine: QuarantineOptions,
    /// The look-out for silent connections.
    #[serde(default)]
    pub health: HealthOptions,
    /// The decisions to run; `baseline` is for comparisons only.
    #[serde(default)]
    pub policy: PolicyKind,
    /// The least severe level that is logged.
    #[serde(default = "default_log_level")]
    pub log_level: log::LevelFilter,
}

/// A `RelayLimits` bounds what others can make the relay hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayLimits {
    /// The most connections from entries.
    pub peer_connections: usize,
    /// The time within which a connection to a target is made.
    pub connect_timeout: TimeSpan,
}

impl RelaySettings {
    /// Gets the settings of the lanes.
    #[must_use]
    pub fn lane_options(&self) -> LaneOptions {
        LaneOptions {
            policy: self.policy,
            queue: self.queue.clone(),
            limit: self.limit.clone(),
            health: HealthOptions {
                enabled: self.health.enabled && self.policy == PolicyKind::Current,
                ..self.health.clone()
            },
            connect_timeout: self.limits.connect_timeout,
        }
    }
}

impl CheckedSettings for RelaySettings {
    fn check(&self) -> Vec<Error> {
        let mut errors = self.quarantine.check();
        if self.limits.peer_connections == 0 {
            errors.push(Error::invalid(
                "limits.peer_connections",
                "0 is refused: allowed is 1 or more",
            ));
        }
        if self.limits.connect_timeout == TimeSpan::ZERO {
            errors.push(Error::invalid(
                "limits.connect_timeout",
                "0us is refused: allowed is above 0",
            ));
        }
        errors
    }
}

impl Default for RelayLimits {
    fn default() -> Self {
        Self {
            peer_connections: 1024,
            connect_timeout: TimeSpan::from_millis(500),
        }
    }
}

const fn default_log_level() -> log::LevelFilter {
    log::LevelFilter::Info
}
