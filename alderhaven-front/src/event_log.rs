//! The way of a front's events into its log, with a bound for each kind.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock, PoisonError};

use alderhaven_core::logging;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::quantities::RatePerSecond;
use alderhaven_policy::log_limit::LogLimit;
use log::Level;
use serde::{Deserialize, Serialize};

use crate::front_event::FrontEvent;

/// The lines of one kind in a second.
const DEFAULT_LINES_PER_SECOND: f64 = 10.0;

/// The lines of one kind that may come at once: one for each request that a short fault hits.
const DEFAULT_BURST_LINES: f64 = 40.0;

/// `LogOptions` are the settings of the log of a process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogOptions {
    /// The lines of one kind in a second.
    pub rate: RatePerSecond,
    /// The lines of one kind that may come at once.
    pub burst: f64,
    /// Of how many requests that were answered whole one gets a line; 0 where none does.
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

/// The limits are those of the process, like its log.
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

/// Sets the limits of the process; once something was written they stay as they are.
pub fn configure(options: &LogOptions) {
    // A second call would change limits that lines were counted by.
    let _is_set = LIMITS.set(ProcessLogLimits::new(options));
}

fn limits() -> &'static ProcessLogLimits {
    LIMITS.get_or_init(|| ProcessLogLimits::new(&LogOptions::default()))
}

/// Counts a request that was answered whole; returns true where it is one that gets a line.
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
    /// The lines of this kind that were left out before this one.
    #[serde(skip_serializing_if = "is_zero")]
    left_out: u64,
}

/// Writes an event, unless there are too many of its kind.
pub fn write(level: Level, event: &FrontEvent) {
    if let Some(left_out) = admit_line(level, event.kind()) {
        logging::emit(level, &CountedEvent { event, left_out });
    }
}

/// Writes an event that is built only where there are not too many of its kind: a line names dozens of
/// targets, and of a hundred partial answers a second ten have one.
pub fn write_with(level: Level, kind: &'static str, build: impl FnOnce() -> FrontEvent) {
    if let Some(left_out) = admit_line(level, kind) {
        let event = &build();
        logging::emit(level, &CountedEvent { event, left_out });
    }
}

/// Asks for a line of a kind; gets the number that were left out before it, or none where this one is
/// left out too.
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
