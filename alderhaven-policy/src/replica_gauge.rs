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
const NEWEST_WEIGHT: f64 = 0.2;
/// The time in which what is known of slowness and failures halves.
const FADE: TimeSpan = TimeSpan::from_millis(2_500);
/// The largest ratio that is kept, so that one lost answer does not shut a replica out for long.
const MAX_RATIO: f64 = 40.0;
/// The attempts in a row that could not reach a replica after which it is set aside. A single one may be
/// a connection above the replica's cap.
const ASIDE_AFTER: u32 = 2;
/// The first time for which a replica is set aside.
const FIRST_ASIDE: TimeSpan = TimeSpan::from_millis(300);
/// The longest time for which a replica is set aside; a process is restarted within seconds.
const LONGEST_ASIDE: TimeSpan = TimeSpan::from_millis(2_400);
/// How many times the usual time an attempt is out before the replica counts as stuck.
const STUCK_FACTOR: f64 = 3.0;
/// The shortest time after which a replica counts as stuck, above the jitter of the network.
const STUCK_MIN: TimeSpan = TimeSpan::from_millis(12);
/// What a stuck replica is expected to need still.
const STUCK_REST: TimeSpan = TimeSpan::from_millis(60);
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
    CalledOff,
}

/// A `ReplicaGauge` is the state of one replica.
#[derive(Clone, Debug, Default)]
pub struct ReplicaGauge {
    ratio: f64,
    failure: f64,
    changed: TimePoint,
    in_flight: SmallVec<[TimePoint; 8]>,
    unreachable_in_row: u32,
    aside_until: TimePoint,
}

impl ReplicaGauge {
    /// Notes that an attempt was sent.
    pub fn begin(&mut self, now: TimePoint) {
        self.in_flight.push(now);
    }

    /// Notes the end of an attempt that was sent at `sent`; `usual` is the usual time of its kind.
    pub fn end(&mut self, sent: TimePoint, usual: TimeSpan, result: AttemptResult, now: TimePoint) {
        if let Some(place) = self.in_flight.iter().position(|point| *point == sent) {
            self.in_flight.swap_remove(place);
        }
        let ratio = ratio_of(now.since(sent), usual);
        match result {
            AttemptResult::Answered => {
                self.learn(ratio, 0.0, now);
                self.is_reached();
            }
            AttemptResult::Failed => {
                self.learn(self.faded_ratio(now), 1.0, now);
                self.is_reached();
            }
            AttemptResult::Unreachable => {
                self.learn(self.faded_ratio(now), 1.0, now);
                self.count_unreachable(now);
            }
            AttemptResult::CalledOff => {
                if ratio > self.faded_ratio(now) {
                    self.learn(ratio, 0.0, now);
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
        self.faded_ratio(now)
    }

    /// Returns true while the replica is set aside.
    #[must_use]
    pub fn is_aside(&self, now: TimePoint) -> bool {
        now < self.aside_until
    }

    /// Returns true where an attempt is out for much longer than usual.
    #[must_use]
    pub fn is_stuck(&self, usual: TimeSpan, now: TimePoint) -> bool {
        let bound = usual.mul_f64(STUCK_FACTOR).max(STUCK_MIN);
        self.oldest(now) > bound
    }

    /// Gets the time that the next attempt is expected to take, with what a failure would cost.
    #[must_use]
    pub fn expected(&self, usual: TimeSpan, slots: u32, now: TimePoint) -> TimeSpan {
        let ratio = self.faded_ratio(now);
        let own = usual.mul_f64(ratio);
        let queue = own.mul_f64(self.in_flight.len() as f64 / f64::from(slots.max(1)));
        let rate = self.failure * self.fading(now);
        let failure = FAILURE_COST.mul_f64(rate * rate);
        let stuck = if self.is_stuck(usual, now) {
            STUCK_REST
        } else {
            TimeSpan::ZERO
        };
        own + queue + failure + stuck
    }

    const fn is_reached(&mut self) {
        self.unreachable_in_row = 0;
        self.aside_until = TimePoint::START;
    }

    fn count_unreachable(&mut self, now: TimePoint) {
        self.unreachable_in_row += 1;
        let Some(doublings) = self.unreachable_in_row.checked_sub(ASIDE_AFTER) else {
            return;
        };
        let factor = f64::from(1_u32 << doublings.min(8));
        self.aside_until = now + FIRST_ASIDE.mul_f64(factor).min(LONGEST_ASIDE);
    }

    fn learn(&mut self, ratio: f64, failure: f64, now: TimePoint) {
        let old = self.faded_ratio(now);
        let old_failure = self.failure * self.fading(now);
        self.ratio = old + (ratio - old) * NEWEST_WEIGHT - 1.0;
        self.failure = old_failure + (failure - old_failure) * NEWEST_WEIGHT;
        self.changed = now;
    }

    fn faded_ratio(&self, now: TimePoint) -> f64 {
        1.0 + self.ratio * self.fading(now)
    }

    fn fading(&self, now: TimePoint) -> f64 {
        let halves = now.since(self.changed).as_secs_f64() / FADE.as_secs_f64();
        0.5_f64.powf(halves)
    }

    fn oldest(&self, now: TimePoint) -> TimeSpan {
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
