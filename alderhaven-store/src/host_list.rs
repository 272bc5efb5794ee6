//! Interface to the platform's host list, which may be outdated.
//!
//! `GET /hosts` responds with 200 and a [`HostListing`] as JSON. All responses have the header
//! `store-era`.

use std::future::Future;
use std::net::SocketAddr;

use alderhaven_core::ids::{FailureDomain, HostId};
use alderhaven_core::store_version::StoreVersion;
use serde::{Deserialize, Serialize};

use crate::object_store::StoreResult;

/// Content of the host list at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostListing {
    /// The revision of the list, which grows with each change within an era.
    pub revision: StoreVersion,
    /// All nodes and targets in the list.
    pub hosts: Vec<HostRecord>,
}

/// Entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The id of the host, or the target's id for a target.
    pub host: HostId,
    /// The kind of process that runs on the host.
    pub role: HostRole,
    /// The failure domain that the host is part of.
    pub domain: FailureDomain,
    /// The address of the process: a target's for queries, a node's for peers.
    pub address: SocketAddr,
    /// Whether the host is about to be removed.
    pub state: HostState,
}

/// Kind of process that runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// An entry, which accepts queries from callers.
    Entry,
    /// A relay, which sends attempts to targets.
    Relay,
    /// A target, which answers queries for a shard.
    Target,
}

/// Lifecycle state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is running.
    Live,
    /// The host is about to be removed and gets no new work.
    Leaving,
}

/// Access to the platform's host list.
pub trait HostSource: Send + Sync + 'static {
    /// Reads the current list.
    fn hosts(&self) -> impl Future<Output = StoreResult<HostListing>> + Send;
}
