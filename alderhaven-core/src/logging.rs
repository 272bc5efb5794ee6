//! The log: JSON lines, one typed event a line, on standard error or through a queue on standard
//! output.
//!
//! simplelog has no JSON form of its own. Every prefix is therefore switched off and the message is
//! the whole line: an event serialised by serde. Only our own crates pass the filter, since other
//! crates' messages are not JSON.

use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

use log::LevelFilter;
use serde::Serialize;
use simplelog::{Config, ConfigBuilder, WriteLogger};

use crate::log_queue::LogQueue;

/// The prefix of the modules whose messages are logged.
const CRATE_NAME_PREFIX: &str = "alderhaven";

/// A `LogLine` is one event with the time at which it was logged.
#[derive(Serialize)]
struct LogLine<'a, E: Serialize> {
    /// Milliseconds since the Unix epoch.
    time_ms: u128,
    level: &'a str,
    #[serde(flatten)]
    event: &'a E,
}

/// Starts the log on standard error at `level`; a second call in the same process changes nothing.
pub fn start(level: LevelFilter) {
    // A second logger in one process (the quickstart) is refused, and the first goes on.
    let _already_started = WriteLogger::init(level, logger_config(), io::stderr());
}

/// Starts the log on standard output at `level`, through a queue that no one waits for.
///
/// # Errors
/// The thread that writes can't be started.
pub fn start_queued(level: LevelFilter) -> io::Result<LogQueue> {
    let queue = LogQueue::start(io::stdout())?;
    let _already_started = WriteLogger::init(level, logger_config(), queue.clone());
    Ok(queue)
}

fn logger_config() -> Config {
    ConfigBuilder::new()
        .set_max_level(LevelFilter::Off)
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str(CRATE_NAME_PREFIX)
        .build()
}

/// Logs a typed event as one JSON line.
pub fn emit<E: Serialize>(level: log::Level, event: &E) {
    if level > log::max_level() {
        return;
    }
    let time_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis());
    let line = LogLine {
        time_ms,
        level: level.as_str(),
        event,
    };
    if let Ok(text) = serde_json::to_string(&line) {
        log::log!(target: CRATE_NAME_PREFIX, level, "{text}");
    }
}
