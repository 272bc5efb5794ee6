//! The part of a node's status document that `alderctl` reads.

use std::fmt;

use alderhaven_core::ids::{FailureDomain, IncarnationNumber, NodeId, StoreEra};
use alderhaven_core::store_version::StoreVersion;
use serde::{Deserialize, Serialize};

/// The identity and state of one node; optional fields are `None` if the node omits them.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node's name.
    pub node: NodeId,
    /// `entry` or `relay`.
    pub role: String,
    /// The failure domain that the node runs in.
    #[serde(default)]
    pub domain: Option<FailureDomain>,
    /// Distinguishes the node's process from earlier ones of the same name.
    #[serde(default)]
    pub incarnation: Option<IncarnationNumber>,
    /// The node's lifecycle state, such as whether it drains.
    #[serde(default)]
    pub state: Option<String>,
    /// The configuration that the node has in force.
    pub config: ConfigStatus,
}

/// The configuration that a node has in force and the objects that it rejected.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// The store revision up to which every change is in force; `None` before the first list.
    pub revision: Option<StoreVersion>,
    /// The store's era of the revision.
    #[serde(default)]
    pub era: StoreEra,
    /// Invalid objects, whose earlier contents stay in force.
    #[serde(default)]
    pub rejected: Vec<RejectedStatus>,
}

/// An object that a node rejected.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RejectedStatus {
    /// The object's key in its text form.
    pub key: String,
    /// The rejected version.
    pub version: StoreVersion,
    /// The store's era of the version.
    #[serde(default)]
    pub era: StoreEra,
    /// All reasons of the rejection.
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
