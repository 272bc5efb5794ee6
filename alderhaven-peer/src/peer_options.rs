//! Identity, addresses and settings with which a process joins the group.

use std::fmt;
use std::net::SocketAddr;

use alderhaven_core::config_object::{ObjectKey, StoredObject};
use alderhaven_core::ids::{FailureDomain, HostId, IncarnationNumber, NodeId};
use alderhaven_policy::exchange::exchange_message::ObjectStamp;
use alderhaven_policy::exchange::exchange_options::ExchangeOptions;
use alderhaven_policy::membership::member_record::{CpuCapacity, MemberRole};
use alderhaven_policy::membership::membership_options::MembershipOptions;
use tokio::sync::watch;

/// What a process announces to its peers, and its settings of membership and exchange.
#[derive(Clone, Debug, bon::Builder)]
pub struct PeerOptions {
    /// Node id, unique in the group.
    pub node: NodeId,
    /// Role that the process announces.
    pub role: MemberRole,
    /// Host on which the process runs.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: FailureDomain,
    /// Address for gossip (UDP) and exchange (TCP), reachable by peers at this IP address; port 0
    /// takes any port that is free for both.
    pub gossip_address: SocketAddr,
    /// Address at which attempts are accepted (TCP); `None` for an entry.
    pub peer_address: Option<SocketAddr>,
    /// Address at which callers connect; `None` for a relay.
    pub caller_address: Option<SocketAddr>,
    /// Processor time that the process may use.
    #[builder(default)]
    pub capacity: CpuCapacity,
    /// Must be greater than in every earlier run of this process; the milliseconds since the Unix
    /// epoch at startup will do.
    pub incarnation: IncarnationNumber,
    /// Settings of membership, including the seed addresses.
    #[builder(default)]
    pub membership: MembershipOptions,
    /// Settings of the configuration exchange.
    #[builder(default)]
    pub exchange: ExchangeOptions,
}

/// Returns an object if the process holds it.
pub type ObjectLookup = Box<dyn Fn(&ObjectKey) -> Option<StoredObject> + Send>;

/// Callbacks by which the exchange reads and updates the configuration of its process.
#[derive(bon::Builder)]
pub struct ConfigAccess {
    /// Returns the versions of all known objects, including tombstones.
    #[builder(with = |stamps: impl Fn() -> Vec<ObjectStamp> + Send + 'static| Box::new(stamps))]
    pub(crate) stamps: Box<dyn Fn() -> Vec<ObjectStamp> + Send>,
    /// Returns one object that a peer requested.
    #[builder(with = |look_up: impl Fn(&ObjectKey) -> Option<StoredObject> + Send + 'static| Box::new(look_up))]
    pub(crate) look_up: ObjectLookup,
    /// Applies objects that a peer sent.
    #[builder(with = |accept: impl Fn(Vec<StoredObject>) + Send + 'static| Box::new(accept))]
    pub(crate) accept: Box<dyn Fn(Vec<StoredObject>) + Send>,
    /// Returns true once the store's complete list has been read.
    #[builder(with = |is_fully_listed: impl Fn() -> bool + Send + 'static| Box::new(is_fully_listed))]
    pub(crate) is_fully_listed: Box<dyn Fn() -> bool + Send>,
    /// Notified of every change of the objects.
    pub(crate) changes: watch::Receiver<u64>,
}

impl fmt::Debug for ConfigAccess {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ConfigAccess")
            .finish_non_exhaustive()
    }
}
