//! The settings of `alderctl`: whom it talks to and on whose behalf.

use std::net::SocketAddr;

use alderhaven_core::ids::OperatorName;
use serde::{Deserialize, Serialize};

/// A `ControlSettings` is the content of an operator's settings file; options override it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlSettings {
    /// The operator's name, which publications carry.
    pub operator: Option<OperatorName>,
    /// The platform's object API.
    pub platform: Option<SocketAddr>,
    /// The operator addresses of the nodes.
    pub nodes: Vec<SocketAddr>,
}
