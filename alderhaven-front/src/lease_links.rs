//! The parts of a front that its lease uses.

use std::sync::Arc;

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_node::node_group::NodeGroup;
use alderhaven_policy::group_front::GroupFront;

use crate::catalog::Catalog;
use crate::control_socket::ControlSocket;
use crate::front_metrics::FrontMetrics;

/// The parts of a front that its lease uses.
#[derive(Clone, Debug, bon::Builder)]
pub struct LeaseLinks {
    /// This front.
    pub own: GroupFront,
    /// The configuration and what is known of the store.
    pub catalog: Arc<Catalog>,
    /// The other fronts.
    pub group: NodeGroup,
    /// Sends queries and replies.
    pub socket: Arc<ControlSocket>,
    /// The metrics of the process.
    pub metrics: FrontMetrics,
    /// The clock of the catalog.
    pub clock: ProcessClock,
}
