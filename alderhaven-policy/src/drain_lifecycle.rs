//! State machine of a graceful shutdown ([`crate::drain`]).

use alderhaven_core::time::{TimePoint, TimeSpan};
use statig::prelude::*;

use crate::drain::{DrainEvent, DrainOptions, StopReason, StopReport};

/// The state machine's storage.
#[derive(Clone, Debug)]
pub(crate) struct DrainLifecycle {
    options: DrainOptions,
    stop_requested_at: TimePoint,
    /// Why the final answers are given, and since when.
    closing_reason: StopReason,
    closing_since: TimePoint,
    /// Requests in flight at that time.
    unfinished_requests: usize,
    report: Option<StopReport>,
}

#[state_machine(
    initial = "DrainPhase::serving()",
    state(name = "DrainPhase", derive(Clone, Copy, Debug, Eq, PartialEq))
)]
impl DrainLifecycle {
    #[state]
    fn serving(&mut self, event: &DrainEvent) -> Outcome<DrainPhase> {
        match *event {
            DrainEvent::StopRequested { now, .. } => {
                self.stop_requested_at = now;
                Transition(DrainPhase::leaving())
            }
            DrainEvent::Ticked { .. } => Handled,
        }
    }

    #[state]
    fn leaving(&mut self, event: &DrainEvent) -> Outcome<DrainPhase> {
        match *event {
            DrainEvent::StopRequested { now, in_flight } => {
                self.close(StopReason::AskedTwice, in_flight, now)
            }
            DrainEvent::Ticked { now, in_flight } => {
                if self.is_over_limit(now) {
                    self.stop(StopReason::LimitReached, in_flight, now)
                } else if self.is_run_time_over(now) {
                    self.close(StopReason::LimitReached, in_flight, now)
                } else if now.since(self.stop_requested_at) >= self.leaving_span() {
                    Transition(DrainPhase::finishing())
                } else {
                    Handled
                }
            }
        }
    }

    #[state]
    fn finishing(&mut self, event: &DrainEvent) -> Outcome<DrainPhase> {
        match *event {
            DrainEvent::StopRequested { now, in_flight } => {
                self.close(StopReason::AskedTwice, in_flight, now)
            }
            DrainEvent::Ticked { now, in_flight } => {
                if in_flight == 0 {
                    self.stop(StopReason::Finished, 0, now)
                } else if self.is_over_limit(now) {
                    self.stop(StopReason::LimitReached, in_flight, now)
                } else if self.is_run_time_over(now) {
                    self.close(StopReason::LimitReached, in_flight, now)
                } else {
                    Handled
                }
            }
        }
    }

    #[state]
    fn closing(&mut self, event: &DrainEvent) -> Outcome<DrainPhase> {
        let (now, is_over) = match *event {
            DrainEvent::StopRequested { now, .. } => (now, true),
            DrainEvent::Ticked { now, in_flight } => {
                let is_over = now.since(self.closing_since) >= self.options.final_answer_time;
                (now, in_flight == 0 || is_over || self.is_over_limit(now))
            }
        };
        if is_over {
            self.stop(self.closing_reason, self.unfinished_requests, now)
        } else {
            Handled
        }
    }

    #[state]
    fn stopped(event: &DrainEvent) -> Outcome<DrainPhase> {
        match event {
            DrainEvent::StopRequested { .. } | DrainEvent::Ticked { .. } => Handled,
        }
    }
}

impl DrainLifecycle {
    pub(crate) const fn new(options: DrainOptions) -> Self {
        Self {
            options,
            stop_requested_at: TimePoint::START,
            closing_reason: StopReason::LimitReached,
            closing_since: TimePoint::START,
            unfinished_requests: 0,
            report: None,
        }
    }

    pub(crate) const fn report(&self) -> Option<StopReport> {
        self.report
    }

    /// Returns how long the process serves after the announcement: other nodes name it until they
    /// learn that it leaves, and callers keep such an answer for `directory_lifetime`.
    fn leaving_span(&self) -> TimeSpan {
        self.options.leave_propagation_time + self.options.directory_lifetime
    }

    fn is_run_time_over(&self, now: TimePoint) -> bool {
        now.since(self.stop_requested_at) >= self.options.run_limit()
    }

    fn close(
        &mut self,
        reason: StopReason,
        in_flight: usize,
        now: TimePoint,
    ) -> Outcome<DrainPhase> {
        self.closing_reason = reason;
        self.closing_since = now;
        self.unfinished_requests = in_flight;
        Transition(DrainPhase::closing())
    }

    fn is_over_limit(&self, now: TimePoint) -> bool {
        now.since(self.stop_requested_at) >= self.options.limit
    }

    fn stop(
        &mut self,
        reason: StopReason,
        aborted_requests: usize,
        now: TimePoint,
    ) -> Outcome<DrainPhase> {
        self.report = Some(StopReport {
            reason,
            aborted_requests,
            elapsed: now.since(self.stop_requested_at),
        });
        Transition(DrainPhase::stopped())
    }
}
