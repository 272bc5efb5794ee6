//! State machine of a graceful shutdown ([`crate::drain`]).

use alderhaven_core::time::{TimePoint, TimeSpan};
use statig::prelude::*;

use crate::drain::{DrainEvent, DrainOptions, StopReason, StopReport};

/// The state machine's storage.
#[derive(Clone, Debug)]
pub(crate) struct DrainLifecycle {
    options: DrainOptions,
    stop_requested_at: TimePoint,
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
                self.stop(StopReason::AskedTwice, in_flight, now)
            }
            DrainEvent::Ticked { now, in_flight } => {
                if self.is_over_limit(now) {
                    self.stop(StopReason::LimitReached, in_flight, now)
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
                self.stop(StopReason::AskedTwice, in_flight, now)
            }
            DrainEvent::Ticked { now, in_flight } => {
                if in_flight == 0 {
                    self.stop(StopReason::Finished, 0, now)
                } else if self.is_over_limit(now) {
                    self.stop(StopReason::LimitReached, in_flight, now)
                } else {
                    Handled
                }
            }
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
