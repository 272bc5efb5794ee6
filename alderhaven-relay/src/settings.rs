//! Settings of a relay and the check of their values.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use alderhaven_core::errors::Error;
use alderhaven_core::ids::{FailureDomain, HostId, NodeId};
use alderhaven_core::settings;
use alderhaven_core::startup::CheckedSettings;
use alderhaven_core::time::TimeSpan;
use alderhaven_core::value_check::ValueCheck;
use alderhaven_node::process_main::ProcessSettings;
use alderhaven_policy::connection_health::HealthOptions;
use alderhaven_policy::drain::DrainOptions;
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_policy::quarantine_options::QuarantineOptions;
use alderhaven_policy::relay_queue::RelayQueueOptions;
use alderhaven_policy::target_limit::TargetLimitOptions;
use serde::{Deserialize, Serialize};

use crate::dispatch_options::DispatchOptions;

/// Upper limit of `limits.peer_connections`; each connection holds a file descriptor.
const MAX_PEER_CONNECTIONS: usize = 65_536;
/// Upper limit of `queue.max_jobs`, which bounds the memory of a target's queue.
const MAX_QUEUED_JOBS: usize = 65_536;
/// Range of the time settings.
const TIME_RANGE: RangeInclusive<TimeSpan> = TimeSpan::from_millis(1)..=TimeSpan::from_secs(60);

/// Contents of a relay's settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Identifies the relay across restarts.
    pub node: NodeId,
    /// Host that the relay runs on.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: FailureDomain,
    /// Listen address for other processes of the system; port 0 selects a free port.
    #[serde(deserialize_with = "settings::address")]
    pub peer_listen: SocketAddr,
    /// Listen address for operators: metrics, state dump, status and shutdown.
    #[serde(deserialize_with = "settings::address")]
    pub operator_listen: SocketAddr,
    /// Address of the platform's object API and host list.
    #[serde(deserialize_with = "settings::address")]
    pub platform: SocketAddr,
    /// Address for gossip (UDP) and exchange (TCP). Without it, the relay does not join the group.
    #[serde(default)]
    pub gossip_listen: Option<SocketAddr>,
    /// Gossip addresses of members to join through.
    #[serde(default, deserialize_with = "settings::addresses")]
    pub seeds: Vec<SocketAddr>,
    /// Limits on the connections.
    #[serde(default)]
    pub limits: RelayLimits,
    /// Time spans of the graceful shutdown.
    #[serde(default = "default_stop")]
    pub stop: DrainOptions,
    /// Queues of the targets.
    #[serde(default)]
    pub queue: RelayQueueOptions,
    /// Concurrency limits of the targets.
    #[serde(default)]
    pub limit: TargetLimitOptions,
    /// Quarantine of requests that crash targets.
    #[serde(default)]
    pub quarantine: QuarantineOptions,
    /// Detection of silent connections.
    #[serde(default)]
    pub health: HealthOptions,
    /// Policy that decides; `baseline` is for comparisons only.
    #[serde(default)]
    pub policy: PolicyKind,
    /// Least severe level that is logged.
    #[serde(default = "default_log_level")]
    pub log_level: log::LevelFilter,
}

/// Limits on the relay's connections.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayLimits {
    /// Maximum number of connections from entries.
    pub peer_connections: usize,
    /// Longest time to open a connection to a target.
    pub connect_timeout: TimeSpan,
}

impl RelaySettings {
    /// Returns the settings of the dispatchers; the baseline policy does not detect silent
    /// connections.
    #[must_use]
    pub fn dispatch_options(&self) -> DispatchOptions {
        DispatchOptions {
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

impl ProcessSettings for RelaySettings {
    fn platform(&self) -> SocketAddr {
        self.platform
    }

    fn log_level(&self) -> log::LevelFilter {
        self.log_level
    }
}

impl CheckedSettings for RelaySettings {
    fn check(&self) -> Vec<Error> {
        let mut check = ValueCheck::default();
        check.within(
            "limits.peer_connections",
            &self.limits.peer_connections,
            &(1..=MAX_PEER_CONNECTIONS),
        );
        check.within(
            "limits.connect_timeout",
            &self.limits.connect_timeout,
            &TIME_RANGE,
        );
        check.within("queue.max_wait", &self.queue.max_wait, &TIME_RANGE);
        check.within(
            "queue.max_jobs",
            &self.queue.max_jobs,
            &(1..=MAX_QUEUED_JOBS),
        );
        check.within(
            "queue.aged_every",
            &self.queue.aged_start_interval,
            &(1..=1_000),
        );
        check.within(
            "queue.long_factor",
            &self.queue.long_job_factor,
            &(1.0..=1e3),
        );
        check.within(
            "limit.fall_factor",
            &self.limit.decrease_factor,
            &(0.1..=1.0),
        );
        check.within(
            "limit.growth_factor",
            &self.limit.slowdown_factor,
            &(1.0..=1e3),
        );
        self.quarantine.check(&mut check);
        check.within("health.factor", &self.health.silence_factor, &(1.0..=1e3));
        check.within("health.min_silence", &self.health.min_silence, &TIME_RANGE);
        check.within(
            "health.probe_timeout",
            &self.health.probe_timeout,
            &TIME_RANGE,
        );
        check.finish()
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

/// Returns the default shutdown of a relay, which does not wait for cached answers to expire: no
/// answer to a caller names a relay.
fn default_stop() -> DrainOptions {
    DrainOptions {
        directory_lifetime: TimeSpan::ZERO,
        ..DrainOptions::default()
    }
}
