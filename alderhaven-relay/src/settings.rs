//! The settings of a relay.

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
use alderhaven_policy::quarantine::QuarantineOptions;
use alderhaven_policy::relay_queue::RelayQueueOptions;
use alderhaven_policy::target_limit::TargetLimitOptions;
use serde::{Deserialize, Serialize};

use crate::dispatch_options::DispatchOptions;

/// The most connections that may be allowed, as many as a process can have descriptors for.
const MAX_PEER_CONNECTIONS: usize = 65_536;
/// The most waiting attempts a target that may be allowed; each holds about a kilobyte.
const MAX_QUEUED_JOBS: usize = 65_536;
/// The least and the greatest time that a setting may hold.
const TIME_RANGE: RangeInclusive<TimeSpan> = TimeSpan::from_millis(1)..=TimeSpan::from_secs(60);

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
    #[serde(deserialize_with = "settings::address")]
    pub peer_listen: SocketAddr,
    /// The address for operators (metrics, dump).
    #[serde(deserialize_with = "settings::address")]
    pub operator_listen: SocketAddr,
    /// The platform's object API and host list.
    #[serde(deserialize_with = "settings::address")]
    pub platform: SocketAddr,
    /// The address for gossip and exchange with the other processes; without it the relay takes no
    /// part in the group.
    #[serde(default)]
    pub gossip_listen: Option<SocketAddr>,
    /// The gossip addresses of peers to learn from at the start.
    #[serde(default, deserialize_with = "settings::addresses")]
    pub seeds: Vec<SocketAddr>,
    /// The limits.
    #[serde(default)]
    pub limits: RelayLimits,
    /// The planned stop.
    #[serde(default = "default_stop")]
    pub stop: DrainOptions,
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

/// No answer names a relay, so it is not kept up for one.
fn default_stop() -> DrainOptions {
    DrainOptions {
        directory_lifetime: TimeSpan::ZERO,
        ..DrainOptions::default()
    }
}
