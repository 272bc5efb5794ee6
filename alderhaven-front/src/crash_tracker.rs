//! Requests that crash targets, as known to all fronts.
//!
//! A front that loses an attempt and finds the target's process gone records a crash strike and
//! publishes it. Each front then refuses requests whose strikes reach the limit of
//! [`alderhaven_policy::quarantine`].

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::ShardId;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::crash_strike::{CrashStrike, StrikeUpdate};
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_policy::quarantine::{CrashQuarantine, QuarantineOptions};
use alderhaven_policy::quarantine_verdict::QuarantineVerdict;
use serde::{Deserialize, Serialize};

/// Thread-safe quarantine of a process, with the encoding that nodes exchange.
#[derive(Debug)]
pub struct CrashTracker {
    clock: ProcessClock,
    quarantine: Mutex<CrashQuarantine>,
    /// Lets requests check for strikes without taking the lock. It is never cleared.
    has_strikes: AtomicBool,
}

/// A strike in the JSON that nodes exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PublishedStrike {
    fingerprint: RequestFingerprint,
    crash: u64,
    target: String,
    domain: String,
    shard: u32,
    in_flight: u32,
    /// Unix time of the crash in milliseconds. Clock skew of some seconds is negligible, because
    /// strikes are kept for minutes.
    seen_ms: u64,
    cleared: bool,
}

impl CrashTracker {
    /// Creates a tracker without strikes and with the default quarantine options.
    #[must_use]
    pub fn new(clock: ProcessClock) -> Self {
        let quarantine = CrashQuarantine::new(PolicyKind::Current, QuarantineOptions::default());
        Self {
            clock,
            quarantine: Mutex::new(quarantine),
            has_strikes: AtomicBool::new(false),
        }
    }

    /// Returns `true` once any strike has been recorded. Does not take the lock.
    #[must_use]
    pub fn has_strikes(&self) -> bool {
        self.has_strikes.load(Ordering::Acquire)
    }

    /// Returns the number of requests with strikes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns `true` if no strike has ever been recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.has_strikes()
    }

    /// Returns the decision on a request.
    #[must_use]
    pub fn verdict(&self, fingerprint: &RequestFingerprint) -> QuarantineVerdict {
        if !self.has_strikes() {
            return QuarantineVerdict::Clear;
        }
        self.lock().verdict(fingerprint, self.clock.now())
    }

    /// Records strikes of a request at the Unix time `wall_millis`. Returns the encoded strikes of
    /// the request to publish, or `None` if there are none.
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
        let _own_updates = self.merge(&updates);
        self.encode_strikes(&fingerprint, wall_millis)
    }

    /// Records that a replica of a shard answered the request. Returns the encoded strikes to
    /// publish if this cleared a strike.
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

    /// Merges strikes that another node published. Returns those that were new or newly cleared.
    ///
    /// # Errors
    /// Describes the entry that cannot be decoded. Nothing is merged in that case.
    pub fn merge_remote(&self, body: &str, wall_millis: u64) -> Result<Vec<StrikeUpdate>, String> {
        let strikes: Vec<PublishedStrike> =
            serde_json::from_str(body).map_err(|error| error.to_string())?;
        let now = self.clock.now();
        let updates: Result<Vec<StrikeUpdate>, String> = strikes
            .into_iter()
            .map(|strike| strike.into_update(now, wall_millis))
            .collect();
        Ok(self.merge(&updates?))
    }

    fn merge(&self, updates: &[StrikeUpdate]) -> Vec<StrikeUpdate> {
        let mut quarantine = self.lock();
        let new_updates = quarantine.merge(updates, self.clock.now());
        if !quarantine.is_empty() {
            self.has_strikes.store(true, Ordering::Release);
        }
        new_updates
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
        let target = self
            .target
            .parse()
            .map_err(|_| "strike with an invalid target id")?;
        let domain = self
            .domain
            .parse()
            .map_err(|_| "strike with an invalid failure domain name")?;
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
