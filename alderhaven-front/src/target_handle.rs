//! A target as this process knows it: its registration, its connections and what was seen of it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::time::TimePoint;
use alderhaven_policy::domain_silence::DomainSilence;
use alderhaven_policy::replica_stats::ReplicaStats;
use alderhaven_policy::warmup_limit::WarmupLimit;
use arc_swap::ArcSwap;

use crate::target_entry::TargetEntry;
use crate::target_pool::TargetPool;

/// A `TargetHandle` is one process of a target. A process that starts again gets a new one.
#[derive(Debug)]
pub struct TargetHandle {
    /// The registration as it was first seen; [`TargetHandle::entry`] is the latest.
    entry: ArcSwap<TargetEntry>,
    /// The connections.
    pub pool: TargetPool,
    /// Whether it lies in this process's failure domain.
    pub is_in_own_domain: bool,
    stats: Mutex<ReplicaStats>,
    status: Mutex<TargetStatus>,
    warmup: Mutex<WarmupLimit>,
    /// What was heard of its failure domain, shared by all targets there.
    silence: SharedSilence,
    is_evacuated: AtomicBool,
    has_preconnected: AtomicBool,
}

/// What was heard of a failure domain, shared by its targets.
pub type SharedSilence = Arc<Mutex<DomainSilence>>;

/// A `TargetStanding` says whether a target may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetStatus {
    /// It takes work.
    Ready,
    /// Its registration has lapsed, so that it is used where there is no other, until this moment.
    Expired(TimePoint),
    /// It gets no new work.
    Leaving,
}

impl TargetHandle {
    /// Returns a target of which nothing was seen yet.
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
        }
    }

    /// Gets the latest registration.
    #[must_use]
    pub fn entry(&self) -> Arc<TargetEntry> {
        self.entry.load_full()
    }

    /// Takes over a newer registration of the same process.
    pub fn update(&self, entry: TargetEntry) {
        self.set_status(if entry.is_leaving {
            TargetStatus::Leaving
        } else {
            TargetStatus::Ready
        });
        self.entry.store(Arc::new(entry));
    }

    /// Gets whether it may be used.
    #[must_use]
    pub fn status(&self) -> TargetStatus {
        *self.lock_status()
    }

    /// Changes whether it may be used.
    pub fn set_status(&self, status: TargetStatus) {
        *self.lock_status() = status;
    }

    /// Returns true where its failure domain is evacuated: it gets no new work.
    #[must_use]
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated.load(Ordering::Relaxed)
    }

    /// Changes whether its failure domain is evacuated.
    pub fn set_evacuated(&self, is_evacuated: bool) {
        self.is_evacuated.store(is_evacuated, Ordering::Relaxed);
    }

    /// Returns true where it gets no new work, also from requests that have chosen it before.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.is_evacuated() || self.status() == TargetStatus::Leaving
    }

    /// Locks what was heard of its failure domain.
    pub fn silence(&self) -> MutexGuard<'_, DomainSilence> {
        self.silence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns true where both lie in one failure domain.
    #[must_use]
    pub fn shares_domain_with(&self, other: &Self) -> bool {
        let domain = self.entry().domain.clone();
        domain.is_some() && domain == other.entry().domain
    }

    /// Locks what holds requests back while it is cold.
    pub fn warmup(&self) -> MutexGuard<'_, WarmupLimit> {
        self.warmup.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns true the first time: its connections should be opened ahead of requests.
    pub fn start_preconnect(&self) -> bool {
        !self.has_preconnected.swap(true, Ordering::Relaxed)
    }

    /// Locks what was seen of it.
    pub fn stats(&self) -> MutexGuard<'_, ReplicaStats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_status(&self) -> MutexGuard<'_, TargetStatus> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
