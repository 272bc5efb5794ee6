//! Quarantine: a request that crashes targets is refused for a while.
//!
//! Load pattern: a request makes the process of its target die. The caller sees a failure and sends
//! it again, through another entry too, and retries and hedges bring it to further replicas.
//!
//! Without it: one request takes down every replica of its shard, and each resend does so again.
//!
//! The rules:
//! - A *strike* is a crash of a target with the request in flight. Only the death of the process
//!   counts, not a cut path: the caller of this module decides that.
//! - A request with a strike is a *suspect*: it is run with no other request at its target, so that
//!   the next crash has one cause. Of two requests that were in flight together, the innocent one
//!   is answered then, and the guilty one is found with its second target.
//! - A request is refused after strikes at two different targets, at one of them alone. Strikes
//!   weigh nothing for a refusal while others were always in flight too.
//! - An answer from a replica of the shard clears the strikes for that shard: replicas hold the same
//!   data, so what one of them answers did not crash another.
//! - Targets of different shards that are lost at once count as one: they may have shared a host, and
//!   a query over many shards is in flight at all of them. A second replica of one of the shards is
//!   what tells; [`crate::crash_strike`] carries the shard for that.
//! - Many targets of one failure domain lost at once are no request's doing, where the request was
//!   not in flight at all of them: such strikes count for nothing.
//! - A refusal lapses. One more strike is then enough, and each refusal is twice as long.
//!
//! What it can't bound: the first wave of a query over many shards reaches several targets before
//! the first crash is known (the rest of it is refused in the queues, and one shard alone is tried
//! again first, so that the wave costs one further target); copies sent at the same moment do too; a
//! request that crashes targets only now and then is cleared by its answers; and requests that each
//! differ share no strikes.
//!
//! Strikes from several processes merge by union, in any order and any number of times, and every
//! judgement is computed from the strikes alone, so all processes come to the same one.
//!
//! Grounds for the figures: two targets are the fewest that tell a request from a failing host. A
//! crashed target is back within a minute or so, so 30 s spares it one more crash, and six refusals
//! reach 16 minutes. Two crashes of different causes within 10 minutes with the same request alone
//! are rare: at 890 restarts a day over 3,400 targets, 6 happen in that time, nearly all planned.
//! Four targets of one domain within 2 s is far above that rate.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::{FailureDomain, ShardId, TargetId};
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_core::value_check::ValueCheck;
use serde::{Deserialize, Serialize};

use crate::crash_strike::{CrashStrike, StrikeUpdate, TargetCrash};
use crate::policy_kind::PolicyKind;

/// The most strikes that are kept of one request; the newest stay.
///
/// It holds the first wave of a query over 130 shards, about 20 KB.
const MAX_STRIKES_PER_REQUEST: usize = 160;
/// The most crashes that are remembered for the judgement of whole domains.
const MAX_RECENT_CRASHES: usize = 512;

/// The most requests that may be allowed; each holds up to 20 KB of strikes.
const MAX_TRACKED_REQUESTS: usize = 1024;

/// A `QuarantineOptions` holds the settings of the quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuarantineOptions {
    /// Whether requests are refused at all.
    pub enabled: bool,
    /// The different targets after which a request is refused.
    pub targets: usize,
    /// The time within which those targets were lost.
    pub window: TimeSpan,
    /// How long the first refusal holds; each further one holds twice as long.
    pub hold: TimeSpan,
    /// The longest that a refusal holds.
    pub max_hold: TimeSpan,
    /// How long a strike is remembered.
    pub memory: TimeSpan,
    /// The targets of one domain whose loss at once is no request's doing.
    pub domain_losses: usize,
    /// What counts as at once.
    pub domain_window: TimeSpan,
    /// The most requests with strikes that are remembered.
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
    /// Checks the values; fields are named below `quarantine`.
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

/// A `QuarantineEntry` is the state of one request for the dump.
#[derive(Clone, Debug, Serialize)]
pub struct QuarantineEntry {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// How often it was refused.
    pub refusals: u32,
    /// How long it stays refused, in milliseconds; zero where it is a suspect only.
    pub refused_ms: u64,
    /// Its strikes.
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

/// A `CrashQuarantine` judges requests by the crashes they were part of.
#[derive(Clone, Debug)]
pub struct CrashQuarantine {
    options: QuarantineOptions,
    requests: HashMap<RequestFingerprint, RequestRecord>,
    recent_crashes: BTreeMap<u64, RecentCrash>,
}

impl CrashQuarantine {
    /// Returns an empty quarantine; the baseline policy has none.
    #[must_use]
    pub fn new(policy: PolicyKind, mut options: QuarantineOptions) -> Self {
        options.enabled &= policy == PolicyKind::Current;
        Self {
            options,
            requests: HashMap::new(),
            recent_crashes: BTreeMap::new(),
        }
    }

    /// Notes a crash: one strike for each request that was in flight. Returns the new strikes.
    pub fn record_crash(&mut self, crash: &TargetCrash, now: TimePoint) -> Vec<StrikeUpdate> {
        let different: BTreeSet<_> = crash.in_flight.iter().map(|(request, _)| request).collect();
        let in_flight = u32::try_from(different.len()).unwrap_or(u32::MAX);
        let news: Vec<StrikeUpdate> = crash
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
        let fresh = self.merge(&news, now);
        // A target that was lost idle tells of its domain.
        self.reevaluate_requests();
        fresh
    }

    /// Takes over strikes of another process; returns those that told something new.
    pub fn merge(&mut self, news: &[StrikeUpdate], now: TimePoint) -> Vec<StrikeUpdate> {
        if !self.options.enabled {
            return Vec::new();
        }
        let mut fresh = Vec::new();
        let memory = self.options.memory;
        for item in news.iter().filter(|item| item.age < memory) {
            let strike = CrashStrike {
                at: now - item.age,
                ..item.strike.clone()
            };
            self.record_recent_crash(strike.crash_id, &strike.target, &strike.domain, strike.at);
            if self.add_strike(item.fingerprint, strike) {
                fresh.push(item.clone());
            }
        }
        if !fresh.is_empty() {
            self.prune(now);
            self.reevaluate_requests();
        }
        fresh
    }

    /// Notes an answer to a request by a replica of a shard; returns the strikes that it cleared.
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

    /// Gets how long a request stays refused, or none where it is not.
    #[must_use]
    pub fn refused_for(
        &self,
        fingerprint: &RequestFingerprint,
        now: TimePoint,
    ) -> Option<TimeSpan> {
        let record = self.requests.get(fingerprint)?;
        (record.refused_until > now).then(|| now.until(record.refused_until))
    }

    /// Returns true where a request has a strike that counts still, so that it is run alone.
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

    /// Gets all strikes, for another process.
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

    /// Gets the number of requests with strikes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns true where no request has a strike.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Gets the state of all requests with strikes, for the dump.
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
        crash: u64,
        target: &TargetId,
        domain: &FailureDomain,
        at: TimePoint,
    ) {
        let loss = self
            .recent_crashes
            .entry(crash)
            .or_insert_with(|| RecentCrash {
                target: target.clone(),
                domain: domain.clone(),
                at,
            });
        loss.at = loss.at.min(at);
        if self.recent_crashes.len() > MAX_RECENT_CRASHES {
            let oldest = self.recent_crashes.iter().min_by_key(|(_, loss)| loss.at);
            if let Some(oldest) = oldest.map(|(crash, _)| *crash) {
                self.recent_crashes.remove(&oldest);
            }
        }
    }

    /// Adds a strike; returns true where that told something new.
    fn add_strike(&mut self, fingerprint: RequestFingerprint, strike: CrashStrike) -> bool {
        let strikes = &mut self.requests.entry(fingerprint).or_default().strikes;
        if let Some(known) = strikes.get_mut(&strike.crash_id) {
            let was_cleared = known.cleared;
            known.merge(&strike);
            // A time that is earlier by the delay of a message is not worth passing on.
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

    /// Forgets old strikes and, beyond the bound, the requests that were struck longest ago.
    fn prune(&mut self, now: TimePoint) {
        let memory = self.options.memory;
        self.recent_crashes
            .retain(|_, loss| now.since(loss.at) < memory);
        self.requests.retain(|_, record| {
            record
                .strikes
                .retain(|_, strike| now.since(strike.at) < memory);
            !record.strikes.is_empty()
        });
        while self.requests.len() > self.options.max_requests {
            let last_struck =
                |record: &RequestRecord| record.strikes.values().map(|strike| strike.at).max();
            let oldest = self
                .requests
                .iter()
                .min_by_key(|(fingerprint, record)| (last_struck(record), **fingerprint));
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.requests.remove(&oldest);
        }
    }

    /// Judges all requests anew: a domain that turns out to be lost changes what older strikes say.
    fn reevaluate_requests(&mut self) {
        let mut requests = std::mem::take(&mut self.requests);
        for record in requests.values_mut() {
            (record.refusals, record.refused_until) = self.evaluate(record);
        }
        self.requests = requests;
    }

    /// Walks through a request's strikes in their order, and counts the refusals they led to.
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
            // What was in flight as a refusal began belongs to the same wave.
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

    /// Judges the newest of the strikes together with those before it.
    fn has_enough_strikes(&self, strikes: &[&CrashStrike], refusals: u32) -> bool {
        let needed = if refusals == 0 {
            self.options.targets
        } else {
            1
        };
        self.count_independent(strikes) >= needed && strikes.iter().any(|strike| strike.is_alone())
    }

    /// Counts the strikes that have no cause in common but the request.
    ///
    /// Targets that are lost at once may have shared a host, whatever is known of their domains. A
    /// host holds a shard once, though, and a shard's replicas are tried one after the other.
    fn count_independent(&self, strikes: &[&CrashStrike]) -> usize {
        let window = self.options.domain_window;
        let is_apart = |one: &CrashStrike, other: &CrashStrike| {
            let is_later = one.at.since(other.at) >= window || other.at.since(one.at) >= window;
            one.target != other.target && (one.shard == other.shard || is_later)
        };
        // What did not tell without the newest strike does not tell now, so it is the first.
        let mut counted: Vec<&CrashStrike> = Vec::new();
        for strike in strikes.iter().rev() {
            if counted.iter().all(|other| is_apart(other, strike)) {
                counted.push(strike);
            }
        }
        counted.len()
    }

    /// Returns true where many targets of the strike's domain were lost around that time, also such
    /// at which the request was not in flight: then it is not what they had in common.
    fn is_domain_failure(&self, strike: &CrashStrike, record: &RequestRecord) -> bool {
        let window = self.options.domain_window;
        let around: Vec<(&u64, &RecentCrash)> = self
            .recent_crashes
            .iter()
            .filter(|(_, loss)| loss.domain == strike.domain)
            .filter(|(_, loss)| loss.at.since(strike.at) < window)
            .filter(|(_, loss)| strike.at.since(loss.at) < window)
            .collect();
        let targets: BTreeSet<&TargetId> = around.iter().map(|(_, loss)| &loss.target).collect();
        let is_elsewhere = |crash: &u64| !record.strikes.contains_key(crash);
        targets.len() >= self.options.domain_losses
            && around.iter().any(|(crash, _)| is_elsewhere(crash))
    }

    fn refusal_span(&self, refusals: u32) -> TimeSpan {
        let doubled = 2_f64.powi(
            i32::try_from(refusals.saturating_sub(1))
                .unwrap_or(30)
                .min(30),
        );
        self.options
            .hold
            .mul_f64(doubled)
            .min(self.options.max_hold)
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
