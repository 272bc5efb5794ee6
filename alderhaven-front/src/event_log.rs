//! Writes events to the process log, with a rate limit for each kind of event.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock, PoisonError};

use alderhaven_core::logging;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::quantities::RatePerSecond;
use alderhaven_policy::log_limit::LogLimit;
use log::Level;
use serde::{Deserialize, Serialize};

use crate::front_event::FrontEvent;

/// The default rate of lines of one kind.
const DEFAULT_LINES_PER_SECOND: f64 = 10.0;

/// The default burst of lines of one kind; covers the requests that a short fault affects.
const DEFAULT_BURST_LINES: f64 = 40.0;

/// Settings of the event log.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogOptions {
    /// The sustained rate of lines of one kind.
    pub rate: RatePerSecond,
    /// The number of lines of one kind that may be written at once.
    pub burst: f64,
    /// The sampling of successful requests: one of this many is logged; 0 logs none.
    pub success_period: u64,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            rate: RatePerSecond::new(DEFAULT_LINES_PER_SECOND).unwrap_or_default(),
            burst: DEFAULT_BURST_LINES,
            success_period: 0,
        }
    }
}

/// The rate limits of all events; process-wide, like the logger.
static LIMITS: OnceLock<ProcessLogLimits> = OnceLock::new();

struct ProcessLogLimits {
    clock: ProcessClock,
    limit: Mutex<LogLimit>,
    success_period: u64,
    successes: AtomicU64,
}

impl ProcessLogLimits {
    fn new(options: &LogOptions) -> Self {
        Self {
            clock: ProcessClock::default(),
            limit: Mutex::new(LogLimit::new(options.rate, options.burst)),
            success_period: options.success_period,
            successes: AtomicU64::new(0),
        }
    }
}

/// Sets the limits of the process. Ignored once limits are in use.
pub fn configure(options: &LogOptions) {
    let _is_set = LIMITS.set(ProcessLogLimits::new(options));
}

fn limits() -> &'static ProcessLogLimits {
    LIMITS.get_or_init(|| ProcessLogLimits::new(&LogOptions::default()))
}

/// Counts a successful request; returns true if it is sampled for the log.
#[must_use]
pub fn sample_success() -> bool {
    let limits = limits();
    if limits.success_period == 0 {
        return false;
    }
    let count = limits.successes.fetch_add(1, Ordering::Relaxed);
    count.is_multiple_of(limits.success_period)
}

#[derive(Serialize)]
struct CountedEvent<'a> {
    #[serde(flatten)]
    event: &'a FrontEvent,
    /// The lines of this kind that were suppressed since the previous one.
    #[serde(skip_serializing_if = "is_zero")]
    left_out: u64,
}

/// Writes an event unless the rate limit of its kind suppresses it.
pub fn write(level: Level, event: &FrontEvent) {
    if let Some(left_out) = admit_line(level, event.kind()) {
        logging::emit(level, &CountedEvent { event, left_out });
    }
}

/// Writes an event that is built only if the rate limit of its kind admits it, because building
/// one can be expensive.
pub fn write_with(level: Level, kind: &'static str, build: impl FnOnce() -> FrontEvent) {
    if let Some(left_out) = admit_line(level, kind) {
        let event = &build();
        logging::emit(level, &CountedEvent { event, left_out });
    }
}

/// Takes a line from the rate limit; returns the number of lines suppressed before it, or `None`
/// if this one is suppressed.
fn admit_line(level: Level, kind: &'static str) -> Option<u64> {
    if level > log::max_level() {
        return None;
    }
    let limits = limits();
    let now = limits.clock.now();
    let mut limit = limits.limit.lock().unwrap_or_else(PoisonError::into_inner);
    limit.take(kind, now)
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the serialiser passes a reference"
)]
const fn is_zero(left_out: &u64) -> bool {
    *left_out == 0
}
