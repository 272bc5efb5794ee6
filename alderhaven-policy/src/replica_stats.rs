//! What one node has seen of one replica, and what it expects of the next attempt there.
//!
//! Load pattern: a shard has two or three replicas. Some are slow for seconds, some fail part of
//! what they are sent while their health check is good, some are silent, and each pauses now and
//! then for a tenth of a second.
//!
//! Without it: every second or third attempt meets the bad replica, and the hedges that save them
//! use up the budget that is meant for pauses.
//!
//! The rules:
//! - slowness is measured against the kind of request: the ratio of an attempt's time to the usual
//!   time of its kind, averaged. It fades, so that a slow replica is tried again after some seconds;
//! - an attempt that is out for much longer than usual says at once that the replica is stuck;
//! - failures add to what is expected, so that a replica which fails or refuses a part of its
//!   requests is second choice, the more so the larger that part;
//! - one that can't be reached some times in a row is set aside for a time that doubles. One that is
//!   reached never is: half of its answers are better than none.

use alderhaven_core::time::{TimePoint, TimeSpan};
use smallvec::SmallVec;

/// The weight of the newest ratio in the average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// The time in which what is known of slowness and failures halves.
const HALF_LIFE: TimeSpan = TimeSpan::from_millis(2_500);
/// The largest ratio that is kept, so that one lost answer does not shut a replica out for long.
const MAX_RATIO: f64 = 40.0;
/// The attempts in a row that could not reach a replica after which it is set aside. A single one may be
/// a connection above the replica's cap.
const EJECT_AFTER: u32 = 2;
/// The first time for which a replica is set aside.
const FIRST_EJECTION: TimeSpan = TimeSpan::from_millis(300);
/// The longest time for which a replica is set aside; a process is restarted within seconds.
const MAX_EJECTION: TimeSpan = TimeSpan::from_millis(2_400);
/// How many times the usual time an attempt is out before the replica counts as stuck.
const STUCK_FACTOR: f64 = 3.0;
/// The shortest time after which a replica counts as stuck, above the jitter of the network.
const MIN_STUCK_TIME: TimeSpan = TimeSpan::from_millis(12);
/// What a stuck replica is expected to need still.
const STUCK_COST: TimeSpan = TimeSpan::from_millis(60);
/// What a replica that fails all it gets is expected to cost, by the square of the share that it fails: a
/// rare failure is mended by one repeat, frequent ones use up the repeats that all nodes share.
const FAILURE_COST: TimeSpan = TimeSpan::from_millis(250);

/// An `AttemptResult` is how an attempt at a replica ended, as far as the replica is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// It answered.
    Answered,
    /// It failed or refused, though it was reached.
    Failed,
    /// It could not be reached.
    Unreachable,
    /// It was called off, which says nothing but how long it had been out.
    Cancelled,
}

/// A `ReplicaGauge` is the state of one replica.
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
    /// Notes that an attempt was sent.
    pub fn begin_attempt(&mut self, now: TimePoint) {
        self.in_flight.push(now);
    }

    /// Notes the end of an attempt that was sent at `sent`; `usual` is the usual time of its kind.
    pub fn end_attempt(
        &mut self,
        sent: TimePoint,
        usual: TimeSpan,
        result: AttemptResult,
        now: TimePoint,
    ) {
        if let Some(place) = self.in_flight.iter().position(|point| *point == sent) {
            self.in_flight.swap_remove(place);
        }
        let ratio = ratio_of(now.since(sent), usual);
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

    /// Gets the number of attempts that are out.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Gets the averaged ratio of times to the usual ones, 1 where nothing is known.
    #[must_use]
    pub fn slowness(&self, now: TimePoint) -> f64 {
        self.decayed_ratio(now)
    }

    /// Returns true while the replica is set aside.
    #[must_use]
    pub fn is_ejected(&self, now: TimePoint) -> bool {
        now < self.ejected_until
    }

    /// Returns true where an attempt is out for much longer than usual.
    #[must_use]
    pub fn is_stuck(&self, usual: TimeSpan, now: TimePoint) -> bool {
        let bound = usual.mul_f64(STUCK_FACTOR).max(MIN_STUCK_TIME);
        self.oldest_age(now) > bound
    }

    /// Gets the time that the next attempt is expected to take, with what a failure would cost.
    #[must_use]
    pub fn expected_cost(&self, usual: TimeSpan, slots: u32, now: TimePoint) -> TimeSpan {
        let ratio = self.decayed_ratio(now);
        let own = usual.mul_f64(ratio);
        let queue = own.mul_f64(self.in_flight.len() as f64 / f64::from(slots.max(1)));
        let rate = self.failure_rate * self.decay_factor(now);
        let failure = FAILURE_COST.mul_f64(rate * rate);
        let stuck = if self.is_stuck(usual, now) {
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
        let halves = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        0.5_f64.powf(halves)
    }

    fn oldest_age(&self, now: TimePoint) -> TimeSpan {
        self.in_flight
            .iter()
            .map(|sent| now.since(*sent))
            .max()
            .unwrap_or_default()
    }
}

fn ratio_of(time: TimeSpan, usual: TimeSpan) -> f64 {
    let usual = usual.as_secs_f64().max(1e-6);
    (time.as_secs_f64() / usual).min(MAX_RATIO)
}
