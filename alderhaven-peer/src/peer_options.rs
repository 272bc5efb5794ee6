//! What a process says of itself and where it listens.

use std::fmt;
use std::net::SocketAddr;

use alderhaven_core::config_object::{ObjectKey, StoredObject};
use alderhaven_core::ids::{FailureDomain, HostId, IncarnationNumber, NodeId};
use alderhaven_policy::exchange::exchange_message::ObjectStamp;
use alderhaven_policy::exchange::exchange_options::ExchangeOptions;
use alderhaven_policy::membership::member_record::{CpuCapacity, MemberRole};
use alderhaven_policy::membership::membership_options::MembershipOptions;
use tokio::sync::watch;

/// A `PeerOptions` describes a process to the others.
#[derive(Clone, Debug, bon::Builder)]
pub struct PeerOptions {
    /// The process's id.
    pub node: NodeId,
    /// What it does.
    pub role: MemberRole,
    /// The host that it runs on.
    pub host: HostId,
    /// The failure domain of the host.
    pub domain: FailureDomain,
    /// The address for gossip (UDP) and exchange (TCP); port 0 takes any port that is free for
    /// both. Others reach it at this IP number.
    pub gossip_address: SocketAddr,
    /// The address for attempts (TCP); none for an entry.
    pub peer_address: Option<SocketAddr>,
    /// The address for callers; none for a relay.
    pub caller_address: Option<SocketAddr>,
    /// The processor time that the process may use.
    #[builder(default)]
    pub capacity: CpuCapacity,
    /// A number above that of all earlier runs of this process, such as the milliseconds since the
    /// Unix epoch at its start.
    pub incarnation: IncarnationNumber,
    /// The settings of membership, with the seeds.
    #[builder(default)]
    pub membership: MembershipOptions,
    /// The settings of the exchange.
    #[builder(default)]
    pub exchange: ExchangeOptions,
}

/// An `ObjectLookup` gets one object that the process holds.
pub type ObjectLookup = Box<dyn Fn(&ObjectKey) -> Option<StoredObject> + Send>;

/// A `ConfigAccess` is how the exchange reaches the configuration of its process.
#[derive(bon::Builder)]
pub struct ConfigAccess {
    /// Gets the versions of all objects that the process knows, tombstones included.
    #[builder(with = |stamps: impl Fn() -> Vec<ObjectStamp> + Send + 'static| Box::new(stamps))]
    pub(crate) stamps: Box<dyn Fn() -> Vec<ObjectStamp> + Send>,
    /// Gets one object for a peer that wants it.
    #[builder(with = |look_up: impl Fn(&ObjectKey) -> Option<StoredObject> + Send + 'static| Box::new(look_up))]
    pub(crate) look_up: ObjectLookup,
    /// Puts objects that a peer sent in force.
    #[builder(with = |accept: impl Fn(Vec<StoredObject>) + Send + 'static| Box::new(accept))]
    pub(crate) accept: Box<dyn Fn(Vec<StoredObject>) + Send>,
    /// Returns true once the store has been listed.
    #[builder(with = |is_fully_listed: impl Fn() -> bool + Send + 'static| Box::new(is_fully_listed))]
    pub(crate) is_fully_listed: Box<dyn Fn() -> bool + Send>,
    /// Changes with each change of the objects.
    pub(crate) changes: watch::Receiver<u64>,
}

impl fmt::Debug for ConfigAccess {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ConfigAccess")
            .finish_non_exhaustive()
    }
}
