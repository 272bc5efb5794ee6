//! The commands that call only nodes, not the store.

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::Value;

use crate::command_report::{CommandReport, NodeAnswer, NodesReport, StatusReport};
use crate::in_force::{self, InForceReport, WaitOptions, WantedVersion};
use crate::node_probe::NodeProbe;
use crate::node_status::NodeStatus;

/// The nodes and the client that calls them.
#[derive(Debug)]
pub struct NodeContext<P> {
    /// The client, shared with the tasks of concurrent probes.
    pub probe: Arc<P>,
    /// The operator addresses of all nodes.
    pub addresses: Vec<SocketAddr>,
}

impl<P: NodeProbe> NodeContext<P> {
    /// Reports the status of all nodes.
    pub async fn status(&self) -> CommandReport {
        CommandReport::Status(StatusReport {
            nodes: self.statuses().await,
            in_force: None,
        })
    }

    /// Reports the internal state of all nodes.
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

    /// Reports the group members that each node knows, taken from its dump.
    pub async fn members(&self) -> CommandReport {
        let mut nodes = Vec::with_capacity(self.addresses.len());
        for address in self.addresses.iter().copied() {
            let answer = match self.probe.dump(address).await {
                Ok(Value::Object(mut dump)) => dump
                    .remove("members")
                    .ok_or_else(|| "the dump has no field `members`".to_owned()),
                Ok(_) => Err("the dump is not a JSON object".to_owned()),
                Err(error) => Err(error.reason),
            };
            nodes.push(NodeAnswer::from_result(address, answer));
        }
        CommandReport::Nodes(NodesReport { nodes })
    }

    /// Starts the graceful shutdown of the node at `address`.
    pub async fn drain(&self, address: SocketAddr) -> CommandReport {
        let answer = self.probe.drain(address).await;
        let answer = answer.map(|()| serde_json::json!({ "draining": true }));
        CommandReport::Nodes(NodesReport {
            nodes: vec![NodeAnswer::from_result(address, answer)],
        })
    }

    /// Gets the status of all nodes, one after the other.
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

    /// Waits until the versions are in force on all nodes, as [`in_force::wait_until_in_force`]
    /// does.
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
