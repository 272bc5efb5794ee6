//! What a node tells operators of itself at `GET /v1/status` of its operator address.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::config_object::ObjectKey;
use crate::ids::{FailureDomain, IncarnationNumber, NodeId, StoreVersion};

/// A `NodeStatus` is the state of one node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node.
    pub node: NodeId,
    /// What the node does.
    pub role: NodeRole,
    /// The failure domain that the node runs in.
    pub domain: FailureDomain,
    /// The number of the node's start.
    pub incarnation: IncarnationNumber,
    /// Whether the node stays.
    pub state: NodeState,
    /// The highest store version that the node has heard of.
    pub store_version: StoreVersion,
    /// The objects that the request asked about and the node has heard of.
    #[serde(default)]
    pub objects: Vec<ObjectStatus>,
    /// The number of objects that do not check; earlier contents of them stay in force.
    #[serde(default)]
    pub rejected: usize,
}

/// A `NodeRole` says what a node does.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeRole {
    /// The node serves callers.
    Entry,
    /// The node holds connections to targets.
    Relay,
}

impl fmt::Display for NodeRole {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Entry => "entry",
            Self::Relay => "relay",
        })
    }
}

/// A `NodeState` says whether a node stays.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// The node has started and does not serve yet.
    Starting,
    /// The node serves.
    Serving,
    /// The node drains: it finishes its work and stops.
    Draining,
}

impl fmt::Display for NodeState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Draining => "draining",
        })
    }
}

/// An `ObjectStatus` is what a node holds of one configuration object.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ObjectStatus {
    /// The object.
    pub key: ObjectKey,
    /// The newest version that the node has heard of.
    pub version: StoreVersion,
    /// What is wrong with that version; empty where it is in force.
    #[serde(default)]
    pub errors: Vec<String>,
}
