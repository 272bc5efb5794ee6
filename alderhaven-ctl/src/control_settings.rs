//! The settings of `alderctl`: the operator and the addresses of the platform and the nodes.

use std::net::SocketAddr;

use alderhaven_core::ids::OperatorName;
use serde::{Deserialize, Serialize};

/// The content of an operator's settings file; command-line options override it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlSettings {
    /// The name that publications carry; required to publish.
    pub operator: Option<OperatorName>,
    /// The address of the platform's object API.
    pub platform: Option<SocketAddr>,
    /// The operator addresses of all nodes.
    pub nodes: Vec<SocketAddr>,
}
