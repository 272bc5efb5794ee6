//! Quarantine of requests that crash targets ("queries of death").
//!
//! A crash of a target with a request in flight is a strike against that request, which then runs
//! on trial: at one target at a time, like a canary request (Dean and Barroso, "The Tail at Scale",
//! 2013). An answer clears it. It is refused once the strikes show that it is the cause; see
//! `crash_evidence`. A refusal expires; after that one more strike on trial is enough, and
//! each refusal lasts twice as long as the one before. Strikes of several processes merge by union,
//! and all decisions are computed from the strikes.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::{FailureDomain, ShardId, TargetId};
use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::Serialize;

use crate::crash_evidence::CrashEvidence;
use crate::crash_record::{RecentCrash, RequestRecord};
use crate::crash_strike::{CrashStrike, StrikeUpdate, TargetCrash};
use crate::hashing;
use crate::policy_kind::PolicyKind;
use crate::quarantine_options::{MAX_STRIKES_PER_REQUEST, QuarantineOptions};
use crate::quarantine_verdict::QuarantineVerdict;

/// Crashes kept to detect the failure of a whole domain; the oldest are dropped.
const MAX_RECENT_CRASHES: usize = 512;

/// How long before an answer a target may have crashed with the request in flight and count as
/// cleared. A crash is known only once its target was probed, which the answer may precede.
const ANSWER_MEMORY: TimeSpan = TimeSpan::from_secs(1);
/// Answers kept; the oldest are dropped.
const MAX_RECENT_ANSWERS: usize = 256;

/// The largest part of a refusal by which nodes prolong it, each by its own part, so that not all
/// of them try the request again at once.
const MAX_PROLONGATION: f64 = 0.5;

/// The state of one request, as it is dumped for operators.
#[derive(Clone, Debug, Serialize)]
pub struct QuarantineEntry {
    /// The request's fingerprint.
    pub fingerprint: RequestFingerprint,
    /// The number of refusals so far.
    pub refusals: u32,
    /// The time left of the present refusal, in milliseconds; zero if the request is not refused.
    pub refused_ms: u64,
    /// The strikes against the request.
    pub strikes: Vec<CrashStrike>,
}

/// Decides from crashes which requests are refused and which run on trial.
///
/// It can't prevent the crashes by attempts that were sent before the first crash is known: those
/// of a fan-out query, or of copies of a request sent at the same time. A request that crashes
/// targets only occasionally is cleared by its answers, and different requests share no strikes.
#[derive(Clone, Debug)]
pub struct CrashQuarantine {
    options: QuarantineOptions,
    /// Hash of this node's id, by which it prolongs refusals; `None` if it does not.
    node_hash: Option<u64>,
    requests: HashMap<RequestFingerprint, RequestRecord>,
    recent_crashes: BTreeMap<u64, RecentCrash>,
    /// Crashes that a refused request has caused.
    explained: BTreeSet<u64>,
    /// Answers to requests that had lost attempts, the latest last.
    recent_answers: VecDeque<RecentAnswer>,
}

#[derive(Clone, Copy, Debug)]
struct RecentAnswer {
    fingerprint: RequestFingerprint,
    at: TimePoint,
}

impl CrashQuarantine {
    /// Creates an empty quarantine; it refuses nothing under the baseline policy.
    #[must_use]
    pub fn new(policy: PolicyKind, mut options: QuarantineOptions) -> Self {
        options.enabled &= policy == PolicyKind::Current;
        Self {
            options,
            node_hash: None,
            requests: HashMap::new(),
            recent_crashes: BTreeMap::new(),
            explained: BTreeSet::new(),
            recent_answers: VecDeque::new(),
        }
    }

    /// Prolongs each refusal by a part that depends on the node.
    #[must_use]
    pub fn prolonged_for(mut self, node: &str) -> Self {
        self.node_hash = Some(hashing::hash_name(node));
        self
    }

    /// Records a crash as a strike against each request in flight. Returns the new strikes.
    pub fn record_crash(&mut self, crash: &TargetCrash, now: TimePoint) -> Vec<StrikeUpdate> {
        let distinct: BTreeSet<_> = crash.in_flight.iter().map(|(request, _)| request).collect();
        let in_flight = u32::try_from(distinct.len()).unwrap_or(u32::MAX);
        let updates: Vec<StrikeUpdate> = crash
            .in_flight
            .iter()
            .map(|(fingerprint, shard)| StrikeUpdate {
                fingerprint: *fingerprint,
                strike: CrashStrike {
                    crash_id: crash.id,
                    target: crash.target.clone(),
                    domain: crash.domain.clone(),
                    shard: *shard,
                    in_flight,
                    at: now,
                    is_trial: crash.trials.contains(fingerprint),
                    cleared: self.was_just_answered(fingerprint, now),
                },
                age: TimeSpan::ZERO,
            })
            .collect();
        self.record_recent_crash(crash.id, &crash.target, &crash.domain, now);
        let changed = self.merge(&updates, now);
        // A crash without requests in flight may still complete a domain failure.
        self.reevaluate_requests();
        changed
    }

    /// Merges strikes from another process. Returns those that were new or newly cleared.
    pub fn merge(&mut self, updates: &[StrikeUpdate], now: TimePoint) -> Vec<StrikeUpdate> {
        if !self.options.enabled {
            return Vec::new();
        }
        let mut changed = Vec::new();
        let memory = self.options.memory;
        for update in updates.iter().filter(|update| update.age < memory) {
            let strike = CrashStrike {
                at: now - update.age,
                ..update.strike.clone()
            };
            self.record_recent_crash(strike.crash_id, &strike.target, &strike.domain, strike.at);
            if self.add_strike(update.fingerprint, strike) {
                changed.push(update.clone());
            }
        }
        if !changed.is_empty() {
            self.prune(now);
            self.reevaluate_requests();
        }
        changed
    }

    /// Records an answer from a replica of a shard. Returns the strikes that it cleared: all but those
    /// of other shards of which several targets crashed.
    pub fn record_answer(
        &mut self,
        fingerprint: &RequestFingerprint,
        shard: ShardId,
        now: TimePoint,
    ) -> Vec<StrikeUpdate> {
        if self.recent_answers.len() == MAX_RECENT_ANSWERS {
            self.recent_answers.pop_front();
        }
        self.recent_answers.push_back(RecentAnswer {
            fingerprint: *fingerprint,
            at: now,
        });
        let Some(record) = self.requests.get_mut(fingerprint) else {
            return Vec::new();
        };
        let mut kept_shards = record.repeated_shards();
        kept_shards.remove(&shard);
        let mut cleared = Vec::new();
        for strike in record.strikes.values_mut() {
            if !kept_shards.contains(&strike.shard) && !strike.cleared {
                strike.cleared = true;
                cleared.push(update_of(*fingerprint, strike, now));
            }
        }
        if !cleared.is_empty() {
            self.reevaluate_requests();
        }
        cleared
    }

    /// Returns how long a request stays refused, or `None` if it is not refused.
    #[must_use]
    pub fn refused_for(
        &self,
        fingerprint: &RequestFingerprint,
        now: TimePoint,
    ) -> Option<TimeSpan> {
        let record = self.requests.get(fingerprint)?;
        let until = record.refused_until + self.prolongation(fingerprint, record.refusals);
        (record.refusals > 0 && until > now).then(|| now.until(until))
    }

    /// Returns how long ago the crash was detected that led to the present refusal, or `None` if the
    /// request is not refused.
    #[must_use]
    pub fn refusal_age(
        &self,
        fingerprint: &RequestFingerprint,
        now: TimePoint,
    ) -> Option<TimeSpan> {
        self.refused_for(fingerprint, now)?;
        let record = self.requests.get(fingerprint)?;
        let span = self.options.refusal_span(record.refusals);
        Some(now.since(record.refused_until - span))
    }

    /// Returns the decision on a request, with its reason.
    #[must_use]
    pub fn verdict(&self, fingerprint: &RequestFingerprint, now: TimePoint) -> QuarantineVerdict {
        if let Some(span) = self.refused_for(fingerprint, now) {
            return QuarantineVerdict::Refused(span);
        }
        if !self.is_suspect(fingerprint, now) {
            return QuarantineVerdict::Clear;
        }
        let evidence = CrashEvidence::new(&self.options, &self.recent_crashes, &self.requests);
        QuarantineVerdict::Suspect(evidence.suspect_reason(fingerprint))
    }

    /// Returns `true` if a request has a strike that still counts and therefore runs on trial.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: &RequestFingerprint, now: TimePoint) -> bool {
        let window = self.options.window;
        self.requests.get(fingerprint).is_some_and(|record| {
            let counts = |strike: &CrashStrike| {
                let is_recent = now.since(strike.at) < window;
                record.refusals > 0 || is_recent && !self.explained.contains(&strike.crash_id)
            };
            record.uncleared().any(counts)
        })
    }

    /// Returns all strikes, to be sent to another process.
    #[must_use]
    pub fn strikes(&self, now: TimePoint) -> Vec<StrikeUpdate> {
        let of_record = |(fingerprint, record): (&RequestFingerprint, &RequestRecord)| {
            let fingerprint = *fingerprint;
            record
                .strikes
                .values()
                .map(move |strike| update_of(fingerprint, strike, now))
                .collect::<Vec<_>>()
        };
        self.requests.iter().flat_map(of_record).collect()
    }

    /// Returns the number of requests with strikes that no answer has cleared.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        let records = self.requests.values();
        records
            .filter(|record| record.uncleared().next().is_some())
            .count()
    }

    /// Returns the strikes against one request.
    #[must_use]
    pub fn strikes_of(
        &self,
        fingerprint: &RequestFingerprint,
        now: TimePoint,
    ) -> Vec<StrikeUpdate> {
        let strikes = self
            .requests
            .get(fingerprint)
            .into_iter()
            .flat_map(|record| record.strikes.values());
        strikes
            .map(|strike| update_of(*fingerprint, strike, now))
            .collect()
    }

    /// Returns the number of requests with strikes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns `true` if no request has a strike.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the state of all requests with strikes, for the dump.
    #[must_use]
    pub fn entries(&self, now: TimePoint) -> Vec<QuarantineEntry> {
        self.requests
            .iter()
            .map(|(fingerprint, record)| QuarantineEntry {
                fingerprint: *fingerprint,
                refusals: record.refusals,
                refused_ms: now.until(record.refused_until).as_millis(),
                strikes: record.strikes.values().cloned().collect(),
            })
            .collect()
    }

    fn record_recent_crash(
        &mut self,
        crash_id: u64,
        target: &TargetId,
        domain: &FailureDomain,
        at: TimePoint,
    ) {
        let recent = self
            .recent_crashes
            .entry(crash_id)
            .or_insert_with(|| RecentCrash {
                target: target.clone(),
                domain: domain.clone(),
                at,
            });
        recent.at = recent.at.min(at);
        if self.recent_crashes.len() > MAX_RECENT_CRASHES {
            let oldest = self
                .recent_crashes
                .iter()
                .min_by_key(|(_, recent)| recent.at);
            if let Some(oldest) = oldest.map(|(crash_id, _)| *crash_id) {
                self.recent_crashes.remove(&oldest);
            }
        }
    }

    /// Returns `true` if a target answered the request a moment ago.
    fn was_just_answered(&self, fingerprint: &RequestFingerprint, now: TimePoint) -> bool {
        self.recent_answers.iter().any(|answer| {
            answer.fingerprint == *fingerprint && now.since(answer.at) < ANSWER_MEMORY
        })
    }

    /// Adds a strike. Returns `true` if it tells something new.
    fn add_strike(&mut self, fingerprint: RequestFingerprint, strike: CrashStrike) -> bool {
        let strikes = &mut self.requests.entry(fingerprint).or_default().strikes;
        if let Some(known) = strikes.get_mut(&strike.crash_id) {
            // An earlier time alone is only message delay and is not passed on.
            let is_news = known.lacks(&strike);
            known.merge(&strike);
            return is_news;
        }
        strikes.insert(strike.crash_id, strike);
        if strikes.len() > MAX_STRIKES_PER_REQUEST {
            let oldest = strikes
                .values()
                .min_by_key(|strike| (strike.at, strike.crash_id));
            if let Some(oldest) = oldest.map(|strike| strike.crash_id) {
                strikes.remove(&oldest);
            }
        }
        true
    }

    /// Removes expired strikes and, above `max_requests`, the requests of the lowest priority.
    fn prune(&mut self, now: TimePoint) {
        let memory = self.options.memory;
        self.recent_crashes
            .retain(|_, recent| now.since(recent.at) < memory);
        self.requests.retain(|_, record| {
            record
                .strikes
                .retain(|_, strike| now.since(strike.at) < memory);
            !record.strikes.is_empty()
        });
        while self.requests.len() > self.options.max_requests {
            let oldest = self
                .requests
                .iter()
                .min_by_key(|(fingerprint, record)| (record.priority(), **fingerprint));
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.requests.remove(&oldest);
        }
    }

    /// Recomputes the refusals of all requests: strikes that arrive later may explain earlier
    /// crashes, or show that a domain failed.
    fn reevaluate_requests(&mut self) {
        let evidence = CrashEvidence::new(&self.options, &self.recent_crashes, &self.requests);
        let (histories, explained) = evidence.find_causes();
        self.explained = explained;
        for history in histories {
            if let Some(record) = self.requests.get_mut(&history.fingerprint) {
                record.refusals = history.count;
                record.refused_until = history.until;
            }
        }
    }

    /// Returns how much longer than others this node refuses a request.
    fn prolongation(&self, fingerprint: &RequestFingerprint, refusals: u32) -> TimeSpan {
        let Some(node) = self.node_hash else {
            return TimeSpan::ZERO;
        };
        let hash = hashing::mix_hashes(node, fingerprint.leading_u64());
        let part = (hash >> 32) as f64 / f64::from(u32::MAX);
        let span = self.options.refusal_span(refusals);
        span.mul_f64(part * MAX_PROLONGATION)
    }
}

fn update_of(
    fingerprint: RequestFingerprint,
    strike: &CrashStrike,
    now: TimePoint,
) -> StrikeUpdate {
    StrikeUpdate {
        fingerprint,
        strike: strike.clone(),
        age: now.since(strike.at),
    }
}
