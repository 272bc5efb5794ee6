//! What a node tells operators of itself at its operator address, as far as `alderctl` reads it.

use std::fmt;

use alderhaven_core::ids::{FailureDomain, IncarnationNumber, NodeId, StoreVersion};
use serde::{Deserialize, Serialize};

/// A `NodeStatus` is the state of one node; members that a node does not tell are none.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node.
    pub node: NodeId,
    /// What the node does, `entry` or `relay`.
    pub role: String,
    /// The failure domain that the node runs in.
    #[serde(default)]
    pub domain: Option<FailureDomain>,
    /// The number of the node's start.
    #[serde(default)]
    pub incarnation: Option<IncarnationNumber>,
    /// Whether the node stays.
    #[serde(default)]
    pub state: Option<String>,
    /// How far the node's configuration is.
    pub config: ConfigStatus,
}

/// A `ConfigStatus` says which configuration a node has in force.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// The store's revision up to which every change is in force, none before the first list.
    pub revision: Option<StoreVersion>,
    /// The objects that do not check; earlier contents of them stay in force.
    #[serde(default)]
    pub rejected: Vec<RejectedStatus>,
}

/// A `RejectedStatus` is an object that a node refuses.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RejectedStatus {
    /// The object's key as text.
    pub key: String,
    /// The version that is refused.
    pub version: StoreVersion,
    /// Everything that is wrong with it.
    pub errors: Vec<String>,
}

impl fmt::Display for NodeStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.role, self.node)?;
        if let Some(domain) = &self.domain {
            write!(formatter, " in {domain}")?;
        }
        if let Some(incarnation) = self.incarnation {
            write!(formatter, ", incarnation {incarnation}")?;
        }
        if let Some(state) = &self.state {
            write!(formatter, ", {state}")?;
        }
        match self.config.revision {
            Some(revision) => write!(formatter, ", in force up to revision {revision}")?,
            None => formatter.write_str(", no configuration yet")?,
        }
        for rejected in &self.config.rejected {
            let errors = rejected.errors.join("; ");
            write!(
                formatter,
                "\n  refuses {} version {}: {errors}",
                rejected.key, rejected.version
            )?;
        }
        Ok(())
    }
}
