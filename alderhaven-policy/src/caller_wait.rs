//! How long a caller has waited already when its request arrives.
//!
//! Load pattern: a caller counts its wait from its first step, which is a question for fronts, a new
//! connection or an attempt that failed elsewhere. A front that counts from the arrival of the request
//! answers some tens of milliseconds too late, although it had enough shards in time.
//!
//! Callers of one route have the same patience, and say with each request what is left of it. The
//! most that was said lately is the whole patience, and what is missing of it is the wait.

use alderhaven_core::time::{TimePoint, TimeSpan};

/// How long a patience is remembered: two turns of it, so that a route whose callers change their
/// patience is read right after some seconds.
const TURN: TimeSpan = TimeSpan::from_secs(10);

/// A `CallerWait` follows the patience of a route's callers.
#[derive(Clone, Debug, Default)]
pub struct CallerWait {
    turn: u64,
    longest: TimeSpan,
    before: TimeSpan,
}

impl CallerWait {
    /// Notes the time that a caller has left, and gets how long it has waited already.
    ///
    /// A wait of more than `target` is taken for another patience or for a late attempt: its answer
    /// can't be in time, so that it is not hurried.
    pub fn note(&mut self, time_left: TimeSpan, target: TimeSpan, now: TimePoint) -> TimeSpan {
        let turn = now.as_micros() / TURN.as_micros();
        if turn != self.turn {
            let is_next = turn == self.turn + 1;
            self.before = if is_next {
                self.longest
            } else {
                TimeSpan::ZERO
            };
            self.longest = TimeSpan::ZERO;
            self.turn = turn;
        }
        self.longest = self.longest.max(time_left);
        let wait = self.longest.max(self.before).saturating_sub(time_left);
        if wait > target { TimeSpan::ZERO } else { wait }
    }
}
