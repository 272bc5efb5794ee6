//! Graceful shutdown of a process.
//!
//! The process announces that it leaves, and serves on until other nodes no longer name it and the
//! answers that name it have expired. Then it accepts nothing new, finishes the requests in flight
//! and ends. Shortly before the time limit it answers what is unfinished, as not run or of unknown
//! outcome, so that no caller sees its connection close without an answer. A second stop request
//! does the same at once. The report says how many requests are aborted.

use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};
use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::drain_lifecycle::{DrainLifecycle, DrainPhase};

/// Time spans of a graceful shutdown.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainOptions {
    /// The time until every other node knows that the process is leaving.
    #[serde(rename = "heard_within")]
    pub leave_propagation_time: TimeSpan,
    /// How long callers keep answers that name the process; zero for a relay.
    #[serde(rename = "address_life")]
    pub directory_lifetime: TimeSpan,
    /// The maximum time from the stop request to the end.
    pub limit: TimeSpan,
    /// The last part of `limit`, in which unfinished requests get their final answers.
    #[serde(rename = "final_answers")]
    pub final_answer_time: TimeSpan,
}

impl Default for DrainOptions {
    fn default() -> Self {
        Self {
            leave_propagation_time: TimeSpan::from_secs(3),
            directory_lifetime: TimeSpan::from_secs(10),
            limit: TimeSpan::from_secs(60),
            final_answer_time: TimeSpan::from_millis(200),
        }
    }
}

impl DrainOptions {
    /// Returns the time from the stop request to the final answers.
    #[must_use]
    pub const fn run_limit(&self) -> TimeSpan {
        self.limit.saturating_sub(self.final_answer_time)
    }
}

/// The progress of a shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    /// No stop has been requested.
    Serving,
    /// The process has announced that it leaves; new answers don't name it, and it serves what arrives.
    Leaving,
    /// The process accepts nothing new and finishes the requests in flight.
    Finishing,
    /// The time is up or a second stop was requested: the requests in flight get their final answers.
    Closing,
    /// The process may end.
    Stopped,
}

/// An input of the shutdown sequence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainEvent {
    /// A signal or an operator asks the process to stop; at a second request it gives its final
    /// answers, and at a third one it ends at once.
    StopRequested {
        /// The time of the request.
        now: TimePoint,
        /// The number of requests in flight.
        in_flight: usize,
    },
    /// Time has passed.
    Ticked {
        /// The present time.
        now: TimePoint,
        /// The number of requests in flight.
        in_flight: usize,
    },
}

/// Why a process ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// All requests in flight were finished.
    Finished,
    /// A second stop was requested.
    AskedTwice,
    /// The time limit was reached.
    LimitReached,
}

/// The result of a shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StopReport {
    /// Why the process ended.
    pub reason: StopReason,
    /// The number of requests in flight that were aborted.
    #[serde(rename = "cut")]
    pub aborted_requests: usize,
    /// The time from the stop request to the end.
    #[serde(rename = "took")]
    pub elapsed: TimeSpan,
}

/// The shutdown of one process.
pub struct DrainSequence {
    machine: StateMachine<DrainLifecycle>,
}

impl DrainSequence {
    /// Creates the sequence of a process that is serving.
    #[must_use]
    pub fn new(options: DrainOptions) -> Self {
        let mut machine = DrainLifecycle::new(options).state_machine();
        machine.init();
        Self { machine }
    }

    /// Applies an event.
    pub fn handle(&mut self, event: DrainEvent) {
        self.machine.handle(&event);
    }

    /// Returns the progress of the shutdown.
    #[must_use]
    pub fn state(&self) -> DrainState {
        match self.machine.state() {
            DrainPhase::Serving {} => DrainState::Serving,
            DrainPhase::Leaving {} => DrainState::Leaving,
            DrainPhase::Finishing {} => DrainState::Finishing,
            DrainPhase::Closing {} => DrainState::Closing,
            DrainPhase::Stopped {} => DrainState::Stopped,
        }
    }

    /// Returns `true` while arriving requests are served.
    #[must_use]
    pub fn takes_requests(&self) -> bool {
        matches!(self.state(), DrainState::Serving | DrainState::Leaving)
    }

    /// Returns the result, or `None` before the process may end.
    #[must_use]
    pub fn report(&self) -> Option<StopReport> {
        self.machine.inner().report()
    }
}
