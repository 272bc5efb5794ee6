//! Whether the machine keeps up: where it doesn't, promises with a time in them say nothing.

use std::thread;
use std::time::{Duration, Instant};

use tokio_util::sync::{CancellationToken, DropGuard};

use crate::soak_history::{HistoryLog, TroubleRecord, TroubleSubject};

/// How often it is looked.
const TICK: Duration = Duration::from_millis(10);
/// How late a tick may be: processes that wait so long for a core answer late themselves.
const MOST_LATE: Duration = Duration::from_millis(100);

/// Watches until the guard is dropped.
#[must_use]
pub fn start(log: HistoryLog) -> DropGuard {
    let stopping = CancellationToken::new();
    let stopped = stopping.clone();
    thread::spawn(move || {
        while !stopped.is_cancelled() {
            let from = log.now();
            let asleep = Instant::now();
            thread::sleep(TICK);
            if asleep.elapsed() > MOST_LATE {
                let until = log.now();
                log.lock().troubles.push(TroubleRecord {
                    subject: TroubleSubject::Machine,
                    what: "late".to_owned(),
                    from,
                    until: Some(until),
                });
            }
        }
    });
    stopping.drop_guard()
}
