//! Nodes that take up published objects after a number of questions, or refuse them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use alderhaven_core::config_object::ObjectKey;
use alderhaven_core::ids::{IncarnationNumber, StoreVersion};
use alderhaven_core::node_status::{NodeRole, NodeState, NodeStatus, ObjectStatus};
use alderhaven_ctl::node_probe::{NodeProbe, ProbeError, ProbeResult};
use serde_json::Value;

/// A `NodeBehaviour` is how a fake node takes up what is published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeBehaviour {
    /// It has every version in force from that question on, counted from 0.
    InForceAfter(u32),
    /// It refuses every version.
    Refuses,
    /// It does not answer.
    Silent,
}

/// The `FakeNodes` answer by their behaviour; the version that they report is the newest possible.
pub struct FakeNodes {
    behaviours: BTreeMap<SocketAddr, NodeBehaviour>,
    asked: Mutex<BTreeMap<SocketAddr, u32>>,
}

impl FakeNodes {
    /// Returns nodes with these behaviours.
    pub fn new(behaviours: &[NodeBehaviour]) -> Self {
        Self {
            behaviours: behaviours
                .iter()
                .enumerate()
                .map(|(index, behaviour)| (address(index), *behaviour))
                .collect(),
            asked: Mutex::default(),
        }
    }

    /// Gets the operator addresses.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.behaviours.keys().copied().collect()
    }

    /// Gets how often a node was asked.
    pub fn asked(&self, index: usize) -> u32 {
        let asked = self.asked.lock().expect("no test panics with the lock");
        asked.get(&address(index)).copied().unwrap_or_default()
    }
}

fn address(index: usize) -> SocketAddr {
    let port = 9000 + u16::try_from(index).expect("few nodes");
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl NodeProbe for FakeNodes {
    async fn status(&self, node: SocketAddr, keys: &[ObjectKey]) -> ProbeResult<NodeStatus> {
        let question = {
            let mut asked = self.asked.lock().expect("no test panics with the lock");
            let count = asked.entry(node).or_default();
            *count += 1;
            *count - 1
        };
        let (version, errors) = match self.behaviours[&node] {
            NodeBehaviour::Silent => return Err(ProbeError::new("connection refused")),
            NodeBehaviour::Refuses => (u64::MAX, vec!["weight: refused".to_owned()]),
            NodeBehaviour::InForceAfter(after) if question >= after => (u64::MAX, Vec::new()),
            NodeBehaviour::InForceAfter(_) => (0, Vec::new()),
        };
        let objects = keys
            .iter()
            .map(|key| ObjectStatus {
                key: key.clone(),
                version: StoreVersion(version),
                errors: errors.clone(),
            })
            .collect();
        Ok(NodeStatus {
            node: format!("entry-{}", node.port())
                .parse()
                .expect("it is a name"),
            role: NodeRole::Entry,
            domain: "accra-a".parse().expect("it is a name"),
            incarnation: IncarnationNumber(1),
            state: NodeState::Serving,
            store_version: StoreVersion(version),
            objects,
            rejected: errors.len(),
        })
    }

    async fn dump(&self, _node: SocketAddr) -> ProbeResult<Value> {
        Ok(serde_json::json!({ "members": ["entry-9000"] }))
    }

    async fn drain(&self, _node: SocketAddr) -> ProbeResult<()> {
        Ok(())
    }
}
