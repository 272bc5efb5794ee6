//! Logging of typed events as JSON lines, to standard error or through a queue to standard output.
//!
//! simplelog has no JSON format, so all of its prefixes are disabled and each message is a complete
//! JSON line. Messages of other crates are filtered out because they are not JSON.

use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

use log::LevelFilter;
use serde::Serialize;
use simplelog::{Config, ConfigBuilder, WriteLogger};

use crate::log_queue::LogQueue;

/// Common prefix of the crates whose messages pass the filter.
const CRATE_NAME_PREFIX: &str = "alderhaven";

/// Log record around a typed event.
#[derive(Serialize)]
struct LogLine<'a, E: Serialize> {
    /// Milliseconds since the Unix epoch.
    time_ms: u128,
    level: &'a str,
    #[serde(flatten)]
    event: &'a E,
}

/// Starts logging to standard error at `level`. Has no effect if the process already logs.
pub fn start(level: LevelFilter) {
    // Fails if the process has a logger already, which then stays in use.
    let _already_started = WriteLogger::init(level, logger_config(), io::stderr());
}

/// Starts logging to standard output at `level`, through a queue that never blocks the caller.
///
/// # Errors
/// The writer thread could not be started.
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

/// Logs an event as one JSON line. An event that can't be serialized is dropped.
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
