//! The commands that only ask nodes and need no store.

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::Value;

use crate::command_report::{CommandReport, NodeAnswer, NodesReport, StatusReport};
use crate::in_force::{self, InForceReport, WaitOptions, WantedVersion};
use crate::node_probe::NodeProbe;
use crate::node_status::NodeStatus;

/// A `NodeContext` is the nodes and the way to ask them.
#[derive(Debug)]
pub struct NodeContext<P> {
    /// The way to ask nodes.
    pub probe: Arc<P>,
    /// The operator addresses of the nodes.
    pub addresses: Vec<SocketAddr>,
}

impl<P: NodeProbe> NodeContext<P> {
    /// Gets the nodes' status.
    pub async fn status(&self) -> CommandReport {
        CommandReport::Status(StatusReport {
            nodes: self.statuses().await,
            in_force: None,
        })
    }

    /// Gets the whole state of each node.
    pub async fn dump(&self) -> CommandReport {
        let mut nodes = Vec::with_capacity(self.addresses.len());
        for address in self.addresses.iter().copied() {
            nodes.push(NodeAnswer::from_result(
                address,
                self.probe.dump(address).await,
            ));
        }
        CommandReport::Nodes(NodesReport { nodes })
    }

    /// Gets the members that each node knows, from its dump.
    pub async fn members(&self) -> CommandReport {
        let mut nodes = Vec::with_capacity(self.addresses.len());
        for address in self.addresses.iter().copied() {
            let answer = match self.probe.dump(address).await {
                Ok(Value::Object(mut dump)) => dump
                    .remove("members")
                    .ok_or_else(|| "its dump has no members".to_owned()),
                Ok(_) => Err("its dump is no JSON object".to_owned()),
                Err(error) => Err(error.reason),
            };
            nodes.push(NodeAnswer::from_result(address, answer));
        }
        CommandReport::Nodes(NodesReport { nodes })
    }

    /// Starts the planned stop of a node.
    pub async fn drain(&self, address: SocketAddr) -> CommandReport {
        let answer = self.probe.drain(address).await;
        let answer = answer.map(|()| serde_json::json!({ "draining": true }));
        CommandReport::Nodes(NodesReport {
            nodes: vec![NodeAnswer::from_result(address, answer)],
        })
    }

    /// Gets each node's status, or why it told none.
    pub async fn statuses(&self) -> Vec<NodeAnswer<NodeStatus>> {
        let mut nodes = Vec::with_capacity(self.addresses.len());
        for address in self.addresses.iter().copied() {
            nodes.push(NodeAnswer::from_result(
                address,
                self.probe.status(address).await,
            ));
        }
        nodes
    }

    /// Waits until the versions are in force on all nodes.
    pub async fn wait_until_in_force(
        &self,
        wanted: &[WantedVersion],
        options: WaitOptions,
        on_progress: impl FnMut(&InForceReport),
    ) -> InForceReport {
        in_force::wait_until_in_force(&self.probe, &self.addresses, wanted, options, on_progress)
            .await
    }
}
