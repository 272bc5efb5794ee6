//! The budget of repeated arrivals at a service, shared by all nodes without asking each other.
//!
//! Load pattern: many nodes hedge and retry towards the same small service. Each of them sees only
//! its own sends, and together they must stay below a share of the requests for the service.
//!
//! Without it: a service whose servers turn slow is hedged by every node for every request, and
//! carries twice its load when it can carry least.
//!
//! The rule is counted in any window of a given length: repeats may be a share of the requests plus
//! a fixed number. Each node keeps its repeats below that share of its own requests, and takes its
//! part of the fixed number ([`crate::group_share`]), so that the sum keeps the rule whatever the
//! nodes know of each other.
//!
//! Hedges leave a reserve: a retry after a failure saves an answer, a hedge only saves time.

use std::collections::VecDeque;

use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};

/// The pieces into which the window is cut; a repeat is forgotten up to one piece late.
const WINDOW_PIECES: u64 = 20;

/// The share of the allowance that is used. Requests that are counted here may reach the service in the
/// next window, and nodes join and leave meanwhile.
const USED_SHARE: f64 = 0.9;

/// The share of the allowance that hedges leave to retries after failures.
const RETRY_RESERVE: f64 = 0.1;

/// A `RepeatOptions` holds the rule that all nodes keep together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RepeatOptions {
    /// The repeats that each request adds.
    pub ratio: f64,
    /// The repeats that come free in each window, for all nodes together.
    pub extra: f64,
    /// The length of the window.
    pub window: TimeSpan,
}

impl Default for RepeatOptions {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            extra: 32.0,
            window: TimeSpan::from_secs(10),
        }
    }
}

/// A `RepeatReason` is why a request is sent once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatReason {
    /// The first attempt is late.
    Hedge,
    /// An attempt failed.
    Retry,
}

/// A `RepeatBudget` counts a node's requests and repeats towards one service.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    options: RepeatOptions,
    pieces: VecDeque<WindowPiece>,
    requests: u32,
    repeats: u32,
}

#[derive(Clone, Copy, Debug)]
struct WindowPiece {
    number: u64,
    requests: u32,
    repeats: u32,
}

impl RepeatBudget {
    /// Returns a budget without any requests.
    #[must_use]
    pub const fn new(options: RepeatOptions) -> Self {
        Self {
            options,
            pieces: VecDeque::new(),
            requests: 0,
            repeats: 0,
        }
    }

    /// Takes over a changed rule.
    pub const fn set_options(&mut self, options: RepeatOptions) {
        self.options = options;
    }

    /// Notes a request for the service.
    pub fn note_request(&mut self, now: TimePoint) {
        self.piece(now).requests += 1;
        self.requests += 1;
    }

    /// Takes one repeat; returns false where it would break the rule.
    ///
    /// `part` is the node's part of the fixed number of repeats.
    pub fn take(&mut self, reason: RepeatReason, part: f64, now: TimePoint) -> bool {
        self.forget(now);
        let allowed = self.allowed(part);
        let kept_back = match reason {
            RepeatReason::Hedge => allowed * RETRY_RESERVE,
            RepeatReason::Retry => 0.0,
        };
        if f64::from(self.repeats) + 1.0 > allowed - kept_back {
            return false;
        }
        self.piece(now).repeats += 1;
        self.repeats += 1;
        true
    }

    fn allowed(&self, part: f64) -> f64 {
        let shared = self.options.extra * part;
        (f64::from(self.requests) * self.options.ratio + shared) * USED_SHARE
    }

    fn piece(&mut self, now: TimePoint) -> &mut WindowPiece {
        self.forget(now);
        let number = self.number(now);
        if self.pieces.back().is_none_or(|piece| piece.number < number) {
            self.pieces.push_back(WindowPiece {
                number,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.pieces.len() - 1;
        &mut self.pieces[last]
    }

    fn forget(&mut self, now: TimePoint) {
        let number = self.number(now);
        while let Some(piece) = self.pieces.front().copied() {
            if piece.number + WINDOW_PIECES >= number {
                return;
            }
            self.requests -= piece.requests;
            self.repeats -= piece.repeats;
            self.pieces.pop_front();
        }
    }

    fn number(&self, now: TimePoint) -> u64 {
        let piece = (self.options.window.as_micros() / WINDOW_PIECES).max(1);
        now.as_micros() / piece
    }
}
