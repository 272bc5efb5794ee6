//! Services that the requests of a route go to.

use serde::{Deserialize, Serialize};

use crate::shard_set_id::ShardSetId;

/// How a route chooses among its services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteDestination {
    /// Any target of the service answers.
    Service(String),
    /// Any target of one service answers. The service is chosen by weight.
    Split(Vec<WeightedService>),
    /// Scatter-gather: one target of each service answers, and the records are merged.
    Shards {
        /// Services, each holding one shard.
        services: Vec<String>,
        /// Number of records in a merged answer.
        records: usize,
        /// Smallest fraction of the shards that is enough for an answer.
        min_coverage: f64,
    },
}

/// One service of a weighted split.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other services of the split.
    pub weight: f64,
}

impl RouteDestination {
    /// Returns the id of the shard set, or `None` if a request goes to a single service.
    #[must_use]
    pub fn shard_set_id(&self) -> Option<ShardSetId> {
        match self {
            Self::Shards { services, .. } => Some(ShardSetId::of_services(services)),
            Self::Service(_) | Self::Split(_) => None,
        }
    }

    /// Iterates over all services that a request may go to.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let (one, split, shards) = match self {
            Self::Service(service) => (Some(service), [].as_slice(), [].as_slice()),
            Self::Split(parts) => (None, parts.as_slice(), [].as_slice()),
            Self::Shards { services, .. } => (None, [].as_slice(), services.as_slice()),
        };
        let split = split.iter().map(|part| &part.service);
        one.into_iter()
            .chain(split)
            .chain(shards)
            .map(String::as_str)
    }
}
