//! Probes nodes until published versions are in force on all of them.
//!
//! A node reports the store revision up to which every change is in force, and the objects that it
//! rejected. It has a publication in force once that revision reaches the published version.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use alderhaven_core::config_object::ObjectKey;
use alderhaven_core::ids::NodeId;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::node_probe::NodeProbe;
use crate::node_status::NodeStatus;

/// Bounds the connections that the operator's host opens at a time, one for each probed node.
const MAX_CONCURRENT_PROBES: usize = 64;
/// The default of [`WaitOptions::poll_interval`].
pub const DEFAULT_POLL_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// The default of [`WaitOptions::limit`]. Changes are due on all nodes within 9 s; a node that
/// restarts meanwhile needs longer.
pub const DEFAULT_WAIT_LIMIT: TimeSpan = TimeSpan::from_secs(30);

/// How long and how often nodes are probed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitOptions {
    /// The pause between rounds of probes.
    pub poll_interval: TimeSpan,
    /// The time after which the wait ends; zero probes each node once.
    pub limit: TimeSpan,
}

impl Default for WaitOptions {
    fn default() -> Self {
        Self {
            poll_interval: DEFAULT_POLL_INTERVAL,
            limit: DEFAULT_WAIT_LIMIT,
        }
    }
}

/// The lowest version of an object that nodes should have in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct WantedVersion {
    /// The published object.
    pub key: ObjectKey,
    /// The object's version in the store, 0 if it is absent.
    pub version: StoreVersion,
}

/// The state of one node relative to the wanted versions.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "progress", rename_all = "snake_case")]
pub enum NodeProgress {
    /// The node has all wanted versions, or later ones, in force.
    InForce,
    /// The node has only changes up to an earlier store revision in force.
    Behind {
        /// That revision; `None` if the node has no configuration yet.
        revision: Option<StoreVersion>,
    },
    /// The node rejects a wanted version and keeps earlier content in force.
    Rejected {
        /// The rejected object.
        key: ObjectKey,
        /// The node's reasons.
        errors: Vec<String>,
    },
    /// The probe failed, or the node has not been probed yet.
    Silent {
        /// The error of the probe.
        reason: String,
    },
}

/// The latest known state of one node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct NodeReport {
    /// The operator address that is probed.
    pub address: SocketAddr,
    /// The node's name; `None` if it has never answered.
    pub node: Option<NodeId>,
    /// Flattened into the JSON of the report.
    #[serde(flatten)]
    pub progress: NodeProgress,
}

/// The latest known state of all nodes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct InForceReport {
    /// In the order of the configured addresses.
    pub nodes: Vec<NodeReport>,
}

impl NodeProgress {
    /// Compares a node's status with the wanted versions; a rejection takes precedence.
    #[must_use]
    pub fn evaluate(status: &NodeStatus, wanted: &[WantedVersion]) -> Self {
        for expected in wanted {
            let key = expected.key.to_string();
            let rejected = status
                .config
                .rejected
                .iter()
                .filter(|rejected| rejected.key == key)
                .find(|rejected| rejected.version.in_era(rejected.era) >= expected.version);
            if let Some(rejected) = rejected {
                return Self::Rejected {
                    key: expected.key.clone(),
                    errors: rejected.errors.clone(),
                };
            }
        }
        let revision = status.config.revision;
        let version = revision.map(|revision| revision.in_era(status.config.era));
        // Every change up to the revision is in force, so comparing the newest version suffices.
        let newest = wanted.iter().map(|expected| expected.version).max();
        if newest.is_none() || version >= newest {
            Self::InForce
        } else {
            Self::Behind { revision }
        }
    }
}

impl InForceReport {
    /// Counts the nodes that have all wanted versions in force.
    #[must_use]
    pub fn in_force_count(&self) -> usize {
        self.nodes
            .iter()
            .filter(|report| report.progress == NodeProgress::InForce)
            .count()
    }

    /// Returns `true` if all wanted versions are in force on every node.
    #[must_use]
    pub fn is_in_force_everywhere(&self) -> bool {
        self.in_force_count() == self.nodes.len()
    }

    /// Returns `true` if waiting longer is pointless: every node either has all wanted versions in
    /// force or rejects one.
    #[must_use]
    pub fn is_final(&self) -> bool {
        self.nodes.iter().all(|report| {
            matches!(
                report.progress,
                NodeProgress::InForce | NodeProgress::Rejected { .. }
            )
        })
    }
}

impl fmt::Display for InForceReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "in force on {} of {}",
            self.in_force_count(),
            self.nodes.len()
        )?;
        let lagging = self
            .nodes
            .iter()
            .filter(|report| report.progress != NodeProgress::InForce);
        for report in lagging {
            write!(formatter, "\n  {report}")?;
        }
        Ok(())
    }
}

impl fmt::Display for NodeReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.node {
            Some(node) => write!(formatter, "{node} ({}): ", self.address)?,
            None => write!(formatter, "{}: ", self.address)?,
        }
        match &self.progress {
            NodeProgress::InForce => formatter.write_str("in force"),
            NodeProgress::Behind {
                revision: Some(revision),
            } => write!(formatter, "lags at revision {revision}"),
            NodeProgress::Behind { revision: None } => {
                formatter.write_str("lags: has no configuration yet")
            }
            NodeProgress::Rejected { key, errors } => {
                write!(formatter, "refuses {key}: {}", errors.join("; "))
            }
            NodeProgress::Silent { reason } => write!(formatter, "does not answer: {reason}"),
        }
    }
}

/// Probes the nodes in rounds until the report is final or the time limit has passed.
///
/// Nodes that have all wanted versions in force are not probed again. `on_progress` is called after
/// each round.
pub async fn wait_until_in_force<P: NodeProbe>(
    probe: &Arc<P>,
    nodes: &[SocketAddr],
    wanted: &[WantedVersion],
    options: WaitOptions,
    mut on_progress: impl FnMut(&InForceReport),
) -> InForceReport {
    let deadline = Instant::now() + options.limit.as_duration();
    let mut report = InForceReport {
        nodes: nodes
            .iter()
            .map(|node| NodeReport::unprobed(*node))
            .collect(),
    };
    loop {
        probe_lagging(probe, wanted, &mut report).await;
        on_progress(&report);
        if report.is_final() || Instant::now() >= deadline {
            return report;
        }
        tokio::time::sleep(options.poll_interval.as_duration()).await;
    }
}

impl NodeReport {
    fn unprobed(address: SocketAddr) -> Self {
        Self {
            address,
            node: None,
            progress: NodeProgress::Silent {
                reason: "not probed yet".to_owned(),
            },
        }
    }
}

async fn probe_lagging<P: NodeProbe>(
    probe: &Arc<P>,
    wanted: &[WantedVersion],
    report: &mut InForceReport,
) {
    let lagging: Vec<(usize, SocketAddr)> = report
        .nodes
        .iter()
        .enumerate()
        .filter(|(_, report)| report.progress != NodeProgress::InForce)
        .map(|(index, report)| (index, report.address))
        .collect();
    for batch in lagging.chunks(MAX_CONCURRENT_PROBES) {
        let mut probes = JoinSet::new();
        for (index, address) in batch.iter().copied() {
            let probe = Arc::clone(probe);
            probes.spawn(async move { (index, probe.status(address).await) });
        }
        while let Some(Ok((index, answer))) = probes.join_next().await {
            let node = &mut report.nodes[index];
            node.progress = match answer {
                Ok(status) => {
                    node.node = Some(status.node.clone());
                    NodeProgress::evaluate(&status, wanted)
                }
                Err(error) => NodeProgress::Silent {
                    reason: error.reason,
                },
            };
        }
    }
}
