//! How late a process wakes up for its own timers.
//!
//! Load pattern: a host gives a process a part of a core. While it works on some dozens of replies, or
//! its share is used up, whatever is due waits: the moment at which a query should be answered, and in
//! the same way a request that has arrived and was not seen yet.
//!
//! Without it: answers leave some milliseconds after they were due and arrive after the caller's
//! target; how many, depends on the host's size and on the number of shards.
//!
//! The lag follows late wake-ups quickly and forgets them slowly: an answer that is late by a
//! millisecond has lost most of its worth, one that is early by some has lost next to none.

use alderhaven_core::time::{TimePoint, TimeSpan};

/// The weight of a wake-up that is later than the lag.
const INCREASE_WEIGHT: f64 = 0.25;
/// The weight of one that is not.
const DECREASE_WEIGHT: f64 = 0.02;
/// The most that is learnt. A process that was suspended wakes up seconds late, once.
const MAX_LAG: TimeSpan = TimeSpan::from_millis(25);

/// A `WakeLag` follows the lag of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimerLag {
    lag_micros: f64,
}

impl TimerLag {
    /// Notes a wake-up that was due at `due`.
    pub fn record_wakeup(&mut self, due: TimePoint, now: TimePoint) {
        let lag = now.since(due).min(MAX_LAG).as_micros() as f64;
        let weight = if lag > self.lag_micros {
            INCREASE_WEIGHT
        } else {
            DECREASE_WEIGHT
        };
        self.lag_micros += (lag - self.lag_micros) * weight;
    }

    /// Gets the lag.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the lag is at most some milliseconds, and not negative"
    )]
    pub const fn get(&self) -> TimeSpan {
        TimeSpan::from_micros(self.lag_micros as u64)
    }
}
