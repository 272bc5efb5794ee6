//! A process's part in the group of entries and relays.

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

/// A `GroupOptions` describes a process to the group.
#[derive(Clone, Debug, bon::Builder)]
pub struct GroupOptions {
    /// The process's id.
    pub node: NodeId,
    /// What it does.
    pub role: MemberRole,
    /// The host that it runs on.
    pub host: HostId,
    /// The failure domain of the host.
    pub domain: FailureDomain,
    /// The address for gossip (UDP) and exchange (TCP); without it the process takes no part and
    /// knows only what its settings name.
    pub gossip_listen: Option<SocketAddr>,
    /// The gossip addresses of members to learn from at the start.
    pub seeds: Vec<SocketAddr>,
    /// The address for other processes of the system.
    pub peer_address: SocketAddr,
    /// The address for callers; none for a relay.
    pub caller_address: Option<SocketAddr>,
    /// The processor time that the process may use.
    #[builder(default)]
    pub capacity: CpuCapacity,
    /// Whether members report to all others which configuration they have in force.
    #[builder(default = true)]
    pub is_reporting: bool,
}

/// A `NodeGroup` is a process's view of the group; its clones share it.
#[derive(Clone, Debug)]
pub struct NodeGroup {
    peers: Option<PeerHandle>,
    /// Stands in for the group's changes where there is no group.
    no_changes: Arc<watch::Sender<u64>>,
}

impl NodeGroup {
    /// Takes part in the group, and shares the configuration with its members.
    ///
    /// # Errors
    /// An error of the operating system where the address can't be bound.
    pub async fn start(options: GroupOptions, config: &ConfigHandle) -> io::Result<Self> {
        Self::start_with(options, config_access(config)).await
    }

    /// Starts with objects that are kept elsewhere than in a [`ConfigHandle`].
    ///
    /// # Errors
    /// The gossip address can't be bound.
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

    /// Returns the view of a process that takes no part in a group.
    #[must_use]
    pub fn standalone() -> Self {
        Self {
            peers: None,
            no_changes: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Gets the address for gossip, none where the process takes no part.
    #[must_use]
    pub fn gossip_address(&self) -> Option<SocketAddr> {
        self.peers.as_ref().map(PeerHandle::gossip_address)
    }

    /// Gets the members, this process first; empty where it takes no part.
    #[must_use]
    pub fn members(&self) -> MemberList {
        MemberList::new(self.peers.as_ref().map(PeerHandle::snapshot))
    }

    /// Gets the time by which the members' points are meant; the start where there is no group.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        self.peers
            .as_ref()
            .map_or(TimePoint::START, PeerHandle::now)
    }

    /// Gets what is known of the group, for the dump.
    #[must_use]
    pub fn snapshot(&self) -> Option<PeerSnapshot> {
        self.peers
            .as_ref()
            .map(|peers| PeerSnapshot::clone(&peers.snapshot()))
    }

    /// Gets what was sent to and heard from peers; none where the process takes no part.
    #[must_use]
    pub fn traffic(&self) -> Option<PeerTraffic> {
        self.peers.as_ref().map(|peers| peers.snapshot().traffic)
    }

    /// Gets the members of a role that take work.
    #[must_use]
    pub fn working_members(&self, role: MemberRole) -> Vec<MemberView> {
        let members = self.members();
        let working = members
            .iter()
            .filter(|member| member.record.role == role && member.state.takes_work());
        working.cloned().collect()
    }

    /// Returns true where members, the configuration's peers included, are known to be complete.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.peers
            .as_ref()
            .is_some_and(|peers| peers.snapshot().is_complete)
    }

    /// Gets a channel that changes when something of the group does; never where the process takes
    /// no part.
    #[must_use]
    pub fn changed(&self) -> watch::Receiver<u64> {
        match &self.peers {
            Some(peers) => peers.changed(),
            None => self.no_changes.subscribe(),
        }
    }

    /// Tells the group that the store answered this process.
    pub fn note_store_answer(&self) {
        if let Some(peers) = &self.peers {
            peers.note_store_answer();
        }
    }

    /// Gets the time since the store last answered another member; none where nobody said so.
    #[must_use]
    pub fn since_store_answer(&self) -> Option<TimeSpan> {
        self.peers.as_ref().and_then(PeerHandle::since_store_answer)
    }

    /// Tells the group that this process leaves.
    pub async fn announce_leaving(&self) {
        if let Some(peers) = &self.peers {
            peers.announce_leaving().await;
        }
    }

    /// Tells the group that this process is gone, and ends its part.
    pub async fn end(&self) {
        if let Some(peers) = &self.peers {
            peers.end().await;
        }
    }
}

/// Gets an incarnation above those of all earlier runs: the milliseconds since the Unix epoch.
fn incarnation_now() -> IncarnationNumber {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    IncarnationNumber(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

fn config_access(config: &ConfigHandle) -> ConfigAccess {
    let (stamps, objects) = (config.clone(), config.clone());
    let (accept, listed) = (config.clone(), config.clone());
    ConfigAccess::builder()
        .stamps(move || stamps.stamps())
        .look_up(move |key| objects.object(key))
        .accept(move |accepted| accept.accept(accepted))
        .is_listed(move || listed.complete_at().is_some())
        .changed(config.changed())
        .build()
}
