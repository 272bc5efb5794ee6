//! The quarantine of one process, and the passing on of strikes to those it is connected to.
//!
//! A relay that loses a target tells all its entries before it answers the attempt, and an entry
//! that hears of it tells all its relays before it takes the answer. So a retry, or a resend after
//! the caller has its answer, follows the strike on each connection. What is new is passed on once;
//! what was known is not, so that strikes come to rest.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::ShardId;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::crash_strike::{StrikeUpdate, TargetCrash};
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_policy::quarantine::{CrashQuarantine, QuarantineEntry, QuarantineOptions};

use crate::connection::FrameSender;
use crate::frames::PeerMessage;
use crate::strike_messages::StrikeNotice;

/// A `StrikeBoard` is shared by all parts of a process.
#[derive(Debug)]
pub struct StrikeTracker {
    clock: ProcessClock,
    quarantine: Mutex<CrashQuarantine>,
    /// Whether any request has a strike, readable without the lock on each attempt's way.
    has_strikes: AtomicBool,
    peers: Mutex<PeerSenders>,
}

#[derive(Debug, Default)]
struct PeerSenders {
    next_id: u64,
    senders: HashMap<u64, FrameSender>,
}

/// A `BoardMembership` keeps a connection among those that hear of strikes; dropping it ends that.
#[derive(Debug)]
pub struct StrikeSubscription {
    tracker: Arc<StrikeTracker>,
    sender_id: u64,
}

impl StrikeTracker {
    /// Returns a board without strikes.
    #[must_use]
    pub fn new(policy: PolicyKind, options: QuarantineOptions, clock: ProcessClock) -> Self {
        Self {
            clock,
            quarantine: Mutex::new(CrashQuarantine::new(policy, options)),
            has_strikes: AtomicBool::new(false),
            peers: Mutex::default(),
        }
    }

    /// Adds a connection, which is told all strikes that are known and then each new one.
    #[must_use]
    pub fn subscribe(self: &Arc<Self>, sender: FrameSender) -> StrikeSubscription {
        let mut peers = self.lock_peers();
        // With the list locked no strike is passed on in between.
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

    /// Notes a crash that this process saw; returns true where it was not known before.
    pub fn record_crash(&self, crash: &TargetCrash) -> bool {
        let updates = self.lock_quarantine().record_crash(crash, self.clock.now());
        self.broadcast(&updates)
    }

    /// Takes over the strikes of another process.
    pub fn merge(&self, notice: &StrikeNotice) {
        let updates = self
            .lock_quarantine()
            .merge(&notice.updates(), self.clock.now());
        self.broadcast(&updates);
    }

    /// Notes that a replica of a shard answered a request.
    pub fn record_answer(&self, fingerprint: &RequestFingerprint, shard: ShardId) {
        if self.has_strikes() {
            let now = self.clock.now();
            let cleared = self
                .lock_quarantine()
                .record_answer(fingerprint, shard, now);
            self.broadcast(&cleared);
        }
    }

    /// Gets how long a request stays refused, or none where it is not.
    #[must_use]
    pub fn refused_for(&self, fingerprint: &RequestFingerprint) -> Option<TimeSpan> {
        if !self.has_strikes() {
            return None;
        }
        self.lock_quarantine()
            .refused_for(fingerprint, self.clock.now())
    }

    /// Returns true where a request has a strike that counts still.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: &RequestFingerprint) -> bool {
        self.has_strikes()
            && self
                .lock_quarantine()
                .is_suspect(fingerprint, self.clock.now())
    }

    /// Gets the requests with strikes, for the dump.
    #[must_use]
    pub fn entries(&self) -> Vec<QuarantineEntry> {
        self.lock_quarantine().entries(self.clock.now())
    }

    fn has_strikes(&self) -> bool {
        self.has_strikes.load(Ordering::Acquire)
    }

    /// Passes strikes on; returns true where there were any.
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
