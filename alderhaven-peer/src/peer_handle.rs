//! Handle by which the other parts of a process read the state of the group and send commands to
//! the driver.

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

/// Access to the driver's snapshots and commands; clones share the same driver.
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
    /// Time at which the store last answered another member, in microseconds of the process clock;
    /// 0 if never.
    pub(crate) other_store_answer_us: AtomicU64,
}

/// State of the group as known at one time; also serialized into the node's dump.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts, reported side by side"
)]
#[derive(Clone, Debug, Default, Serialize)]
pub struct PeerSnapshot {
    /// All known members, this process first.
    pub members: Vec<MemberView>,
    /// Whether the state of the group was received from another member.
    pub is_joined: bool,
    /// Whether a newer process with the same node id has replaced this one.
    pub is_superseded: bool,
    /// Whether the configuration is complete; the process must not serve requests before.
    pub is_complete: bool,
    /// Whether this process has held all that a peer held, at any time since the start.
    pub has_compared: bool,
    /// Digest of the configuration in force on this process.
    pub config: ConfigDigest,
    /// Number of objects that peers announced and this process doesn't hold yet.
    pub missing_objects: usize,
    /// Gossip and exchange traffic since the process started.
    pub traffic: PeerTraffic,
}

/// Commands from other parts of the process to the driver.
#[derive(Debug)]
pub(crate) enum PeerCommand {
    /// Announces that the process is leaving; signals the channel once the announcement is sent.
    Leave(oneshot::Sender<()>),
    /// Announces that the process is gone and ends the driver; signals the channel once the
    /// announcement is sent.
    ShutDown(oneshot::Sender<()>),
    /// Sets the load level that this process reports.
    SetLoad(LoadLevel),
    /// Records that the store answered this process.
    RecordStoreAnswer,
}

impl PeerSnapshot {
    /// Returns the live members whose configuration differs from this process's, and the number of
    /// live members compared.
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
    /// Returns the latest snapshot without locking, so that it may be called for every request.
    #[must_use]
    pub fn snapshot(&self) -> Arc<PeerSnapshot> {
        self.shared.snapshot.load_full()
    }

    /// Returns the current time of the clock that the snapshot's time points refer to.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        self.shared.clock.now()
    }

    /// Returns a channel that is notified of each new snapshot.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.shared.snapshot_changes.subscribe()
    }

    /// Returns the gossip address with the port that was bound.
    #[must_use]
    pub fn gossip_address(&self) -> SocketAddr {
        self.shared.gossip_address
    }

    /// Sets the load level that this process reports to the group.
    pub fn set_load(&self, load: LoadLevel) {
        self.send_command(PeerCommand::SetLoad(load));
    }

    /// Reports to the group that the store has just answered this process.
    pub fn note_store_answer(&self) {
        self.send_command(PeerCommand::RecordStoreAnswer);
    }

    /// Returns the time since the store last answered another member, or `None` if no member
    /// reported an answer.
    #[must_use]
    pub fn since_store_answer(&self) -> Option<TimeSpan> {
        let micros = self.shared.other_store_answer_us.load(Ordering::Relaxed);
        let now = self.shared.clock.now();
        (micros > 0).then(|| now.since(TimePoint::from_micros(micros)))
    }

    /// Announces that this process is leaving; returns once the announcement is sent.
    pub async fn announce_leaving(&self) {
        let (sender, sent) = oneshot::channel();
        self.send_command(PeerCommand::Leave(sender));
        // An error means that the driver has ended, which leaves nothing to announce.
        let _ended = sent.await;
    }

    /// Announces that this process is gone and ends gossip and exchange; returns once the
    /// announcement is sent.
    pub async fn shut_down(&self) {
        let (sender, sent) = oneshot::channel();
        self.send_command(PeerCommand::ShutDown(sender));
        let _ended = sent.await;
    }

    fn send_command(&self, command: PeerCommand) {
        // Fails only if the driver has ended, after which commands have no effect.
        let _ended = self.shared.commands.send(command);
    }
}
