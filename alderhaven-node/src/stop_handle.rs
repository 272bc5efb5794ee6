//! Graceful shutdown of a process, requested by a signal, an operator or the owner of the handle.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use alderhaven_core::logging;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::drain::{DrainEvent, DrainOptions, DrainSequence, DrainState, StopReport};
use log::Level;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time;

use crate::node_group::NodeGroup;

/// Time between two checks of the number of requests in flight.
const IN_FLIGHT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Requests a shutdown and reports its progress; clones share the same state.
#[derive(Clone, Debug)]
pub struct StopHandle {
    stop_requests: watch::Sender<u32>,
    state: watch::Sender<DrainState>,
    report: watch::Sender<Option<StopReport>>,
    in_flight: Arc<AtomicUsize>,
    /// When unfinished requests get their final answers; set by the first stop request.
    closing_at: Arc<OnceLock<Instant>>,
}

/// A change of the shutdown's phase, as it is logged.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename = "drain_phase")]
struct DrainProgress {
    state: DrainState,
    in_flight: usize,
    elapsed: TimeSpan,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: Arc<AtomicUsize>,
}

impl Default for StopHandle {
    fn default() -> Self {
        Self {
            stop_requests: watch::Sender::new(0),
            state: watch::Sender::new(DrainState::Serving),
            report: watch::Sender::new(None),
            in_flight: Arc::default(),
            closing_at: Arc::default(),
        }
    }
}

impl StopHandle {
    /// Requests a graceful shutdown; after a second call the process gives its final answers and ends.
    pub fn request_stop(&self) {
        self.stop_requests.send_modify(|count| *count += 1);
    }

    /// Requests a graceful shutdown, unless one was requested before.
    pub fn request_stop_once(&self) {
        self.stop_requests.send_if_modified(|count| {
            let is_first = *count == 0;
            *count = (*count).max(1);
            is_first
        });
    }

    /// Returns the current phase of the shutdown.
    #[must_use]
    pub fn state(&self) -> DrainState {
        *self.state.borrow()
    }

    /// Counts a request as in flight until the guard is dropped.
    #[must_use]
    pub fn begin_request(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard {
            in_flight: Arc::clone(&self.in_flight),
        }
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Returns the time until unfinished requests get their final answers; `None` if no stop was
    /// requested.
    #[must_use]
    pub fn remaining_run_time(&self) -> Option<TimeSpan> {
        let closing_at = self.closing_at.get()?;
        // A second stop request brings the final answers forward.
        if matches!(self.state(), DrainState::Closing | DrainState::Stopped) {
            return Some(TimeSpan::ZERO);
        }
        Some(TimeSpan::from(
            closing_at.saturating_duration_since(Instant::now()),
        ))
    }

    /// Waits until the process is leaving, or is in a later phase.
    pub async fn leaving(&self) {
        self.wait_for_state(|state| state != DrainState::Serving)
            .await;
    }

    /// Waits until the process no longer accepts requests.
    pub async fn finishing(&self) {
        self.wait_for_state(|state| !matches!(state, DrainState::Serving | DrainState::Leaving))
            .await;
    }

    /// Waits until unfinished requests get their final answers.
    pub async fn closing(&self) {
        self.wait_for_state(|state| matches!(state, DrainState::Closing | DrainState::Stopped))
            .await;
    }

    /// Waits for the end of the shutdown and returns its report.
    pub async fn stopped(&self) -> StopReport {
        let mut report = self.report.subscribe();
        loop {
            if let Some(finished_report) = *report.borrow_and_update() {
                return finished_report;
            }
            if report.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Runs the shutdown from the first request to its end.
    ///
    /// `in_flight` returns the number of requests that should finish first.
    pub async fn drive(
        self,
        options: DrainOptions,
        group: NodeGroup,
        in_flight: impl Fn() -> usize,
    ) {
        let clock = ProcessClock::default();
        let run_limit = options.run_limit().as_duration();
        let mut sequence = DrainSequence::new(options);
        let mut requests = self.stop_requests.subscribe();
        let mut handled = 0;
        let mut requested_at = TimePoint::START;
        loop {
            let now = clock.now();
            let requested = *requests.borrow_and_update();
            let in_flight = in_flight();
            if handled < requested {
                handled += 1;
                requested_at = if handled == 1 { now } else { requested_at };
                self.closing_at.get_or_init(|| Instant::now() + run_limit);
                sequence.handle(DrainEvent::StopRequested { now, in_flight });
            } else {
                sequence.handle(DrainEvent::Ticked { now, in_flight });
            }
            if self.state() != sequence.state() {
                let progress = DrainProgress {
                    state: sequence.state(),
                    in_flight,
                    elapsed: now.since(requested_at),
                };
                logging::emit(Level::Info, &progress);
                self.enter_state(sequence.state(), &group).await;
            }
            if let Some(report) = sequence.report() {
                group.shut_down().await;
                self.report.send_replace(Some(report));
                return;
            }
            if handled == 0 {
                // Nothing is due before the first request.
                let _change = requests.changed().await;
            } else {
                let _change_or_timeout =
                    time::timeout(IN_FLIGHT_POLL_INTERVAL, requests.changed()).await;
            }
        }
    }

    /// Publishes a new state; announces leaving to the group first.
    async fn enter_state(&self, state: DrainState, group: &NodeGroup) {
        if state == DrainState::Leaving {
            group.announce_leaving().await;
        }
        self.state.send_replace(state);
    }

    /// Waits until the current state satisfies the condition.
    async fn wait_for_state(&self, is_reached: impl Fn(DrainState) -> bool) {
        let mut state = self.state.subscribe();
        // `self` owns the sender, so the wait only ends with the state.
        let _reached = state.wait_for(|state| is_reached(*state)).await;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
