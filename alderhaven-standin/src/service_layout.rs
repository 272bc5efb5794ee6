//! Layouts of services over targets, with those of the two supported deployments.

use std::fmt;
use std::str::FromStr;

use alderhaven_core::errors::{Error, Result};
use alderhaven_core::ids::{FailureDomain, IndexVersion, ServiceName, ShardId, TargetId};
use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::service_time::ServiceTime;

/// Number of keys, of four decimal digits, that are divided evenly among the shards.
const KEY_SPACE_SIZE: u32 = 10_000;

/// How a service is spread over targets, and their capacity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceLayout {
    /// Name of the service.
    pub service: ServiceName,
    /// How many shards the data has.
    pub shards: u32,
    /// Number of targets that hold each shard.
    pub replicas: u32,
    /// Attempts that a target runs concurrently.
    pub slots: u32,
    /// Connections that a target accepts; further ones are closed.
    pub connections: u32,
    /// Attempts that may wait for a slot at a target before it sheds.
    #[serde(rename = "queue")]
    pub max_queue_length: u32,
    /// Delay of the first reply on a new connection.
    pub connect_cost: TimeSpan,
    /// Failure domains among which the replicas of a shard are spread.
    pub domains: Vec<FailureDomain>,
    /// Index version of all shards.
    pub version: IndexVersion,
    /// Distribution of the run times.
    pub service_time: ServiceTime,
}

/// Deployments with a predefined set of services.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeploymentKind {
    /// Four services in four failure domains.
    Volta,
    /// Four services in three failure domains.
    Lagerblik,
}

impl FromStr for DeploymentKind {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "volta" => Ok(Self::Volta),
            "lagerblik" => Ok(Self::Lagerblik),
            _ => Err(Error::parse("deployment", text, "volta or lagerblik")),
        }
    }
}

impl fmt::Display for DeploymentKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Volta => "volta",
            Self::Lagerblik => "lagerblik",
        })
    }
}

impl Default for ServiceLayout {
    fn default() -> Self {
        build_layout("sample", (4, 2, 2, 25, 6), &["domain-1", "domain-2"])
    }
}

impl DeploymentKind {
    /// Returns the layouts of all services of the deployment.
    #[must_use]
    pub fn layouts(self) -> Vec<ServiceLayout> {
        const VOLTA_DOMAINS: [&str; 4] = ["accra-1", "accra-2", "accra-3", "accra-4"];
        const LAGERBLIK_DOMAINS: [&str; 3] = ["sjaelland-1", "sjaelland-2", "sjaelland-3"];
        match self {
            Self::Volta => vec![
                build_layout("assignment-desk", (20, 2, 2, 25, 6), &VOLTA_DOMAINS),
                build_layout("trade-portal", (30, 2, 2, 25, 6), &VOLTA_DOMAINS),
                build_layout("record-view", (1, 4, 4, 100, 1), &VOLTA_DOMAINS),
                build_layout("billing-ledger", (1, 4, 4, 100, 1), &VOLTA_DOMAINS),
            ],
            Self::Lagerblik => vec![
                build_layout("shortage-desk", (20, 2, 2, 25, 6), &LAGERBLIK_DOMAINS),
                build_layout("stock-intake", (30, 2, 2, 25, 6), &LAGERBLIK_DOMAINS),
                build_layout("inspector-lookup", (1, 10, 3, 40, 1), &LAGERBLIK_DOMAINS),
                build_layout("monthly-statistics", (1, 5, 3, 40, 1), &LAGERBLIK_DOMAINS),
            ],
        }
    }
}

/// `sizes` are shards, replicas, slots, connections and the milliseconds of a new connection.
fn build_layout(
    service: &str,
    sizes: (u32, u32, u32, u32, u64),
    domains: &[&str],
) -> ServiceLayout {
    let (shards, replicas, slots, connections, connect_ms) = sizes;
    ServiceLayout {
        service: parse_literal(service),
        shards,
        replicas,
        slots,
        connections,
        max_queue_length: 2 * slots,
        connect_cost: TimeSpan::from_millis(connect_ms),
        domains: domains.iter().copied().map(parse_literal).collect(),
        version: IndexVersion(1),
        service_time: ServiceTime::default(),
    }
}

impl ServiceLayout {
    /// Derives the target name of a shard's replica.
    ///
    /// # Errors
    /// `Error::Parse` where the name is too long.
    pub fn target_id(&self, shard: u32, replica: u32) -> Result<TargetId> {
        format!("{}-{shard}-{replica}", self.service).parse()
    }

    /// Assigns replicas to failure domains in turn, so that those of one shard differ.
    #[must_use]
    pub fn domain(&self, shard: u32, replica: u32) -> FailureDomain {
        let index = (shard + replica) as usize % self.domains.len().max(1);
        self.domains
            .get(index)
            .cloned()
            .unwrap_or_else(|| parse_literal("domain-1"))
    }

    /// Returns the lower bound of a shard's key range; empty for the first shard.
    #[must_use]
    pub fn first_key(&self, shard: ShardId) -> String {
        if shard.0 == 0 {
            return String::new();
        }
        format!("{:04}", shard.0 * KEY_SPACE_SIZE / self.shards.max(1))
    }

    /// Validates the counts.
    ///
    /// # Errors
    /// `Error::Invalid` for a count that is zero or too large.
    pub fn check(&self) -> Result<()> {
        let counts = [
            ("shards", self.shards, alderhaven_core::manifest::MAX_SHARDS),
            ("replicas", self.replicas, 64),
            ("slots", self.slots, 1_000),
            ("connections", self.connections, 10_000),
        ];
        for (field, count, max) in counts {
            if count == 0 || count as usize > max {
                return Err(Error::invalid(
                    format!("{}.{field}", self.service),
                    format!("{count} is refused: allowed is 1 to {max}"),
                ));
            }
        }
        Ok(())
    }
}

/// Parses a constant of this file, which must be a valid name.
fn parse_literal<T: FromStr>(text: &str) -> T
where
    T::Err: fmt::Debug,
{
    text.parse()
        .expect("the constants of this file are valid names")
}
