//! Fake nodes that apply published objects after a number of probes, reject them or don't answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use alderhaven_core::ids::IncarnationNumber;
use alderhaven_core::ids::StoreEra;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_ctl::node_probe::{NodeProbe, ProbeError, ProbeResult};
use alderhaven_ctl::node_status::{ConfigStatus, NodeStatus, RejectedStatus};
use serde_json::Value;

/// How a fake node reacts to publications.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeBehavior {
    /// Has every version in force after this many probes.
    InForceAfter(u32),
    /// Rejects every version of the team `publishers`.
    Rejects,
    /// Does not answer.
    Silent,
}

/// Nodes that answer by their behavior and report the highest possible revision.
pub struct FakeNodes {
    behaviors: BTreeMap<SocketAddr, NodeBehavior>,
    probe_counts: Mutex<BTreeMap<SocketAddr, u32>>,
}

impl FakeNodes {
    /// Returns one node for each behavior, on consecutive ports.
    pub fn new(behaviors: &[NodeBehavior]) -> Self {
        Self {
            behaviors: behaviors
                .iter()
                .enumerate()
                .map(|(index, behavior)| (node_address(index), *behavior))
                .collect(),
            probe_counts: Mutex::default(),
        }
    }

    /// Gets the operator addresses in the order of the behaviors.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.behaviors.keys().copied().collect()
    }

    /// Counts the status probes of the node at `index`.
    pub fn probe_count(&self, index: usize) -> u32 {
        let probe_counts = self
            .probe_counts
            .lock()
            .expect("no test panics while it holds the lock");
        probe_counts
            .get(&node_address(index))
            .copied()
            .unwrap_or_default()
    }
}

fn node_address(index: usize) -> SocketAddr {
    let port = 9000 + u16::try_from(index).expect("the index fits into a port number");
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl NodeProbe for FakeNodes {
    async fn status(&self, node: SocketAddr) -> ProbeResult<NodeStatus> {
        let earlier_probes = {
            let mut probe_counts = self
                .probe_counts
                .lock()
                .expect("no test panics while it holds the lock");
            let count = probe_counts.entry(node).or_default();
            *count += 1;
            *count - 1
        };
        let revision = match self.behaviors[&node] {
            NodeBehavior::Silent => return Err(ProbeError::new("connection refused")),
            NodeBehavior::InForceAfter(after) if earlier_probes < after => None,
            NodeBehavior::InForceAfter(_) | NodeBehavior::Rejects => {
                Some(StoreVersion::of_revision(u64::MAX))
            }
        };
        let is_rejecting = self.behaviors[&node] == NodeBehavior::Rejects;
        let rejected = RejectedStatus {
            era: StoreEra::default(),
            key: "team/publishers".to_owned(),
            version: StoreVersion::of_revision(u64::MAX),
            errors: vec!["weight: refused".to_owned()],
        };
        Ok(NodeStatus {
            node: format!("entry-{}", node.port())
                .parse()
                .expect("the name is valid"),
            role: "entry".to_owned(),
            domain: "accra-a".parse().ok(),
            incarnation: Some(IncarnationNumber(1)),
            state: None,
            config: ConfigStatus {
                era: StoreEra::default(),
                revision,
                rejected: is_rejecting.then_some(rejected).into_iter().collect(),
            },
        })
    }

    async fn dump(&self, _node: SocketAddr) -> ProbeResult<Value> {
        Ok(serde_json::json!({ "members": ["entry-9000"] }))
    }

    async fn drain(&self, _node: SocketAddr) -> ProbeResult<()> {
        Ok(())
    }
}
