//! Quarantine of one process, and the broadcast of crash strikes to its peers.
//!
//! A relay that loses a target broadcasts the strikes to its entries before it answers the attempt,
//! and an entry forwards them to its relays before it handles the answer. On each connection a
//! retry or a caller's resend therefore arrives after the strike. Only new strikes are forwarded,
//! so that forwarding ends.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::ShardId;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::crash_strike::{StrikeUpdate, TargetCrash};
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_policy::quarantine::{CrashQuarantine, QuarantineEntry};
use alderhaven_policy::quarantine_options::QuarantineOptions;

use crate::connection::FrameSender;
use crate::frames::PeerMessage;
use crate::strike_messages::StrikeNotice;

/// Quarantine and peer connections, shared by all parts of a process.
#[derive(Debug)]
pub struct StrikeTracker {
    clock: ProcessClock,
    quarantine: Mutex<CrashQuarantine>,
    /// Whether any strike was ever recorded; lets attempts skip the quarantine's lock.
    has_strikes: AtomicBool,
    peers: Mutex<PeerSenders>,
}

#[derive(Debug, Default)]
struct PeerSenders {
    next_id: u64,
    senders: HashMap<u64, FrameSender>,
}

/// Registration of a connection for strikes; dropping it unregisters the connection.
#[derive(Debug)]
pub struct StrikeSubscription {
    tracker: Arc<StrikeTracker>,
    sender_id: u64,
}

impl StrikeTracker {
    /// Creates a tracker without strikes.
    #[must_use]
    pub fn new(policy: PolicyKind, options: QuarantineOptions, clock: ProcessClock) -> Self {
        Self {
            clock,
            quarantine: Mutex::new(CrashQuarantine::new(policy, options)),
            has_strikes: AtomicBool::new(false),
            peers: Mutex::default(),
        }
    }

    /// Registers a connection, which is sent all known strikes and then each new one.
    #[must_use]
    pub fn subscribe(self: &Arc<Self>, sender: FrameSender) -> StrikeSubscription {
        let mut peers = self.lock_peers();
        // Holding the lock on the senders prevents a broadcast between this read and the
        // registration.
        let known = self.lock_quarantine().strikes(self.clock.now());
        if !known.is_empty() {
            let _closed = sender.send(PeerMessage::Strikes(StrikeNotice::from(&known[..])));
        }
        let sender_id = peers.next_id;
        peers.next_id += 1;
        peers.senders.insert(sender_id, sender);
        StrikeSubscription {
            tracker: Arc::clone(self),
            sender_id,
        }
    }

    /// Records a crash that this process saw; returns true if it gave new strikes.
    pub fn record_crash(&self, crash: &TargetCrash) -> bool {
        let updates = self.lock_quarantine().record_crash(crash, self.clock.now());
        self.broadcast(&updates)
    }

    /// Merges the strikes of another process and forwards those that are new.
    pub fn merge(&self, notice: &StrikeNotice) {
        let updates = self
            .lock_quarantine()
            .merge(&notice.updates(), self.clock.now());
        self.broadcast(&updates);
    }

    /// Records that a replica of a shard answered a request, which clears the request's strikes of
    /// that shard.
    pub fn record_answer(&self, fingerprint: &RequestFingerprint, shard: ShardId) {
        if self.has_strikes() {
            let now = self.clock.now();
            let cleared = self
                .lock_quarantine()
                .record_answer(fingerprint, shard, now);
            self.broadcast(&cleared);
        }
    }

    /// Returns how long a request stays refused, or `None` if it isn't refused.
    #[must_use]
    pub fn refused_for(&self, fingerprint: &RequestFingerprint) -> Option<TimeSpan> {
        if !self.has_strikes() {
            return None;
        }
        self.lock_quarantine()
            .refused_for(fingerprint, self.clock.now())
    }

    /// Returns true if a request has a strike that still counts.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: &RequestFingerprint) -> bool {
        self.has_strikes()
            && self
                .lock_quarantine()
                .is_suspect(fingerprint, self.clock.now())
    }

    /// Returns the requests with strikes, for the dump.
    #[must_use]
    pub fn entries(&self) -> Vec<QuarantineEntry> {
        self.lock_quarantine().entries(self.clock.now())
    }

    fn has_strikes(&self) -> bool {
        self.has_strikes.load(Ordering::Acquire)
    }

    /// Sends strikes to all peers; returns true if there are any.
    fn broadcast(&self, updates: &[StrikeUpdate]) -> bool {
        if updates.is_empty() {
            return false;
        }
        self.has_strikes.store(true, Ordering::Release);
        let notice = StrikeNotice::from(updates);
        for sender in self.lock_peers().senders.values() {
            let _closed = sender.send(PeerMessage::Strikes(notice.clone()));
        }
        true
    }

    fn lock_quarantine(&self) -> MutexGuard<'_, CrashQuarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_peers(&self) -> MutexGuard<'_, PeerSenders> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for StrikeSubscription {
    fn drop(&mut self) {
        self.tracker.lock_peers().senders.remove(&self.sender_id);
    }
}
