//! The sequence in which a process stops as planned.
//!
//! Load pattern: 890 restarts a day under load. A process that simply ended would cut its requests
//! in flight, and callers who hold its address would find it closed. The order is: announce that it
//! leaves, serve on until nobody names it any more and the answers that did have lapsed, take
//! nothing new, finish what is in flight, end. A second signal or the limit ends it at once, and
//! the report then says how many requests were cut.

use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};
use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::drain_lifecycle::{DrainLifecycle, DrainPhase};

/// A `DrainOptions` holds the spans of a stop.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainOptions {
    /// The time until every node has heard that the process leaves.
    #[serde(rename = "heard_within")]
    pub leave_propagation_time: TimeSpan,
    /// The time for which answers that name the process are kept; zero for a relay.
    #[serde(rename = "address_life")]
    pub directory_lifetime: TimeSpan,
    /// The longest time from the signal to the end.
    pub limit: TimeSpan,
}

impl Default for DrainOptions {
    fn default() -> Self {
        Self {
            leave_propagation_time: TimeSpan::from_secs(3),
            directory_lifetime: TimeSpan::from_secs(10),
            limit: TimeSpan::from_secs(60),
        }
    }
}

/// A `DrainState` says how far a stop has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    /// No stop was asked for.
    Serving,
    /// Leaving is announced; the process is absent from new answers and serves what arrives.
    Leaving,
    /// Nothing new is taken; requests in flight finish.
    Finishing,
    /// The process may end.
    Stopped,
}

/// A `DrainEvent` is what happens to a process that may stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainEvent {
    /// A signal or an operator asks the process to stop; the second time it must end at once.
    StopRequested {
        /// When it was asked.
        now: TimePoint,
        /// The requests in flight.
        in_flight: usize,
    },
    /// Time has passed.
    Ticked {
        /// The time.
        now: TimePoint,
        /// The requests in flight.
        in_flight: usize,
    },
}

/// A `StopReason` says why a process ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// All requests were finished.
    Finished,
    /// It was asked a second time.
    AskedTwice,
    /// The limit was reached.
    LimitReached,
}

/// A `StopReport` says how a stop ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StopReport {
    /// Why the process ended.
    pub reason: StopReason,
    /// How many requests in flight were cut.
    #[serde(rename = "cut")]
    pub aborted_requests: usize,
    /// The time from the signal to the end.
    #[serde(rename = "took")]
    pub elapsed: TimeSpan,
}

/// A `DrainSequence` runs the stop of one process.
pub struct DrainSequence {
    machine: StateMachine<DrainLifecycle>,
}

impl DrainSequence {
    /// Returns the sequence of a process that serves.
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

    /// Gets how far the stop has come.
    #[must_use]
    pub fn state(&self) -> DrainState {
        match self.machine.state() {
            DrainPhase::Serving {} => DrainState::Serving,
            DrainPhase::Leaving {} => DrainState::Leaving,
            DrainPhase::Finishing {} => DrainState::Finishing,
            DrainPhase::Stopped {} => DrainState::Stopped,
        }
    }

    /// Returns true while requests that arrive are served.
    #[must_use]
    pub fn takes_requests(&self) -> bool {
        matches!(self.state(), DrainState::Serving | DrainState::Leaving)
    }

    /// Gets the report; none before the process may end.
    #[must_use]
    pub fn report(&self) -> Option<StopReport> {
        self.machine.inner().report()
    }
}
