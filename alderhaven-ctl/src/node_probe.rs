//! The edge towards the nodes' operator addresses.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;

use serde_json::Value;

use crate::node_status::NodeStatus;

/// A `ProbeError` says why a node did not tell what it was asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeError {
    /// What happened.
    pub reason: String,
}

impl ProbeError {
    /// Returns an error with its cause.
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

/// A `ProbeResult` is what a node answered.
pub type ProbeResult<T> = Result<T, ProbeError>;

/// A `NodeProbe` asks nodes at their operator addresses.
pub trait NodeProbe: Send + Sync + 'static {
    /// Gets a node's status.
    fn status(&self, node: SocketAddr) -> impl Future<Output = ProbeResult<NodeStatus>> + Send;

    /// Gets the whole state of a node.
    fn dump(&self, node: SocketAddr) -> impl Future<Output = ProbeResult<Value>> + Send;

    /// Starts the planned stop of a node.
    fn drain(&self, node: SocketAddr) -> impl Future<Output = ProbeResult<()>> + Send;
}
