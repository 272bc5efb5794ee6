//! The workload of a run: services, routes and kinds of requests.

use std::fmt;
use std::time::Duration;

use alderhaven_core::time::TimeSpan;
use alderhaven_platform_standin::store_fixtures;
use serde::Serialize;
use serde_json::Value;

use crate::soak_history::ConfigRecord;
use crate::soak_team::SoakTeam;

/// The number of records in a merged answer.
pub const MERGED_RECORDS: usize = 10;
/// The smallest share of the shards that a merged answer must cover.
pub const MIN_SHARD_SHARE: f64 = 0.5;
/// The most targets of a shard that may run the same request.
pub const MAX_TARGETS_PER_SHARD: usize = 2;
/// The names of the failure domains.
pub const DOMAINS: [&str; 2] = ["a", "b"];
/// The number of targets of a service: one per failure domain.
pub const REPLICAS_PER_SERVICE: usize = DOMAINS.len();

/// Returns the id of a target of a service in a failure domain; `number` counts the targets started
/// there.
#[must_use]
pub fn target_id(service: &str, domain: &str, number: usize) -> String {
    format!("{service}.{domain}{number}")
}

/// Extracts the failure domain from a target id of the form of [`target_id`].
#[must_use]
pub fn target_domain(target: &str) -> &str {
    let (_, domain_and_number) = target.rsplit_once('.').unwrap_or_default();
    domain_and_number.trim_end_matches(|character: char| character.is_ascii_digit())
}

/// A way to divide the index into shards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ShardSet {
    /// Six shards, `old-0` to `old-5`.
    #[default]
    Old,
    /// Eight shards, `new-0` to `new-7`.
    New,
}

impl ShardSet {
    /// Returns the names of the services, one per shard.
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

    /// Returns the set that a reshard switches to.
    #[must_use]
    pub const fn other(self) -> Self {
        match self {
            Self::Old => Self::New,
            Self::New => Self::Old,
        }
    }
}

/// The service that answers requests for single records.
pub const RECORD_SERVICE: &str = "records";
/// The service that runs non-idempotent requests.
pub const ORDER_SERVICE: &str = "orders";

/// The path prefix of orders that take seconds.
pub const LONG_ORDER_PREFIX: &str = "/order/long/";

/// The kind of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// Merges the greatest records of all shards; idempotent.
    #[serde(rename = "sweep")]
    FanOut,
    /// Reads one record; idempotent.
    Record,
    /// Places an order, which must run at most once.
    Order,
    /// Places an order that takes seconds, on the route of the other orders.
    LongOrder,
    /// Reads one record over the route that this configuration version added; idempotent.
    #[serde(rename = "mark")]
    VersionRoute(u64),
}

impl RequestKind {
    /// Returns the path and query of the request with this id.
    #[must_use]
    pub fn path(self, request_id: &str) -> String {
        match self {
            Self::FanOut => format!("/sweep/{request_id}?all=1"),
            Self::Record => format!("/record/{request_id}"),
            Self::Order => format!("/order/{request_id}"),
            Self::LongOrder => format!("{LONG_ORDER_PREFIX}{request_id}"),
            Self::VersionRoute(version) => format!("/mark-{version}/{request_id}"),
        }
    }

    /// Returns the HTTP method.
    #[must_use]
    pub const fn method(self) -> &'static str {
        match self {
            Self::Order | Self::LongOrder => "POST",
            _ => "GET",
        }
    }

    /// Returns true if the request may run more than once.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        !matches!(self, Self::Order | Self::LongOrder)
    }

    /// Returns the timeout that the caller announces.
    #[must_use]
    pub const fn timeout(self) -> TimeSpan {
        match self {
            Self::FanOut => TimeSpan::from_millis(1_500),
            Self::LongOrder => TimeSpan::from_millis(6_000),
            _ => TimeSpan::from_millis(3_000),
        }
    }

    /// Returns true if the route of the request is open to callers without a key, in a run with teams.
    #[must_use]
    pub const fn is_open(self) -> bool {
        matches!(self, Self::VersionRoute(_))
    }

    /// Returns the base service time, which each target varies by a random factor.
    #[must_use]
    pub const fn base_service_time(self) -> Duration {
        match self {
            Self::FanOut => Duration::from_millis(5),
            Self::LongOrder => Duration::from_millis(1_500),
            _ => Duration::from_millis(30),
        }
    }

    /// Returns the services that may receive the request under a configuration with these shards.
    #[must_use]
    pub fn services(self, shards: ShardSet) -> Vec<String> {
        match self {
            Self::FanOut => shards.services(),
            Self::Record | Self::VersionRoute(_) => vec![RECORD_SERVICE.to_owned()],
            Self::Order | Self::LongOrder => vec![ORDER_SERVICE.to_owned()],
        }
    }
}

impl fmt::Display for RequestKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FanOut => formatter.write_str("sweep"),
            Self::Record => formatter.write_str("record"),
            Self::Order => formatter.write_str("order"),
            Self::LongOrder => formatter.write_str("long order"),
            Self::VersionRoute(version) => write!(formatter, "mark {version}"),
        }
    }
}

/// Returns true if requests for the path crash each target that runs them.
#[must_use]
pub fn crashes_targets(path: &str) -> bool {
    path.contains("/crash-")
}

/// Returns the names of all services, of both shard sets.
#[must_use]
pub fn all_services() -> Vec<String> {
    let mut services = ShardSet::Old.services();
    services.extend(ShardSet::New.services());
    services.push(RECORD_SERVICE.to_owned());
    services.push(ORDER_SERVICE.to_owned());
    services
}

/// Builds the configuration document that the operator writes to the store.
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
        let route = store_fixtures::path_route(&name, &format!("/{name}/"), "safe", RECORD_SERVICE);
        if config.teams.is_empty() {
            route
        } else {
            store_fixtures::open_route(route)
        }
    }));
    let services = all_services();
    let services: Vec<&str> = services.iter().map(String::as_str).collect();
    let document = store_fixtures::config(config.version, &routes, &services);
    if config.teams.is_empty() {
        return document;
    }
    let teams: Vec<Value> = config.teams.iter().map(SoakTeam::to_json).collect();
    store_fixtures::with_teams(document, &teams)
}
