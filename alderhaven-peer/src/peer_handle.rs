//! What the other parts of a process see of its peers, and ask of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::membership::member_entry::MemberView;
use alderhaven_policy::membership::member_record::{ConfigDigest, LoadLevel, MemberState};
use arc_swap::ArcSwap;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot, watch};

use crate::peer_traffic::PeerTraffic;

/// A `PeerHandle` reads what a process knows of its peers; its clones share it.
#[derive(Clone, Debug)]
pub struct PeerHandle {
    pub(crate) shared: Arc<SharedPeers>,
}

#[derive(Debug)]
pub(crate) struct SharedPeers {
    pub(crate) snapshot: ArcSwap<PeerSnapshot>,
    pub(crate) snapshot_changes: watch::Sender<u64>,
    pub(crate) commands: mpsc::UnboundedSender<PeerCommand>,
    pub(crate) gossip_address: SocketAddr,
    pub(crate) clock: ProcessClock,
    /// When the store last answered another member, in microseconds of the clock; 0 for never.
    pub(crate) other_store_answer_us: AtomicU64,
}

/// A `PeerSnapshot` is what is known of the peers at one time, also as part of a dump.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PeerSnapshot {
    /// All members, this process first.
    pub members: Vec<MemberView>,
    /// Whether the state of the group was taken over from another member.
    pub is_joined: bool,
    /// Whether a newer process with this one's id has replaced it.
    pub is_superseded: bool,
    /// Whether the configuration is complete, so that the process may serve.
    pub is_complete: bool,
    /// The configuration in force.
    pub config: ConfigDigest,
    /// The objects that are known of and not held yet.
    pub missing_objects: usize,
    /// The traffic of gossip and exchange.
    pub traffic: PeerTraffic,
}

/// A `PeerCommand` is what other parts of the process ask.
#[derive(Debug)]
pub(crate) enum PeerCommand {
    /// Announce that the process leaves, and say when that is sent.
    Leave(oneshot::Sender<()>),
    /// Announce that the process is gone, stop, and say when that is sent.
    ShutDown(oneshot::Sender<()>),
    /// Tell how busy the process is.
    SetLoad(LoadLevel),
    /// Tell that the store answered this process.
    NoteStoreAnswer,
}

impl PeerSnapshot {
    /// Gets the members whose configuration in force differs from this process's own, the dead
    /// left out, and the number of members that are asked.
    #[must_use]
    pub fn lagging_members(&self) -> (Vec<&MemberView>, usize) {
        let live = || {
            self.members
                .iter()
                .filter(|member| member.state != MemberState::Dead)
        };
        let lagging = live().filter(|member| member.config != Some(self.config));
        (lagging.collect(), live().count())
    }
}

impl PeerHandle {
    /// Gets what is known of the peers; cheap enough for the path of a request.
    #[must_use]
    pub fn snapshot(&self) -> Arc<PeerSnapshot> {
        self.shared.snapshot.load_full()
    }

    /// Gets the time by which the snapshot's points are meant.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        self.shared.clock.now()
    }

    /// Gets a channel that changes with each new snapshot.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.shared.snapshot_changes.subscribe()
    }

    /// Gets the address for gossip, with the port that was taken.
    #[must_use]
    pub fn gossip_address(&self) -> SocketAddr {
        self.shared.gossip_address
    }

    /// Sets how busy this process is.
    pub fn set_load(&self, load: LoadLevel) {
        self.send_command(PeerCommand::SetLoad(load));
    }

    /// Tells the others that the store answered this process.
    pub fn note_store_answer(&self) {
        self.send_command(PeerCommand::NoteStoreAnswer);
    }

    /// Gets the time since the store last answered another member; none where nobody said so.
    #[must_use]
    pub fn since_store_answer(&self) -> Option<TimeSpan> {
        let micros = self.shared.other_store_answer_us.load(Ordering::Relaxed);
        let now = self.shared.clock.now();
        (micros > 0).then(|| now.since(TimePoint::from_micros(micros)))
    }

    /// Announces that this process leaves; returns once that was sent.
    pub async fn announce_leaving(&self) {
        let (sent, is_sent) = oneshot::channel();
        self.send_command(PeerCommand::Leave(sent));
        // The task has ended where nobody answers; there is then nobody to tell.
        let _ended = is_sent.await;
    }

    /// Announces that this process is gone and ends gossip and exchange; returns once that was
    /// sent.
    pub async fn shut_down(&self) {
        let (sent, is_sent) = oneshot::channel();
        self.send_command(PeerCommand::ShutDown(sent));
        let _ended = is_sent.await;
    }

    fn send_command(&self, command: PeerCommand) {
        // Refused only where the task has ended, after which nothing is announced any more.
        let _ended = self.shared.commands.send(command);
    }
}
