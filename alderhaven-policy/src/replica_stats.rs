//! Statistics of one replica as seen from one node, and the expected cost of the next attempt.
//!
//! Slowness is the averaged ratio of an attempt's time to the typical latency of its kind of
//! request. It decays, so that a slow replica is tried again after some seconds. An attempt that is
//! in flight for much longer than typical marks the replica as stuck. Failures add to the expected
//! cost. A replica that repeatedly can't be reached is ejected for a time that doubles; one that
//! can be reached is never ejected, however often it fails, since some answers are better than
//! none.

use alderhaven_core::time::{TimePoint, TimeSpan};
use smallvec::SmallVec;

/// The weight of the newest sample in the averages.
const SAMPLE_WEIGHT: f64 = 0.2;
/// The half-life of slowness and failure rate.
const HALF_LIFE: TimeSpan = TimeSpan::from_millis(2_500);
/// The largest ratio recorded, so that one lost answer doesn't keep a replica out of use for long.
const MAX_RATIO: f64 = 40.0;
/// The consecutive unreachable attempts that eject a replica. A single one may be a connection
/// above the replica's limit.
const EJECT_AFTER: u32 = 2;
/// The length of the first ejection.
const FIRST_EJECTION: TimeSpan = TimeSpan::from_millis(300);
/// The longest ejection; short, since a process restarts within seconds.
const MAX_EJECTION: TimeSpan = TimeSpan::from_millis(2_400);
/// The multiple of the typical latency after which an attempt in flight marks the replica as stuck.
const STUCK_FACTOR: f64 = 3.0;
/// The shortest time after which a replica counts as stuck, above network jitter.
const MIN_STUCK_TIME: TimeSpan = TimeSpan::from_millis(12);
/// The time that a stuck replica is expected to stay stuck.
const STUCK_COST: TimeSpan = TimeSpan::from_millis(60);
/// The expected cost of a replica that fails every attempt, multiplied by the square of the failure
/// rate, so that rare failures, which a retry covers, cost little. Frequent ones would use up the
/// retries that all nodes share.
const FAILURE_COST: TimeSpan = TimeSpan::from_millis(250);

/// How an attempt at a replica ended, as far as the replica is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The replica answered.
    Answered,
    /// The replica was reached and failed or refused the request.
    Failed,
    /// The replica could not be reached.
    Unreachable,
    /// The attempt was cancelled; only the time it had been in flight is known.
    Cancelled,
}

/// Latency and failure statistics of one replica.
#[derive(Clone, Debug, Default)]
pub struct ReplicaStats {
    excess_ratio: f64,
    failure_rate: f64,
    updated_at: TimePoint,
    in_flight: SmallVec<[TimePoint; 8]>,
    consecutive_unreachable: u32,
    ejected_until: TimePoint,
}

impl ReplicaStats {
    /// Counts an attempt as sent at `now`.
    pub fn begin_attempt(&mut self, now: TimePoint) {
        self.in_flight.push(now);
    }

    /// Ends the attempt that was sent at `sent`; `typical_latency` is the typical latency of its kind.
    pub fn end_attempt(
        &mut self,
        sent: TimePoint,
        typical_latency: TimeSpan,
        result: AttemptResult,
        now: TimePoint,
    ) {
        if let Some(index) = self.in_flight.iter().position(|point| *point == sent) {
            self.in_flight.swap_remove(index);
        }
        let ratio = ratio_of(now.since(sent), typical_latency);
        match result {
            AttemptResult::Answered => {
                self.add_sample(ratio, 0.0, now);
                self.record_reached();
            }
            AttemptResult::Failed => {
                self.add_sample(self.decayed_ratio(now), 1.0, now);
                self.record_reached();
            }
            AttemptResult::Unreachable => {
                self.add_sample(self.decayed_ratio(now), 1.0, now);
                self.record_unreachable(now);
            }
            AttemptResult::Cancelled => {
                if ratio > self.decayed_ratio(now) {
                    self.add_sample(ratio, 0.0, now);
                }
            }
        }
    }

    /// Returns the number of attempts in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the averaged ratio of latency to typical latency, or 1 if nothing is known.
    #[must_use]
    pub fn slowness(&self, now: TimePoint) -> f64 {
        self.decayed_ratio(now)
    }

    /// Returns `true` while the replica is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: TimePoint) -> bool {
        now < self.ejected_until
    }

    /// Returns `true` if an attempt has been in flight for much longer than typical.
    #[must_use]
    pub fn is_stuck(&self, typical_latency: TimeSpan, now: TimePoint) -> bool {
        let bound = typical_latency.mul_f64(STUCK_FACTOR).max(MIN_STUCK_TIME);
        self.oldest_age(now) > bound
    }

    /// Returns the expected duration of the next attempt plus the expected cost of a failure.
    #[must_use]
    pub fn expected_cost(&self, typical_latency: TimeSpan, slots: u32, now: TimePoint) -> TimeSpan {
        let ratio = self.decayed_ratio(now);
        let own = typical_latency.mul_f64(ratio);
        let queue = own.mul_f64(self.in_flight.len() as f64 / f64::from(slots.max(1)));
        let rate = self.failure_rate * self.decay_factor(now);
        let failure = FAILURE_COST.mul_f64(rate * rate);
        let stuck = if self.is_stuck(typical_latency, now) {
            STUCK_COST
        } else {
            TimeSpan::ZERO
        };
        own + queue + failure + stuck
    }

    const fn record_reached(&mut self) {
        self.consecutive_unreachable = 0;
        self.ejected_until = TimePoint::START;
    }

    fn record_unreachable(&mut self, now: TimePoint) {
        self.consecutive_unreachable += 1;
        let Some(doublings) = self.consecutive_unreachable.checked_sub(EJECT_AFTER) else {
            return;
        };
        let factor = f64::from(1_u32 << doublings.min(8));
        self.ejected_until = now + FIRST_EJECTION.mul_f64(factor).min(MAX_EJECTION);
    }

    fn add_sample(&mut self, ratio: f64, failure: f64, now: TimePoint) {
        let old = self.decayed_ratio(now);
        let old_failure = self.failure_rate * self.decay_factor(now);
        self.excess_ratio = old + (ratio - old) * SAMPLE_WEIGHT - 1.0;
        self.failure_rate = old_failure + (failure - old_failure) * SAMPLE_WEIGHT;
        self.updated_at = now;
    }

    fn decayed_ratio(&self, now: TimePoint) -> f64 {
        1.0 + self.excess_ratio * self.decay_factor(now)
    }

    fn decay_factor(&self, now: TimePoint) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        0.5_f64.powf(half_lives)
    }

    fn oldest_age(&self, now: TimePoint) -> TimeSpan {
        self.in_flight
            .iter()
            .map(|sent| now.since(*sent))
            .max()
            .unwrap_or_default()
    }
}

fn ratio_of(time: TimeSpan, typical_latency: TimeSpan) -> f64 {
    let typical_latency = typical_latency.as_secs_f64().max(1e-6);
    (time.as_secs_f64() / typical_latency).min(MAX_RATIO)
}
