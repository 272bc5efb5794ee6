//! Requests that crash targets, as known to all fronts.
//!
//! A front that loses an attempt and finds the target's process gone records strikes against all
//! requests that it had in flight there, and publishes them. All fronts then decide alike which
//! requests run on trial and which are refused; see [`alderhaven_policy::quarantine`].

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::{NodeId, ShardId, TargetId};
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::crash_strike::{CrashStrike, StrikeUpdate, TargetCrash};
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_policy::quarantine::CrashQuarantine;
use alderhaven_policy::quarantine_options::QuarantineOptions;
use alderhaven_policy::quarantine_verdict::QuarantineVerdict;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::query_call::QueryCall;
use crate::trial_registry::TrialRegistry;

/// The strikes of a request that are published; they fit in about 8 KB.
const MAX_PUBLISHED_STRIKES: usize = 48;

/// How long after a crash the requests that other nodes had in flight may still become known: the
/// news go there, and theirs come back.
const EVIDENCE_DELAY: TimeSpan = TimeSpan::from_millis(150);

/// Thread-safe quarantine of a process, with the encoding that nodes exchange.
#[derive(Debug)]
pub struct CrashTracker {
    clock: ProcessClock,
    quarantine: Mutex<CrashQuarantine>,
    /// Lets requests check for strikes without taking the lock. It is never cleared.
    has_strikes: AtomicBool,
    unpublished: Mutex<UnpublishedStrikes>,
    trials: TrialRegistry,
    /// Crashes that other nodes have published, until they are taken.
    learned: Mutex<Vec<LearnedCrash>>,
    has_learned: Notify,
}

/// A crash that another node has published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LearnedCrash {
    /// The number of the crash, which depends on the target's process.
    pub crash_id: u64,
    /// The target that crashed.
    pub target: TargetId,
}

/// The requests whose strikes this node has changed and not published yet.
#[derive(Debug, Default)]
struct UnpublishedStrikes {
    fingerprints: BTreeSet<RequestFingerprint>,
    is_publishing: bool,
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
    #[serde(default)]
    trial: bool,
    /// Unix time of the crash in milliseconds. Clock skew of some seconds is negligible, because
    /// strikes are kept for minutes.
    seen_ms: u64,
    cleared: bool,
}

impl CrashTracker {
    /// Creates a tracker without strikes and with the default quarantine options.
    #[must_use]
    pub fn new(node: &NodeId, clock: ProcessClock) -> Self {
        let quarantine = CrashQuarantine::new(PolicyKind::Current, QuarantineOptions::default());
        Self {
            clock,
            quarantine: Mutex::new(quarantine.prolonged_for(node.as_str())),
            has_strikes: AtomicBool::new(false),
            unpublished: Mutex::default(),
            trials: TrialRegistry::default(),
            learned: Mutex::default(),
            has_learned: Notify::new(),
        }
    }

    /// Returns the trials that run on this front.
    #[must_use]
    pub const fn trials(&self) -> &TrialRegistry {
        &self.trials
    }

    /// Returns `true` once any strike has been recorded. Does not take the lock.
    #[must_use]
    pub fn has_strikes(&self) -> bool {
        self.has_strikes.load(Ordering::Acquire)
    }

    /// Returns the number of requests that are suspected of crashing targets.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        self.lock().suspect_count()
    }

    /// Returns how long a request stays refused, or `None` if it is not refused.
    #[must_use]
    pub fn refused_for(&self, call: &QueryCall) -> Option<TimeSpan> {
        if !self.has_strikes() {
            return None;
        }
        self.lock()
            .refused_for(&call.fingerprint(), self.clock.now())
    }

    /// Returns how long other nodes may still add to the evidence for the refusal of a request; zero if
    /// it is not refused.
    #[must_use]
    pub fn refusal_delay(&self, call: &QueryCall) -> TimeSpan {
        if !self.has_strikes() {
            return TimeSpan::ZERO;
        }
        let age = self
            .lock()
            .refusal_age(&call.fingerprint(), self.clock.now());
        age.map_or(TimeSpan::ZERO, |age| EVIDENCE_DELAY.saturating_sub(age))
    }

    /// Returns the decision on a request, with its reason.
    #[must_use]
    pub fn verdict(&self, call: &QueryCall) -> QuarantineVerdict {
        if !self.has_strikes() {
            return QuarantineVerdict::Clear;
        }
        self.lock().verdict(&call.fingerprint(), self.clock.now())
    }

    /// Records a crash that this node saw.
    pub fn record_crash(&self, crash: &TargetCrash) {
        let updates = self.lock().record_crash(crash, self.clock.now());
        self.record_changes(&updates);
    }

    /// Records that a replica of a shard answered the request. Returns `true` if this cleared a
    /// strike.
    #[must_use]
    pub fn record_answer(&self, fingerprint: &RequestFingerprint, shard: ShardId) -> bool {
        let now = self.clock.now();
        let cleared = self.lock().record_answer(fingerprint, shard, now);
        self.record_changes(&cleared);
        !cleared.is_empty()
    }

    /// Returns `true` if a publication is to be started: there are changes, and none is under way.
    #[must_use]
    pub fn begin_publishing(&self) -> bool {
        let mut unpublished = self.lock_unpublished();
        let is_due = !unpublished.fingerprints.is_empty() && !unpublished.is_publishing;
        unpublished.is_publishing |= is_due;
        is_due
    }

    /// Takes the requests whose strikes changed here, with the encoded strikes of each. Ends the
    /// publication.
    #[must_use]
    pub fn take_unpublished(&self, wall_millis: u64) -> Vec<(RequestFingerprint, String)> {
        let fingerprints = {
            let mut unpublished = self.lock_unpublished();
            unpublished.is_publishing = false;
            std::mem::take(&mut unpublished.fingerprints)
        };
        let encode = |fingerprint| {
            let strikes = self.encode_strikes(&fingerprint, wall_millis)?;
            Some((fingerprint, strikes))
        };
        fingerprints.into_iter().filter_map(encode).collect()
    }

    fn record_changes(&self, updates: &[StrikeUpdate]) {
        if updates.is_empty() {
            return;
        }
        self.has_strikes.store(true, Ordering::Release);
        let fingerprints = updates.iter().map(|update| update.fingerprint);
        self.lock_unpublished().fingerprints.extend(fingerprints);
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
        let new_updates = self.merge(&updates?);
        self.record_learned(&new_updates);
        Ok(new_updates)
    }

    /// Waits until other nodes have published crashes, and takes them.
    pub async fn learned_crashes(&self) -> Vec<LearnedCrash> {
        loop {
            let crashes = std::mem::take(&mut *self.lock_learned());
            if !crashes.is_empty() {
                return crashes;
            }
            self.has_learned.notified().await;
        }
    }

    fn record_learned(&self, updates: &[StrikeUpdate]) {
        if updates.is_empty() {
            return;
        }
        let crashes = updates.iter().map(|update| LearnedCrash {
            crash_id: update.strike.crash_id,
            target: update.strike.target.clone(),
        });
        self.lock_learned().extend(crashes);
        self.has_learned.notify_one();
    }

    fn lock_learned(&self) -> MutexGuard<'_, Vec<LearnedCrash>> {
        self.learned.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn merge(&self, updates: &[StrikeUpdate]) -> Vec<StrikeUpdate> {
        let mut quarantine = self.lock();
        let new_updates = quarantine.merge(updates, self.clock.now());
        if !quarantine.is_empty() {
            self.has_strikes.store(true, Ordering::Release);
        }
        new_updates
    }

    /// Encodes the strikes of a request, the latest ones if there are many. Returns `None` if there
    /// are none.
    fn encode_strikes(&self, fingerprint: &RequestFingerprint, wall_millis: u64) -> Option<String> {
        let mut strikes = self.lock().strikes_of(fingerprint, self.clock.now());
        if strikes.is_empty() {
            return None;
        }
        strikes.sort_by_key(|update| (update.strike.cleared, update.age));
        strikes.truncate(MAX_PUBLISHED_STRIKES);
        let published: Vec<PublishedStrike> = strikes
            .iter()
            .map(|update| PublishedStrike::new(update, wall_millis))
            .collect();
        serde_json::to_string(&published).ok()
    }

    fn lock_unpublished(&self) -> MutexGuard<'_, UnpublishedStrikes> {
        self.unpublished
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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
            trial: strike.is_trial,
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
                is_trial: self.trial,
                cleared: self.cleared,
            },
            age,
        })
    }
}
