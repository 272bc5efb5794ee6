//! Events of a member and the state machine that handles them.

use alderhaven_core::time::TimePoint;
use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::membership::member_lifecycle::{MemberLifecycle, MemberPhase};
use crate::membership::member_record::{MemberState, MemberVersion};

/// Observation about one member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberEvent {
    /// An update about the member arrived.
    UpdateReceived {
        /// State that the update reports.
        state: MemberState,
        /// Version that the state belongs to.
        version: MemberVersion,
        /// Time of arrival.
        now: TimePoint,
    },
    /// The member answered neither the direct probe nor the indirect ones.
    ProbeFailed {
        /// Time at which the probe period ended.
        now: TimePoint,
    },
    /// The member did not refute a suspicion in time.
    SuspicionExpired {
        /// Time at which the suspicion expired.
        now: TimePoint,
    },
}

/// Runs the lifecycle of one member as a blocking state machine.
pub struct MemberMachine {
    machine: StateMachine<MemberLifecycle>,
}

impl MemberMachine {
    /// Creates the machine of a member that was just discovered. A member whose first update
    /// reports it dead starts as suspect.
    #[must_use]
    pub fn new(state: MemberState, version: MemberVersion, now: TimePoint) -> Self {
        let lifecycle = MemberLifecycle {
            version,
            since: now,
        };
        let mut machine = lifecycle.state_machine();
        machine.init();
        machine.handle(&MemberEvent::UpdateReceived {
            state,
            version,
            now,
        });
        Self { machine }
    }

    /// Applies an event; returns true if the state or the version changed.
    pub fn handle(&mut self, event: MemberEvent) -> bool {
        let before = (self.state(), self.version());
        self.machine.handle(&event);
        before != (self.state(), self.version())
    }

    /// Returns the current state of the lifecycle.
    #[must_use]
    pub fn state(&self) -> MemberState {
        match self.machine.state() {
            MemberPhase::Alive {} => MemberState::Alive,
            MemberPhase::Suspect {} => MemberState::Suspect,
            MemberPhase::Leaving {} => MemberState::Leaving,
            MemberPhase::Dead {} => MemberState::Dead,
        }
    }

    /// Returns the newest version that any update has reported.
    #[must_use]
    pub fn version(&self) -> MemberVersion {
        self.machine.inner().version
    }

    /// Returns the time of the last state change.
    #[must_use]
    pub fn since(&self) -> TimePoint {
        self.machine.inner().since
    }
}
