//! What the fronts know of requests that crash targets.
//!
//! A front that lost an attempt and finds the target's process gone tells all others, and each of them
//! refuses the request once it has taken down two targets. The judgement is that of
//! [`alderhaven_policy::quarantine`]; here its strikes are written for other nodes and read again.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::ShardId;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::crash_strike::{CrashStrike, StrikeUpdate};
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_policy::quarantine::{CrashQuarantine, QuarantineOptions};
use serde::{Deserialize, Serialize};

/// A `CrashBoard` is shared by all requests of a process.
#[derive(Debug)]
pub struct CrashTracker {
    clock: ProcessClock,
    quarantine: Mutex<CrashQuarantine>,
    /// Whether any request has a strike, readable without the lock on each request's way.
    has_strikes: AtomicBool,
}

/// A `SharedStrike` is a strike as it is told to other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PublishedStrike {
    fingerprint: RequestFingerprint,
    crash: u64,
    target: String,
    domain: String,
    shard: u32,
    in_flight: u32,
    /// The time of day of the crash, in milliseconds. Clocks differ by seconds, and strikes are
    /// remembered for minutes.
    seen_ms: u64,
    cleared: bool,
}

impl CrashTracker {
    /// Returns a board without strikes.
    #[must_use]
    pub fn new(clock: ProcessClock) -> Self {
        let quarantine = CrashQuarantine::new(PolicyKind::Current, QuarantineOptions::default());
        Self {
            clock,
            quarantine: Mutex::new(quarantine),
            has_strikes: AtomicBool::new(false),
        }
    }

    /// Returns true where any request has a strike.
    #[must_use]
    pub fn has_strikes(&self) -> bool {
        self.has_strikes.load(Ordering::Acquire)
    }

    /// Gets the number of requests with strikes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns true where no request has a strike.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.has_strikes()
    }

    /// Gets how long a request stays refused; none where it is not.
    #[must_use]
    pub fn refused_for(&self, fingerprint: &RequestFingerprint) -> Option<TimeSpan> {
        self.lock().refused_for(fingerprint, self.clock.now())
    }

    /// Notes strikes of a request; returns what other nodes are to be told, where that is new.
    #[must_use]
    pub fn record_strikes(
        &self,
        fingerprint: RequestFingerprint,
        strikes: Vec<CrashStrike>,
        wall_millis: u64,
    ) -> Option<String> {
        let updates: Vec<StrikeUpdate> = strikes
            .into_iter()
            .map(|strike| StrikeUpdate {
                fingerprint,
                strike,
                age: TimeSpan::ZERO,
            })
            .collect();
        self.merge(&updates);
        self.encode_strikes(&fingerprint, wall_millis)
    }

    /// Notes that a replica of a shard answered a request; returns what other nodes are to be told,
    /// where that clears a strike.
    #[must_use]
    pub fn record_answer(
        &self,
        fingerprint: &RequestFingerprint,
        shard: ShardId,
        wall_millis: u64,
    ) -> Option<String> {
        let cleared = self
            .lock()
            .record_answer(fingerprint, shard, self.clock.now());
        if cleared.is_empty() {
            return None;
        }
        self.encode_strikes(fingerprint, wall_millis)
    }

    /// Takes over what another node was told or has seen.
    ///
    /// # Errors
    /// Says what can't be read.
    pub fn merge_remote(&self, body: &str, wall_millis: u64) -> Result<(), String> {
        let strikes: Vec<PublishedStrike> =
            serde_json::from_str(body).map_err(|error| error.to_string())?;
        let now = self.clock.now();
        let updates: Result<Vec<StrikeUpdate>, String> = strikes
            .into_iter()
            .map(|strike| strike.into_update(now, wall_millis))
            .collect();
        self.merge(&updates?);
        Ok(())
    }

    fn merge(&self, updates: &[StrikeUpdate]) {
        let mut quarantine = self.lock();
        let _new_updates = quarantine.merge(updates, self.clock.now());
        if !quarantine.is_empty() {
            self.has_strikes.store(true, Ordering::Release);
        }
    }

    fn encode_strikes(&self, fingerprint: &RequestFingerprint, wall_millis: u64) -> Option<String> {
        let strikes = self.lock().strikes(self.clock.now());
        let published: Vec<PublishedStrike> = strikes
            .iter()
            .filter(|update| update.fingerprint == *fingerprint)
            .map(|update| PublishedStrike::new(update, wall_millis))
            .collect();
        if published.is_empty() {
            return None;
        }
        serde_json::to_string(&published).ok()
    }

    fn lock(&self) -> MutexGuard<'_, CrashQuarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl PublishedStrike {
    fn new(update: &StrikeUpdate, wall_millis: u64) -> Self {
        let strike = &update.strike;
        Self {
            fingerprint: update.fingerprint,
            crash: strike.crash_id,
            target: strike.target.to_string(),
            domain: strike.domain.to_string(),
            shard: strike.shard.0,
            in_flight: strike.in_flight,
            seen_ms: wall_millis.saturating_sub(update.age.as_millis()),
            cleared: strike.cleared,
        }
    }

    fn into_update(self, now: TimePoint, wall_millis: u64) -> Result<StrikeUpdate, String> {
        let age = TimeSpan::from_millis(wall_millis.saturating_sub(self.seen_ms));
        let target = self.target.parse().map_err(|_| "no target's name")?;
        let domain = self.domain.parse().map_err(|_| "no domain's name")?;
        Ok(StrikeUpdate {
            fingerprint: self.fingerprint,
            strike: CrashStrike {
                crash_id: self.crash,
                target,
                domain,
                shard: ShardId(self.shard),
                in_flight: self.in_flight,
                at: now,
                cleared: self.cleared,
            },
            age,
        })
    }
}
