//! Detects scheduling stalls of the machine, during which promises with a time bound are not
//! checked.

use std::thread;
use std::time::{Duration, Instant};

use tokio_util::sync::{CancellationToken, DropGuard};

use crate::soak_history::{DisruptionRecord, DisruptionSubject, HistoryLog};

/// The time that the detector sleeps between checks.
const TICK_PERIOD: Duration = Duration::from_millis(10);
/// The longest tick without a stall. Longer ones mean that other processes wait for a core too.
const MAX_TICK_DELAY: Duration = Duration::from_millis(100);

/// Starts a thread that records stalls in the history until the guard is dropped.
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
