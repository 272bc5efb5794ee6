//! The way of a front's events into its log, with a bound for each kind.

use std::sync::{LazyLock, Mutex, PoisonError};

use alderhaven_core::logging;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::quantities::RatePerSecond;
use alderhaven_policy::log_limit::LogLimit;
use log::Level;
use serde::Serialize;

use crate::front_event::FrontEvent;

/// The lines of one kind in a second. A line costs some ten microseconds of a part of a core, so that
/// all kinds together stay below a hundredth of it.
const LINES_PER_SECOND: f64 = 10.0;

/// The lines of one kind that may come at once: one for each request that a short fault hits.
const LINES_AT_ONCE: f64 = 40.0;

/// The limits are those of the process, like its log.
static LIMITS: LazyLock<ProcessLimits> = LazyLock::new(ProcessLimits::default);

struct ProcessLimits {
    clock: ProcessClock,
    limit: Mutex<LogLimit>,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        let rate = RatePerSecond::new(LINES_PER_SECOND).unwrap_or_default();
        Self {
            clock: ProcessClock::default(),
            limit: Mutex::new(LogLimit::new(rate, LINES_AT_ONCE)),
        }
    }
}

#[derive(Serialize)]
struct CountedEvent<'a> {
    #[serde(flatten)]
    event: &'a FrontEvent,
    /// The lines of this kind that were left out before this one.
    #[serde(skip_serializing_if = "is_none")]
    left_out: u64,
}

/// Writes an event, unless there are too many of its kind.
pub fn write(level: Level, event: &FrontEvent) {
    if level > log::max_level() {
        return;
    }
    let now = LIMITS.clock.now();
    let taken = {
        let mut limit = LIMITS.limit.lock().unwrap_or_else(PoisonError::into_inner);
        limit.take(event.kind(), now)
    };
    if let Some(left_out) = taken {
        logging::emit(level, &CountedEvent { event, left_out });
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the serialiser passes a reference"
)]
const fn is_none(left_out: &u64) -> bool {
    *left_out == 0
}
