//! A target as seen by this process: registration, connections, statistics and status.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::time::TimePoint;
use alderhaven_policy::crash_watch::CrashWatch;
use alderhaven_policy::domain_silence::DomainSilence;
use alderhaven_policy::replica_stats::ReplicaStats;
use alderhaven_policy::warmup_limit::WarmupLimit;
use arc_swap::ArcSwap;

use crate::target_entry::TargetEntry;
use crate::target_pool::TargetPool;

/// One process of a target. A restarted target gets a new handle.
#[derive(Debug)]
pub struct TargetHandle {
    /// Latest registration.
    entry: ArcSwap<TargetEntry>,
    /// Connection pool of the target.
    pub pool: TargetPool,
    /// Whether the target is in the failure domain of this process.
    pub is_in_own_domain: bool,
    stats: Mutex<ReplicaStats>,
    status: Mutex<TargetStatus>,
    warmup: Mutex<WarmupLimit>,
    /// Silence detector of its failure domain, shared by all targets there.
    silence: SharedSilence,
    is_evacuated: AtomicBool,
    has_preconnected: AtomicBool,
    crash_watch: Mutex<CrashWatch<u64>>,
    /// Held while the target is probed for a crash.
    pub probe_lock: tokio::sync::Mutex<()>,
}

/// Silence detector of a failure domain, shared by its targets.
pub type SharedSilence = Arc<Mutex<DomainSilence>>;

/// Whether a target may be used, by its registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetStatus {
    /// Registered and taking work.
    Ready,
    /// The registration has expired. Until this time the target is used if there is no other.
    Expired(TimePoint),
    /// Leaving or gone: it gets no new work.
    Leaving,
}

impl TargetHandle {
    /// Creates a handle without statistics. Its status follows from the registration.
    #[must_use]
    pub fn new(
        entry: TargetEntry,
        pool: TargetPool,
        is_in_own_domain: bool,
        silence: SharedSilence,
    ) -> Self {
        let status = if entry.is_leaving {
            TargetStatus::Leaving
        } else {
            TargetStatus::Ready
        };
        Self {
            entry: ArcSwap::from_pointee(entry),
            pool,
            is_in_own_domain,
            stats: Mutex::default(),
            status: Mutex::new(status),
            warmup: Mutex::default(),
            silence,
            is_evacuated: AtomicBool::new(false),
            has_preconnected: AtomicBool::new(false),
            crash_watch: Mutex::default(),
            probe_lock: tokio::sync::Mutex::default(),
        }
    }

    /// Returns the latest registration.
    #[must_use]
    pub fn entry(&self) -> Arc<TargetEntry> {
        self.entry.load_full()
    }

    /// Replaces the registration by a newer one of the same process, and resets the status
    /// accordingly.
    pub fn update(&self, entry: TargetEntry) {
        self.set_status(if entry.is_leaving {
            TargetStatus::Leaving
        } else {
            TargetStatus::Ready
        });
        self.entry.store(Arc::new(entry));
    }

    /// Returns whether the target may be used.
    #[must_use]
    pub fn status(&self) -> TargetStatus {
        *self.lock_status()
    }

    /// Sets whether the target may be used.
    pub fn set_status(&self, status: TargetStatus) {
        *self.lock_status() = status;
    }

    /// Returns `true` if its failure domain is evacuated, in which case it gets no new work.
    #[must_use]
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated.load(Ordering::Relaxed)
    }

    /// Sets whether its failure domain is evacuated.
    pub fn set_evacuated(&self, is_evacuated: bool) {
        self.is_evacuated.store(is_evacuated, Ordering::Relaxed);
    }

    /// Returns `true` if the target gets no new work, not even from requests that have already
    /// chosen it.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.is_evacuated() || self.status() == TargetStatus::Leaving
    }

    /// Locks the silence detector of its failure domain.
    pub fn silence(&self) -> MutexGuard<'_, DomainSilence> {
        self.silence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns `true` if both targets are known to be in the same failure domain.
    #[must_use]
    pub fn shares_domain_with(&self, other: &Self) -> bool {
        let domain = self.entry().domain.clone();
        domain.is_some() && domain == other.entry().domain
    }

    /// Locks the limit on requests while the target is cold.
    pub fn warmup(&self) -> MutexGuard<'_, WarmupLimit> {
        self.warmup.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns `true` on the first call only. The caller then opens a connection ahead of
    /// requests.
    pub fn start_preconnect(&self) -> bool {
        !self.has_preconnected.swap(true, Ordering::Relaxed)
    }

    /// Locks the watch on the attempts in flight.
    pub fn crash_watch(&self) -> MutexGuard<'_, CrashWatch<u64>> {
        self.crash_watch
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the latency and failure statistics.
    pub fn stats(&self) -> MutexGuard<'_, ReplicaStats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_status(&self) -> MutexGuard<'_, TargetStatus> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
