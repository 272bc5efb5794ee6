//! The edge towards the platform's host list, which lags behind the truth.
//!
//! `GET /hosts` answers 200 with [`HostListing`].

use std::future::Future;
use std::net::SocketAddr;

use alderhaven_core::ids::{FailureDomain, HostId};
use serde::{Deserialize, Serialize};

use crate::object_store::StoreResult;

/// A `HostListing` is one reading of the host list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostListing {
    /// The number of the reading; it grows with each change.
    pub revision: u64,
    /// The hosts.
    pub hosts: Vec<HostRecord>,
}

/// A `HostRecord` is one host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The host; for a target, the target's id.
    pub host: HostId,
    /// What runs on the host.
    pub role: HostRole,
    /// The failure domain.
    pub domain: FailureDomain,
    /// The address of the process: a target's for queries, a node's for peers.
    pub address: SocketAddr,
    /// Whether the host stays.
    pub state: HostState,
}

/// A `HostRole` says what runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// An entry of the system.
    Entry,
    /// A relay of the system.
    Relay,
    /// A target.
    Target,
}

/// A `HostState` says whether a host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host runs.
    Live,
    /// The host is about to go.
    Leaving,
}

/// A `HostSource` is the platform's host list as the system uses it.
pub trait HostSource: Send + Sync + 'static {
    /// Reads the list.
    fn hosts(&self) -> impl Future<Output = StoreResult<HostListing>> + Send;
}
