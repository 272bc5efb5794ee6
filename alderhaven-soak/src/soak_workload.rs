//! The site of a run: its services, routes and requests.

use std::fmt;
use std::time::Duration;

use alderhaven_core::time::TimeSpan;
use alderhaven_platform_standin::store_fixtures;
use serde::Serialize;
use serde_json::Value;

use crate::soak_history::ConfigRecord;

/// The records in a merged answer.
pub const MERGED_RECORDS: usize = 10;
/// The least share of the shards that a merged answer holds.
pub const MIN_SHARD_SHARE: f64 = 0.5;
/// The most targets that a request is sent to, a shard.
pub const MAX_TARGETS_PER_SHARD: usize = 2;
/// The failure domains.
pub const DOMAINS: [&str; 2] = ["a", "b"];
/// The targets of a service, one a domain.
pub const REPLICAS_PER_SERVICE: usize = DOMAINS.len();

/// Gets the id of a target of a service in a failure domain, in its `life`-th process.
#[must_use]
pub fn target_id(service: &str, domain: &str, life: usize) -> String {
    format!("{service}.{domain}{life}")
}

/// Gets the failure domain of a target by its id.
#[must_use]
pub fn target_domain(target: &str) -> &str {
    let (_, position) = target.rsplit_once('.').unwrap_or_default();
    position.trim_end_matches(|letter: char| letter.is_ascii_digit())
}

/// A `ShardSet` is one of the sets of shards that the index can be cut into.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ShardSet {
    /// Six shards.
    #[default]
    Old,
    /// Eight others.
    New,
}

impl ShardSet {
    /// Gets the services of the shards.
    #[must_use]
    pub fn services(self) -> Vec<String> {
        let (name, count) = match self {
            Self::Old => ("old", 6),
            Self::New => ("new", 8),
        };
        (0..count)
            .map(|number| format!("{name}-{number}"))
            .collect()
    }

    /// Gets the other set.
    #[must_use]
    pub const fn other(self) -> Self {
        match self {
            Self::Old => Self::New,
            Self::New => Self::Old,
        }
    }
}

/// The service of requests for single records.
pub const RECORD_SERVICE: &str = "records";
/// The service of requests that may run once only.
pub const ORDER_SERVICE: &str = "orders";

/// A `RequestKind` is what a caller asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// The greatest records of all shards.
    #[serde(rename = "sweep")]
    FanOut,
    /// One record; idempotent.
    Record,
    /// An order, which may run once at most.
    Order,
    /// A request on the route that a version of the configuration added.
    #[serde(rename = "mark")]
    VersionRoute(u64),
}

impl RequestKind {
    /// Gets the path of the request with this id.
    #[must_use]
    pub fn path(self, request_id: &str) -> String {
        match self {
            Self::FanOut => format!("/sweep/{request_id}?all=1"),
            Self::Record => format!("/record/{request_id}"),
            Self::Order => format!("/order/{request_id}"),
            Self::VersionRoute(version) => format!("/mark-{version}/{request_id}"),
        }
    }

    /// Gets the method.
    #[must_use]
    pub const fn method(self) -> &'static str {
        match self {
            Self::Order => "POST",
            _ => "GET",
        }
    }

    /// Returns true where it may run more than once.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        !matches!(self, Self::Order)
    }

    /// Gets how long a caller waits.
    #[must_use]
    pub const fn timeout(self) -> TimeSpan {
        match self {
            Self::FanOut => TimeSpan::from_millis(1_500),
            _ => TimeSpan::from_millis(3_000),
        }
    }

    /// Gets how long a target works on it, on average.
    #[must_use]
    pub const fn mean_service_time(self) -> Duration {
        match self {
            Self::FanOut => Duration::from_millis(5),
            _ => Duration::from_millis(30),
        }
    }

    /// Gets the services that it may be sent to under a configuration with these shards.
    #[must_use]
    pub fn services(self, shards: ShardSet) -> Vec<String> {
        match self {
            Self::FanOut => shards.services(),
            Self::Record | Self::VersionRoute(_) => vec![RECORD_SERVICE.to_owned()],
            Self::Order => vec![ORDER_SERVICE.to_owned()],
        }
    }
}

impl fmt::Display for RequestKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FanOut => formatter.write_str("sweep"),
            Self::Record => formatter.write_str("record"),
            Self::Order => formatter.write_str("order"),
            Self::VersionRoute(version) => write!(formatter, "mark {version}"),
        }
    }
}

/// Gets all services of the site.
#[must_use]
pub fn all_services() -> Vec<String> {
    let mut services = ShardSet::Old.services();
    services.extend(ShardSet::New.services());
    services.push(RECORD_SERVICE.to_owned());
    services.push(ORDER_SERVICE.to_owned());
    services
}

/// Returns the text of a configuration as the operator writes it.
#[must_use]
pub fn config_json(config: &ConfigRecord) -> Value {
    let shards = config.shards.services();
    let shards: Vec<&str> = shards.iter().map(String::as_str).collect();
    let mut routes = vec![
        store_fixtures::gather_route(&shards, MIN_SHARD_SHARE, MERGED_RECORDS),
        store_fixtures::path_route("record", "/record/", "safe", RECORD_SERVICE),
        store_fixtures::path_route("order", "/order/", "unsafe", ORDER_SERVICE),
    ];
    routes.extend(config.version_routes.iter().map(|version| {
        let name = format!("mark-{version}");
        store_fixtures::path_route(&name, &format!("/{name}/"), "safe", RECORD_SERVICE)
    }));
    let services = all_services();
    let services: Vec<&str> = services.iter().map(String::as_str).collect();
    store_fixtures::config(config.version, &routes, &services)
}
