//! Whether the machine keeps up: where it doesn't, promises with a time in them say nothing.

use std::thread;
use std::time::{Duration, Instant};

use tokio_util::sync::{CancellationToken, DropGuard};

use crate::soak_history::{DisruptionRecord, DisruptionSubject, HistoryLog};

/// How often it is looked.
const TICK_PERIOD: Duration = Duration::from_millis(10);
/// How late a tick may be: processes that wait so long for a core answer late themselves.
const MAX_TICK_DELAY: Duration = Duration::from_millis(100);

/// Watches until the guard is dropped.
#[must_use]
pub fn start(log: HistoryLog) -> DropGuard {
    let cancel_token = CancellationToken::new();
    let stop_token = cancel_token.clone();
    thread::spawn(move || {
        while !stop_token.is_cancelled() {
            let from = log.now();
            let sleep_start = Instant::now();
            thread::sleep(TICK_PERIOD);
            if sleep_start.elapsed() > MAX_TICK_DELAY {
                let until = log.now();
                log.lock().disruptions.push(DisruptionRecord {
                    subject: DisruptionSubject::Machine,
                    kind: "late".to_owned(),
                    from,
                    until: Some(until),
                });
            }
        }
    });
    cancel_token.drop_guard()
}
