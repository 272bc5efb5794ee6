//! Where the requests of a route go.

use serde::{Deserialize, Serialize};

use crate::shard_set_id::ShardSetId;

/// A `RouteDestination` is the service, or the services, of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteDestination {
    /// One server of a service answers.
    Service(String),
    /// One server of one of the services answers; they are dealt requests by weight.
    Split(Vec<WeightedService>),
    /// One server of each service answers, and the answers are merged.
    Shards {
        /// The services; each holds one shard.
        services: Vec<String>,
        /// The records of a merged answer.
        records: usize,
        /// The least share of the shards that makes an answer.
        min_coverage: f64,
    },
}

/// A `WeightedService` is a service with its weight in a split.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// The service.
    pub service: String,
    /// Its weight against the others.
    pub weight: f64,
}

impl RouteDestination {
    /// Gets the set of shards; none where a request goes to one service.
    #[must_use]
    pub fn shard_set_id(&self) -> Option<ShardSetId> {
        match self {
            Self::Shards { services, .. } => Some(ShardSetId::of_services(services)),
            Self::Service(_) | Self::Split(_) => None,
        }
    }

    /// Gets all services that a request may go to.
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
