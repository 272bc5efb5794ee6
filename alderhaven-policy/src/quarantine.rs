//! Quarantine of requests that crash targets ("queries of death").
//!
//! A crash of a target with a request in flight is a strike against that request, which then runs
//! alone at its targets. It is refused after independent strikes at several targets, at one of which
//! it was alone. An answer from a replica of the shard clears the shard's strikes. A refusal expires;
//! after that one more strike is enough, and each refusal lasts twice as long as the one before.
//! Strikes of several processes merge by union, and all decisions are computed from the strikes.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::{FailureDomain, ShardId, TargetId};
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_core::value_check::ValueCheck;
use serde::{Deserialize, Serialize};

use crate::crash_strike::{CrashStrike, StrikeUpdate, TargetCrash};
use crate::policy_kind::PolicyKind;
use crate::quarantine_verdict::{QuarantineVerdict, SuspectReason};

/// Strikes kept per request; the oldest are dropped. The first attempts of a query over 130 shards
/// fit, in about 20 KB.
const MAX_STRIKES_PER_REQUEST: usize = 160;
/// Crashes kept to detect the failure of a whole domain; the oldest are dropped.
const MAX_RECENT_CRASHES: usize = 512;

/// Upper limit of the setting `max_requests`; each request holds up to 20 KB of strikes.
const MAX_TRACKED_REQUESTS: usize = 1024;

/// Settings of [`CrashQuarantine`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuarantineOptions {
    /// Whether requests are refused at all.
    pub enabled: bool,
    /// The number of different targets that a request crashes before it is refused. Two are
    /// the fewest that tell a request from a failing host.
    pub targets: usize,
    /// The time span in which those crashes happen. It is short enough that two unrelated crashes
    /// with the same request in flight are rare.
    pub window: TimeSpan,
    /// The length of the first refusal; each further one is twice as long.
    pub hold: TimeSpan,
    /// The longest refusal.
    pub max_hold: TimeSpan,
    /// How long a strike is remembered.
    pub memory: TimeSpan,
    /// The number of targets of one failure domain that crash together in a domain failure; within
    /// `domain_window` independent crashes are far fewer.
    pub domain_losses: usize,
    /// The time span in which crashes count as simultaneous.
    pub domain_window: TimeSpan,
    /// The maximum number of requests with strikes that are remembered.
    pub max_requests: usize,
}

impl Default for QuarantineOptions {
    fn default() -> Self {
        Self {
            enabled: true,
            targets: 2,
            window: TimeSpan::from_secs(600),
            hold: TimeSpan::from_secs(30),
            max_hold: TimeSpan::from_secs(960),
            memory: TimeSpan::from_secs(3600),
            domain_losses: 4,
            domain_window: TimeSpan::from_secs(2),
            max_requests: 256,
        }
    }
}

impl QuarantineOptions {
    /// Checks the values; fields are reported below `quarantine`.
    pub fn check(&self, check: &mut ValueCheck) {
        check.within(
            "quarantine.targets",
            &self.targets,
            &(2..=MAX_STRIKES_PER_REQUEST),
        );
        check.within(
            "quarantine.max_requests",
            &self.max_requests,
            &(1..=MAX_TRACKED_REQUESTS),
        );
    }
}

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

#[derive(Clone, Debug, Default)]
struct RequestRecord {
    strikes: BTreeMap<u64, CrashStrike>,
    refusals: u32,
    refused_until: TimePoint,
}

#[derive(Clone, Debug)]
struct RecentCrash {
    target: TargetId,
    domain: FailureDomain,
    at: TimePoint,
}

/// Decides from crashes which requests are refused and which run alone.
///
/// It can't prevent the crashes by attempts that were sent before the first crash is known: those
/// of a fan-out query, or of copies of a request sent at the same time. A request that crashes
/// targets only occasionally is cleared by its answers, and different requests share no strikes.
#[derive(Clone, Debug)]
pub struct CrashQuarantine {
    options: QuarantineOptions,
    requests: HashMap<RequestFingerprint, RequestRecord>,
    recent_crashes: BTreeMap<u64, RecentCrash>,
}

impl CrashQuarantine {
    /// Creates an empty quarantine; it refuses nothing under the baseline policy.
    #[must_use]
    pub fn new(policy: PolicyKind, mut options: QuarantineOptions) -> Self {
        options.enabled &= policy == PolicyKind::Current;
        Self {
            options,
            requests: HashMap::new(),
            recent_crashes: BTreeMap::new(),
        }
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
                    cleared: false,
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

    /// Records an answer from a replica of a shard. Returns the strikes that it cleared.
    pub fn record_answer(
        &mut self,
        fingerprint: &RequestFingerprint,
        shard: ShardId,
        now: TimePoint,
    ) -> Vec<StrikeUpdate> {
        let Some(record) = self.requests.get_mut(fingerprint) else {
            return Vec::new();
        };
        let mut cleared = Vec::new();
        for strike in record.strikes.values_mut() {
            if strike.shard == shard && !strike.cleared {
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
        (record.refused_until > now).then(|| now.until(record.refused_until))
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
        let record = &self.requests[fingerprint];
        QuarantineVerdict::Suspect(self.suspect_reason(record))
    }

    /// Returns `true` if a request has a strike that still counts and therefore must run alone.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: &RequestFingerprint, now: TimePoint) -> bool {
        let window = self.options.window;
        self.requests.get(fingerprint).is_some_and(|record| {
            let counts =
                |strike: &CrashStrike| record.refusals > 0 || now.since(strike.at) < window;
            record
                .strikes
                .values()
                .any(|strike| !strike.cleared && counts(strike))
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

    /// Adds a strike. Returns `true` if it was unknown or newly cleared.
    fn add_strike(&mut self, fingerprint: RequestFingerprint, strike: CrashStrike) -> bool {
        let strikes = &mut self.requests.entry(fingerprint).or_default().strikes;
        if let Some(known) = strikes.get_mut(&strike.crash_id) {
            let was_cleared = known.cleared;
            known.merge(&strike);
            // An earlier time alone is only message delay and is not passed on.
            return known.cleared != was_cleared;
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

    /// Removes expired strikes and, above `max_requests`, the requests whose latest strike is oldest.
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
            let latest_strike =
                |record: &RequestRecord| record.strikes.values().map(|strike| strike.at).max();
            let oldest = self
                .requests
                .iter()
                .min_by_key(|(fingerprint, record)| (latest_strike(record), **fingerprint));
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.requests.remove(&oldest);
        }
    }

    /// Recomputes the refusals of all requests: a domain failure detected later discounts older
    /// strikes.
    fn reevaluate_requests(&mut self) {
        let mut requests = std::mem::take(&mut self.requests);
        for record in requests.values_mut() {
            (record.refusals, record.refused_until) = self.evaluate(record);
        }
        self.requests = requests;
    }

    /// Replays a request's strikes in time order. Returns the number of refusals and the end of the
    /// last.
    fn evaluate(&self, record: &RequestRecord) -> (u32, TimePoint) {
        let mut strikes: Vec<&CrashStrike> = record
            .strikes
            .values()
            .filter(|strike| !strike.cleared && !self.is_domain_failure(strike, record))
            .collect();
        strikes.sort_by_key(|strike| (strike.at, strike.crash_id));
        let (mut refusals, mut until) = (0, TimePoint::START);
        let mut counted: Vec<&CrashStrike> = Vec::new();
        for strike in strikes {
            // Attempts in flight when a refusal began belong to the crashes that caused it.
            if refusals > 0 && strike.at < until {
                continue;
            }
            counted.retain(|earlier| strike.at.since(earlier.at) < self.options.window);
            counted.push(strike);
            if self.has_enough_strikes(&counted, refusals) {
                refusals += 1;
                until = strike.at + self.refusal_span(refusals);
                counted.clear();
            }
        }
        (refusals, until)
    }

    /// Returns why the strikes against a suspect do not suffice for a refusal.
    fn suspect_reason(&self, record: &RequestRecord) -> SuspectReason {
        if record.refusals > 0 {
            return SuspectReason::RefusalOver;
        }
        let strikes = record.strikes.values().filter(|strike| !strike.cleared);
        let strikes: Vec<&CrashStrike> = strikes.collect();
        if self.count_independent(&strikes) < self.options.targets {
            SuspectReason::FewCrashes
        } else if strikes
            .iter()
            .any(|strike| self.is_domain_failure(strike, record))
        {
            SuspectReason::DomainFailure
        } else {
            SuspectReason::SharedCrashes
        }
    }

    /// Returns `true` if the strikes, the newest one included, justify a refusal.
    fn has_enough_strikes(&self, strikes: &[&CrashStrike], refusals: u32) -> bool {
        let needed = if refusals == 0 {
            self.options.targets
        } else {
            1
        };
        self.count_independent(strikes) >= needed && strikes.iter().any(|strike| strike.is_alone())
    }

    /// Counts the strikes whose only common cause can be the request.
    ///
    /// Targets that crash together may share a host, whatever their domains. Strikes of the same
    /// shard are independent all the same: a host holds a shard once, and its replicas are tried
    /// one after another.
    fn count_independent(&self, strikes: &[&CrashStrike]) -> usize {
        let window = self.options.domain_window;
        let are_independent = |one: &CrashStrike, other: &CrashStrike| {
            let is_later = one.at.since(other.at) >= window || other.at.since(one.at) >= window;
            one.target != other.target && (one.shard == other.shard || is_later)
        };
        // Without the newest strike there was no refusal, so it must be among those counted.
        let mut counted: Vec<&CrashStrike> = Vec::new();
        for strike in strikes.iter().rev() {
            if counted.iter().all(|other| are_independent(other, strike)) {
                counted.push(strike);
            }
        }
        counted.len()
    }

    /// Returns `true` if many targets of the strike's domain crashed at about that time, at least
    /// one of them without the request in flight; the strike then doesn't count.
    fn is_domain_failure(&self, strike: &CrashStrike, record: &RequestRecord) -> bool {
        let window = self.options.domain_window;
        let simultaneous: Vec<(&u64, &RecentCrash)> = self
            .recent_crashes
            .iter()
            .filter(|(_, recent)| recent.domain == strike.domain)
            .filter(|(_, recent)| recent.at.since(strike.at) < window)
            .filter(|(_, recent)| strike.at.since(recent.at) < window)
            .collect();
        let targets: BTreeSet<&TargetId> = simultaneous
            .iter()
            .map(|(_, recent)| &recent.target)
            .collect();
        let is_without_request = |crash_id: &u64| !record.strikes.contains_key(crash_id);
        targets.len() >= self.options.domain_losses
            && simultaneous
                .iter()
                .any(|(crash_id, _)| is_without_request(crash_id))
    }

    fn refusal_span(&self, refusals: u32) -> TimeSpan {
        let factor = 2_f64.powi(
            i32::try_from(refusals.saturating_sub(1))
                .unwrap_or(30)
                .min(30),
        );
        self.options.hold.mul_f64(factor).min(self.options.max_hold)
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
