//! Measures how late a process wakes up for its own timers.
//!
//! A process that is short of processor time handles timers and arrived requests late. Callers that
//! plan an answer for a certain time subtract the lag. It follows late wake-ups quickly and decays
//! slowly, since an answer that is slightly late costs more than one that is slightly early.

use alderhaven_core::time::{TimePoint, TimeSpan};

/// Weight of a wake-up that is later than the current lag.
const INCREASE_WEIGHT: f64 = 0.25;
/// Weight of a wake-up that is not later than the current lag.
const DECREASE_WEIGHT: f64 = 0.02;
/// Largest lag of a sample. A process that was suspended wakes up seconds late, once.
const MAX_LAG: TimeSpan = TimeSpan::from_millis(25);

/// Moving average of the lag of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimerLag {
    lag_micros: f64,
}

impl TimerLag {
    /// Records a wake-up that was due at `due`.
    pub fn record_wakeup(&mut self, due: TimePoint, now: TimePoint) {
        let lag = now.since(due).min(MAX_LAG).as_micros() as f64;
        let weight = if lag > self.lag_micros {
            INCREASE_WEIGHT
        } else {
            DECREASE_WEIGHT
        };
        self.lag_micros += (lag - self.lag_micros) * weight;
    }

    /// Returns the current lag.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the lag lies between zero and MAX_LAG"
    )]
    pub const fn get(&self) -> TimeSpan {
        TimeSpan::from_micros(self.lag_micros as u64)
    }
}
