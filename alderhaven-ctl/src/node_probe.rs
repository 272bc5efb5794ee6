//! The interface to the operator endpoints of nodes.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;

use serde_json::Value;

use crate::node_status::NodeStatus;

/// The failure of a call to a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeError {
    /// The message for the operator.
    pub reason: String,
}

impl ProbeError {
    /// Returns an error with the text of its cause.
    pub fn new(reason: impl fmt::Display) -> Self {
        Self {
            reason: reason.to_string(),
        }
    }
}

impl fmt::Display for ProbeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.reason)
    }
}

impl std::error::Error for ProbeError {}

/// The result of a call to a node.
pub type ProbeResult<T> = Result<T, ProbeError>;

/// Calls nodes at their operator addresses.
pub trait NodeProbe: Send + Sync + 'static {
    /// Gets the identity and the configuration status of a node.
    fn status(&self, node: SocketAddr) -> impl Future<Output = ProbeResult<NodeStatus>> + Send;

    /// Gets the internal state of a node.
    fn dump(&self, node: SocketAddr) -> impl Future<Output = ProbeResult<Value>> + Send;

    /// Starts the graceful shutdown of a node.
    fn drain(&self, node: SocketAddr) -> impl Future<Output = ProbeResult<()>> + Send;
}
