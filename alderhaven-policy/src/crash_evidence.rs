//! Decides which requests have caused the crashes that are known.
//!
//! Every request in flight at a crashed target is a candidate. A request is found to be the cause if
//! it was in flight at several independent crashes, at one of them alone or at two on trial, and if
//! no other candidate was in flight at all of these. Crashes with a known cause count against no
//! other request, so that several causes at once are found one after another, and neither do those
//! of a failing domain.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::TargetId;
use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::crash_record::{RecentCrash, RequestRecord};
use crate::crash_strike::CrashStrike;
use crate::quarantine_options::QuarantineOptions;
use crate::quarantine_verdict::SuspectReason;

/// The number of crashes on trial that suffice although another candidate was in flight at all of
/// them. Two requests meet at so many targets only if both are to blame.
const CONCLUSIVE_TRIALS: usize = 4;

/// The shortest time between two crashes on trial that are independent. A trial starts only after
/// the crash of the one before is known.
const TRIAL_DISTANCE: TimeSpan = TimeSpan::from_millis(5);

/// All strikes that no answer has cleared, by request.
pub(crate) struct CrashEvidence<'a> {
    options: &'a QuarantineOptions,
    crashes: &'a BTreeMap<u64, RecentCrash>,
    requests: &'a HashMap<RequestFingerprint, RequestRecord>,
    /// The requests that were in flight at each crash.
    in_flight: HashMap<u64, InFlightCount>,
    /// Crashes whose cause is known.
    explained: BTreeSet<u64>,
}

/// The known requests in flight at one crash.
#[derive(Clone, Copy, Debug, Default)]
struct InFlightCount {
    total: u32,
    uncleared: u32,
}

/// The refusals of one request.
pub(crate) struct RefusalHistory {
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) count: u32,
    pub(crate) until: TimePoint,
}

impl<'a> CrashEvidence<'a> {
    pub(crate) fn new(
        options: &'a QuarantineOptions,
        crashes: &'a BTreeMap<u64, RecentCrash>,
        requests: &'a HashMap<RequestFingerprint, RequestRecord>,
    ) -> Self {
        let mut in_flight: HashMap<u64, InFlightCount> = HashMap::new();
        for strike in requests.values().flat_map(|record| record.strikes.values()) {
            let count = in_flight.entry(strike.crash_id).or_default();
            count.total += 1;
            count.uncleared += u32::from(!strike.cleared);
        }
        Self {
            options,
            crashes,
            requests,
            in_flight,
            explained: BTreeSet::new(),
        }
    }

    /// Finds the causes, those of most crashes first. Returns the refusals of all requests, and the
    /// crashes whose cause is known.
    pub(crate) fn find_causes(mut self) -> (Vec<RefusalHistory>, BTreeSet<u64>) {
        let mut order: Vec<(usize, RequestFingerprint)> = self
            .requests
            .iter()
            .map(|(fingerprint, record)| (record.uncleared().count(), *fingerprint))
            .collect();
        order.sort_by_key(|(count, fingerprint)| (usize::MAX - count, *fingerprint));
        let mut histories = Vec::with_capacity(order.len());
        for (_, fingerprint) in order {
            let history = self.replay_strikes(fingerprint);
            if history.count > 0 {
                let record = &self.requests[&fingerprint];
                let caused = record.uncleared().map(|strike| strike.crash_id);
                self.explained.extend(caused);
            }
            histories.push(history);
        }
        (histories, self.explained)
    }

    /// Returns why the strikes against a suspect do not suffice for a refusal.
    pub(crate) fn suspect_reason(&self, fingerprint: &RequestFingerprint) -> SuspectReason {
        let record = &self.requests[fingerprint];
        if record.refusals > 0 {
            return SuspectReason::RefusalOver;
        }
        let strikes: Vec<&CrashStrike> = record.uncleared().collect();
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

    /// Replays a request's strikes in the order of time.
    fn replay_strikes(&self, fingerprint: RequestFingerprint) -> RefusalHistory {
        let record = &self.requests[&fingerprint];
        let mut strikes: Vec<&CrashStrike> = record
            .uncleared()
            .filter(|strike| !self.explained.contains(&strike.crash_id))
            .collect();
        strikes.sort_by_key(|strike| (strike.at, strike.crash_id));
        let mut history = RefusalHistory {
            fingerprint,
            count: 0,
            until: TimePoint::START,
        };
        let mut counted: Vec<&CrashStrike> = Vec::new();
        for strike in strikes {
            // Attempts in flight when a refusal began belong to the crashes that caused it.
            if history.count > 0 && strike.at < history.until {
                continue;
            }
            counted.retain(|earlier| strike.at.since(earlier.at) < self.options.window);
            counted.push(strike);
            if self.is_cause(&counted, &history, record) {
                history.count += 1;
                history.until = strike.at + self.options.refusal_span(history.count);
                counted.clear();
            }
        }
        history
    }

    /// Returns `true` if the strikes, the newest one included, justify a refusal. The costly checks
    /// come last, because most candidates have too few strikes.
    fn is_cause(
        &self,
        strikes: &[&CrashStrike],
        history: &RefusalHistory,
        record: &RequestRecord,
    ) -> bool {
        let is_repeated = history.count > 0;
        if !self.has_enough(strikes, is_repeated) {
            return false;
        }
        let own: Vec<&CrashStrike> = strikes
            .iter()
            .copied()
            .filter(|strike| !self.is_domain_failure(strike, record))
            .collect();
        if !self.has_enough(&own, is_repeated) {
            return false;
        }
        is_repeated
            || count_independent_trials(&own) >= CONCLUSIVE_TRIALS
            || !self.is_covered(&own, history.fingerprint)
    }

    fn has_enough(&self, strikes: &[&CrashStrike], is_repeated: bool) -> bool {
        let is_conclusive = |strike: &&CrashStrike| self.is_alone(strike);
        if is_repeated {
            return strikes
                .iter()
                .any(|strike| strike.is_trial || is_conclusive(strike));
        }
        self.count_independent(strikes) >= self.options.targets
            && (strikes.iter().any(is_conclusive) || count_independent_trials(strikes) >= 2)
    }

    /// Returns `true` if no other request that may be the cause was in flight at the target, at
    /// whichever node.
    fn is_alone(&self, strike: &CrashStrike) -> bool {
        let count = self
            .in_flight
            .get(&strike.crash_id)
            .copied()
            .unwrap_or_default();
        count.uncleared <= 1 && strike.in_flight <= count.total
    }

    /// Returns `true` if another candidate was in flight at all of these crashes.
    fn is_covered(&self, strikes: &[&CrashStrike], fingerprint: RequestFingerprint) -> bool {
        self.requests.iter().any(|(other, record)| {
            let has_uncleared = |strike: &&CrashStrike| {
                let known = record.strikes.get(&strike.crash_id);
                known.is_some_and(|known| !known.cleared)
            };
            *other != fingerprint && strikes.iter().all(has_uncleared)
        })
    }

    /// Counts the strikes whose only common cause can be the request.
    ///
    /// Targets that crash together may share a host, whatever their domains, and equal requests of
    /// several callers may be in flight at each of them. A trial is independent of the earlier crash
    /// of the same shard all the same: a host holds a shard once, and the trial was sent after the
    /// crash.
    fn count_independent(&self, strikes: &[&CrashStrike]) -> usize {
        let window = self.options.domain_window;
        count_pairwise(strikes, |one, other| {
            one.target != other.target
                && (time_between(one, other) >= window
                    || one.shard == other.shard && (one.is_trial || other.is_trial)
                    || are_successive_trials(one, other))
        })
    }

    /// Returns `true` if many targets of the strike's domain crashed at about that time, at least
    /// half of them without the request in flight and not under a single other request either; the
    /// strike then doesn't count.
    fn is_domain_failure(&self, strike: &CrashStrike, record: &RequestRecord) -> bool {
        let window = self.options.domain_window;
        let simultaneous = self.crashes.iter().filter(|(_, recent)| {
            recent.domain == strike.domain
                && recent.at.since(strike.at) < window
                && strike.at.since(recent.at) < window
        });
        let mut targets: BTreeSet<&TargetId> = BTreeSet::new();
        let mut others: Vec<u64> = Vec::new();
        let mut other_targets: BTreeSet<&TargetId> = BTreeSet::new();
        for (crash_id, recent) in simultaneous {
            targets.insert(&recent.target);
            let is_other = !record.strikes.contains_key(crash_id);
            if is_other && !self.explained.contains(crash_id) {
                others.push(*crash_id);
                other_targets.insert(&recent.target);
            }
        }
        if targets.len() < self.options.domain_losses || 2 * other_targets.len() < targets.len() {
            return false;
        }
        let covers_others = |record: &RequestRecord| {
            let known = |crash_id| record.strikes.get(crash_id);
            let is_uncleared = |crash_id| known(crash_id).is_some_and(|strike| !strike.cleared);
            others.iter().all(is_uncleared)
        };
        !self.requests.values().any(covers_others)
    }
}

/// Counts the crashes on trial that follow one another.
fn count_independent_trials(strikes: &[&CrashStrike]) -> usize {
    let trials: Vec<&CrashStrike> = strikes
        .iter()
        .copied()
        .filter(|strike| strike.is_trial)
        .collect();
    count_pairwise(&trials, are_successive_trials)
}

fn are_successive_trials(one: &CrashStrike, other: &CrashStrike) -> bool {
    let is_later = time_between(one, other) >= TRIAL_DISTANCE;
    one.is_trial && other.is_trial && one.target != other.target && is_later
}

fn time_between(one: &CrashStrike, other: &CrashStrike) -> TimeSpan {
    one.at.since(other.at).max(other.at.since(one.at))
}

/// Counts strikes that are independent of each other, the newest one among them: without it there
/// was no refusal.
fn count_pairwise(
    strikes: &[&CrashStrike],
    are_independent: impl Fn(&CrashStrike, &CrashStrike) -> bool,
) -> usize {
    let mut counted: Vec<&CrashStrike> = Vec::new();
    for strike in strikes.iter().rev() {
        if counted.iter().all(|other| are_independent(other, strike)) {
            counted.push(strike);
        }
    }
    counted.len()
}
