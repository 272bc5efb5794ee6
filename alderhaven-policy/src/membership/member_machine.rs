//! What happens to a member, and the machine that runs its lifecycle.

use alderhaven_core::time::TimePoint;
use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::membership::member_lifecycle::{MemberLifecycle, MemberPhase};
use crate::membership::member_record::{MemberState, MemberVersion};

/// A `MemberEvent` is what a process learns of a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberEvent {
    /// Somebody said that the member is in a state.
    UpdateReceived {
        /// The state that was said.
        state: MemberState,
        /// The version that it was said of.
        version: MemberVersion,
        /// When it was heard.
        now: TimePoint,
    },
    /// The member answered neither a probe nor those who probed it on request.
    ProbeFailed {
        /// When the probe ended.
        now: TimePoint,
    },
    /// The time within which the member could refute a suspicion has passed.
    SuspicionExpired {
        /// When it passed.
        now: TimePoint,
    },
}

/// A `MemberMachine` runs the lifecycle of one member.
pub struct MemberMachine {
    machine: StateMachine<MemberLifecycle>,
}

impl MemberMachine {
    /// Returns the machine of a member that was first heard of in a state; of a death that comes
    /// first nothing is kept, so it begins as a suspicion.
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

    /// Applies an event; returns true where the state or the version changed.
    pub fn handle(&mut self, event: MemberEvent) -> bool {
        let before = (self.state(), self.version());
        self.machine.handle(&event);
        before != (self.state(), self.version())
    }

    /// Gets the state.
    #[must_use]
    pub fn state(&self) -> MemberState {
        match self.machine.state() {
            MemberPhase::Alive {} => MemberState::Alive,
            MemberPhase::Suspect {} => MemberState::Suspect,
            MemberPhase::Leaving {} => MemberState::Leaving,
            MemberPhase::Dead {} => MemberState::Dead,
        }
    }

    /// Gets the newest version heard of.
    #[must_use]
    pub fn version(&self) -> MemberVersion {
        self.machine.inner().version
    }

    /// Gets the time since which the state holds.
    #[must_use]
    pub fn since(&self) -> TimePoint {
        self.machine.inner().since
    }
}
