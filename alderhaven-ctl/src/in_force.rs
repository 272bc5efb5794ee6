//! Whether publications are in force on all nodes, and who lags.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use alderhaven_core::config_object::ObjectKey;
use alderhaven_core::ids::{NodeId, StoreVersion};
use alderhaven_core::time::TimeSpan;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::node_probe::NodeProbe;
use crate::node_status::NodeStatus;

/// The most nodes that are asked at a time: the operator's host makes one connection for each.
const MAX_CONCURRENT_PROBES: usize = 64;
/// The default pause between rounds.
pub const DEFAULT_POLL_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// The default wait. The users ask for 9 s; a node that restarts meanwhile needs some more.
pub const DEFAULT_WAIT_LIMIT: TimeSpan = TimeSpan::from_secs(30);

/// The `WaitOptions` say how long and how often nodes are asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitOptions {
    /// The pause between rounds.
    pub poll_interval: TimeSpan,
    /// The time after which the wait ends; zero asks once.
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

/// A `WantedVersion` is a version of an object that nodes should have in force, or a later one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct WantedVersion {
    /// The object.
    pub key: ObjectKey,
    /// The version.
    pub version: StoreVersion,
}

/// A `NodeProgress` says how far a node is.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "progress", rename_all = "snake_case")]
pub enum NodeProgress {
    /// All wanted versions, or later ones, are in force.
    InForce,
    /// Changes up to an earlier revision of the store are in force, or none.
    Behind {
        /// The revision.
        revision: Option<StoreVersion>,
    },
    /// The node refuses the content and keeps an earlier one.
    Rejected {
        /// The object.
        key: ObjectKey,
        /// What the node finds wrong with it.
        errors: Vec<String>,
    },
    /// The node does not answer.
    Silent {
        /// Why.
        reason: String,
    },
}

/// A `NodeReport` is the progress of one node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct NodeReport {
    /// The operator address.
    pub address: SocketAddr,
    /// The node's name, where it ever answered.
    pub node: Option<NodeId>,
    /// How far it is.
    #[serde(flatten)]
    pub progress: NodeProgress,
}

/// An `InForceReport` is the progress of all nodes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct InForceReport {
    /// The nodes in the order in which they were given.
    pub nodes: Vec<NodeReport>,
}

impl NodeProgress {
    /// Judges a node by its status.
    #[must_use]
    pub fn evaluate(status: &NodeStatus, wanted: &[WantedVersion]) -> Self {
        for expected in wanted {
            let key = expected.key.to_string();
            let rejected = status
                .config
                .rejected
                .iter()
                .find(|rejected| rejected.key == key && rejected.version >= expected.version);
            if let Some(rejected) = rejected {
                return Self::Rejected {
                    key: expected.key.clone(),
                    errors: rejected.errors.clone(),
                };
            }
        }
        let revision = status.config.revision;
        // Every change up to the revision is in force, so the newest wanted version decides.
        let newest = wanted.iter().map(|expected| expected.version).max();
        if newest.is_none() || revision >= newest {
            Self::InForce
        } else {
            Self::Behind { revision }
        }
    }
}

impl InForceReport {
    /// Gets the number of nodes with everything in force.
    #[must_use]
    pub fn in_force_count(&self) -> usize {
        self.nodes
            .iter()
            .filter(|report| report.progress == NodeProgress::InForce)
            .count()
    }

    /// Returns true where everything is in force on every node.
    #[must_use]
    pub fn is_in_force_everywhere(&self) -> bool {
        self.in_force_count() == self.nodes.len()
    }

    /// Returns true where more waiting changes nothing: every node that lags refuses the content.
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

/// Asks the nodes until everything is in force everywhere, waiting is of no use or the time is up.
///
/// A node that has everything in force is not asked again. `on_progress` is called after each round.
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
            .map(|node| NodeReport::unasked(*node))
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
    fn unasked(address: SocketAddr) -> Self {
        Self {
            address,
            node: None,
            progress: NodeProgress::Silent {
                reason: "not asked yet".to_owned(),
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
