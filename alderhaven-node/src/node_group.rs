//! A process's participation in the group of nodes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use alderhaven_core::ids::{FailureDomain, HostId, IncarnationNumber, NodeId};
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_peer::peer_handle::{PeerHandle, PeerSnapshot};
use alderhaven_peer::peer_node::PeerNode;
use alderhaven_peer::peer_options::{ConfigAccess, PeerOptions};
use alderhaven_peer::peer_traffic::PeerTraffic;
use alderhaven_policy::membership::member_entry::MemberView;
use alderhaven_policy::membership::member_record::{CpuCapacity, MemberRole};
use alderhaven_policy::membership::membership_options::MembershipOptions;
use alderhaven_store::config_handle::ConfigHandle;
use tokio::sync::watch;

use crate::member_list::MemberList;

/// Description of the process for the other members of the group.
#[derive(Clone, Debug, bon::Builder)]
pub struct GroupOptions {
    /// Identifies the process across restarts.
    pub node: NodeId,
    /// Whether the process is an entry or a relay.
    pub role: MemberRole,
    /// Host that the process runs on.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: FailureDomain,
    /// Address for gossip (UDP) and exchange (TCP). Without it, the process does not join the
    /// group and only knows what its settings name.
    pub gossip_listen: Option<SocketAddr>,
    /// Gossip addresses of members to join through.
    pub seeds: Vec<SocketAddr>,
    /// Address for other processes of the system.
    pub peer_address: SocketAddr,
    /// Address for callers; `None` for a relay.
    pub caller_address: Option<SocketAddr>,
    /// Processor time that the process may use.
    #[builder(default)]
    pub capacity: CpuCapacity,
    /// Whether the process reports its configuration in force to all other members.
    #[builder(default = true)]
    pub is_reporting: bool,
}

/// Handle to the group as this process sees it; clones share the same state.
#[derive(Clone, Debug)]
pub struct NodeGroup {
    peers: Option<PeerHandle>,
    /// Channel that never changes, for a process that is not part of a group.
    no_changes: Arc<watch::Sender<u64>>,
}

impl NodeGroup {
    /// Joins the group and exchanges the configuration with its members.
    ///
    /// # Errors
    /// Returns an I/O error if the gossip address can't be bound.
    pub async fn start(options: GroupOptions, config: &ConfigHandle) -> io::Result<Self> {
        Self::start_with(options, config_access(config)).await
    }

    /// Joins the group and exchanges objects that are not kept in a [`ConfigHandle`].
    ///
    /// # Errors
    /// Returns an I/O error if the gossip address can't be bound.
    pub async fn start_with(options: GroupOptions, access: ConfigAccess) -> io::Result<Self> {
        let Some(gossip_address) = options.gossip_listen else {
            return Ok(Self::standalone());
        };
        let membership = MembershipOptions {
            seeds: options.seeds,
            is_reporting: options.is_reporting,
            ..MembershipOptions::default()
        };
        let peer_options = PeerOptions::builder()
            .node(options.node)
            .role(options.role)
            .host(options.host)
            .domain(options.domain)
            .gossip_address(gossip_address)
            .peer_address(options.peer_address)
            .maybe_caller_address(options.caller_address)
            .capacity(options.capacity)
            .incarnation(incarnation_now())
            .membership(membership)
            .build();
        let peers = PeerNode::start(peer_options, access).await?;
        Ok(Self {
            peers: Some(peers),
            ..Self::standalone()
        })
    }

    /// Creates the handle of a process that is not part of a group.
    #[must_use]
    pub fn standalone() -> Self {
        Self {
            peers: None,
            no_changes: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Returns the bound gossip address; `None` if the process is not part of a group.
    #[must_use]
    pub fn gossip_address(&self) -> Option<SocketAddr> {
        self.peers.as_ref().map(PeerHandle::gossip_address)
    }

    /// Returns all members, this process first; empty if it is not part of a group.
    #[must_use]
    pub fn members(&self) -> MemberList {
        MemberList::new(self.peers.as_ref().map(PeerHandle::snapshot))
    }

    /// Returns the current time on the clock of the members' time points; [`TimePoint::START`]
    /// without a group.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        self.peers
            .as_ref()
            .map_or(TimePoint::START, PeerHandle::now)
    }

    /// Returns the state of the group for diagnostics; `None` if the process is not part of one.
    #[must_use]
    pub fn snapshot(&self) -> Option<PeerSnapshot> {
        self.peers
            .as_ref()
            .map(|peers| PeerSnapshot::clone(&peers.snapshot()))
    }

    /// Returns counters of the traffic with peers; `None` if the process is not part of a group.
    #[must_use]
    pub fn traffic(&self) -> Option<PeerTraffic> {
        self.peers.as_ref().map(|peers| peers.snapshot().traffic)
    }

    /// Returns the members with a role that accept work.
    #[must_use]
    pub fn working_members(&self, role: MemberRole) -> Vec<MemberView> {
        let members = self.members();
        let working = members
            .iter()
            .filter(|member| member.record.role == role && member.state.takes_work());
        working.cloned().collect()
    }

    /// Returns true once the exchanged configuration is complete; false without a group.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.peers
            .as_ref()
            .is_some_and(|peers| peers.snapshot().is_complete)
    }

    /// Returns true once this process has held all that a peer held; true without a group.
    #[must_use]
    pub fn has_compared(&self) -> bool {
        self.peers
            .as_ref()
            .is_none_or(|peers| peers.snapshot().has_compared)
    }

    /// Returns a channel that changes with the state of the group; it never changes without a
    /// group.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        match &self.peers {
            Some(peers) => peers.subscribe(),
            None => self.no_changes.subscribe(),
        }
    }

    /// Tells the group that the store answered this process.
    pub fn note_store_answer(&self) {
        if let Some(peers) = &self.peers {
            peers.note_store_answer();
        }
    }

    /// Returns the time since the store's last known answer to another member.
    #[must_use]
    pub fn since_store_answer(&self) -> Option<TimeSpan> {
        self.peers.as_ref().and_then(PeerHandle::since_store_answer)
    }

    /// Announces to the group that this process is leaving.
    pub async fn announce_leaving(&self) {
        if let Some(peers) = &self.peers {
            peers.announce_leaving().await;
        }
    }

    /// Announces to the group that this process is stopping, and ends its participation.
    pub async fn shut_down(&self) {
        if let Some(peers) = &self.peers {
            peers.shut_down().await;
        }
    }
}

/// Returns an incarnation above those of all earlier runs: the milliseconds since the Unix epoch.
fn incarnation_now() -> IncarnationNumber {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    IncarnationNumber(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// Connects the exchange to the configuration that the process has in force.
fn config_access(config: &ConfigHandle) -> ConfigAccess {
    let (stamps, objects) = (config.clone(), config.clone());
    let (accept, listed) = (config.clone(), config.clone());
    ConfigAccess::builder()
        .stamps(move || stamps.stamps())
        .look_up(move |key| objects.object(key))
        .accept(move |received| accept.accept(received))
        .is_fully_listed(move || listed.complete_revision().is_some())
        .changes(config.subscribe())
        .build()
}
