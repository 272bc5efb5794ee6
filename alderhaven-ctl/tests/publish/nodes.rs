//! Nodes that take up published objects after a number of questions, or refuse them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use alderhaven_core::ids::{IncarnationNumber, StoreVersion};
use alderhaven_ctl::node_probe::{NodeProbe, ProbeError, ProbeResult};
use alderhaven_ctl::node_status::{ConfigStatus, NodeStatus, RejectedStatus};
use serde_json::Value;

/// A `NodeBehaviour` is how a fake node takes up what is published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeBehavior {
    /// It has every version in force from that question on, counted from 0.
    InForceAfter(u32),
    /// It refuses every version of the team `publishers`.
    Refuses,
    /// It does not answer.
    Silent,
}

/// The `FakeNodes` answer by their behavior; the version that they report is the newest possible.
pub struct FakeNodes {
    behaviors: BTreeMap<SocketAddr, NodeBehavior>,
    probe_counts: Mutex<BTreeMap<SocketAddr, u32>>,
}

impl FakeNodes {
    /// Returns nodes with these behaviors.
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

    /// Gets the operator addresses.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.behaviors.keys().copied().collect()
    }

    /// Gets how often a node was probed.
    pub fn probe_count(&self, index: usize) -> u32 {
        let probe_counts = self
            .probe_counts
            .lock()
            .expect("no test panics with the lock");
        probe_counts
            .get(&node_address(index))
            .copied()
            .unwrap_or_default()
    }
}

fn node_address(index: usize) -> SocketAddr {
    let port = 9000 + u16::try_from(index).expect("few nodes");
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl NodeProbe for FakeNodes {
    async fn status(&self, node: SocketAddr) -> ProbeResult<NodeStatus> {
        let earlier_probes = {
            let mut probe_counts = self
                .probe_counts
                .lock()
                .expect("no test panics with the lock");
            let count = probe_counts.entry(node).or_default();
            *count += 1;
            *count - 1
        };
        let revision = match self.behaviors[&node] {
            NodeBehavior::Silent => return Err(ProbeError::new("connection refused")),
            NodeBehavior::InForceAfter(after) if earlier_probes < after => None,
            NodeBehavior::InForceAfter(_) | NodeBehavior::Refuses => Some(StoreVersion(u64::MAX)),
        };
        let is_rejecting = self.behaviors[&node] == NodeBehavior::Refuses;
        let rejected = RejectedStatus {
            key: "team/publishers".to_owned(),
            version: StoreVersion(u64::MAX),
            errors: vec!["weight: refused".to_owned()],
        };
        Ok(NodeStatus {
            node: format!("entry-{}", node.port())
                .parse()
                .expect("it is a name"),
            role: "entry".to_owned(),
            domain: "accra-a".parse().ok(),
            incarnation: Some(IncarnationNumber(1)),
            state: None,
            config: ConfigStatus {
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
