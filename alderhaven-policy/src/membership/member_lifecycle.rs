//! State machine of one member as seen by another process.
//!
//! Updates are ordered by version and then by state, so the order of arrival does not matter.
//! There is one exception: a reported death of a member that was not leaving counts as a
//! suspicion, and each observer waits for the suspicion to expire itself. Outdated reports that
//! arrive after a network split has healed can then be refuted before the member loses work.

use alderhaven_core::time::TimePoint;
use statig::prelude::*;

use crate::membership::member_machine::MemberEvent;
use crate::membership::member_record::{MemberState, MemberVersion};

/// Storage of the state machine: the newest known version, and the time of the last state change.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MemberLifecycle {
    pub(super) version: MemberVersion,
    pub(super) since: TimePoint,
}

#[state_machine(
    initial = "MemberPhase::alive()",
    state(name = "MemberPhase", derive(Clone, Copy, Debug, Eq, PartialEq))
)]
impl MemberLifecycle {
    #[state]
    fn alive(&mut self, event: &MemberEvent) -> Outcome<MemberPhase> {
        match *event {
            MemberEvent::ProbeFailed { now } => self.enter(MemberPhase::suspect(), now),
            // A reported death only starts a suspicion; see the module documentation.
            MemberEvent::UpdateReceived {
                state: MemberState::Dead,
                version,
                now,
            } => self.apply_update(MemberState::Alive, MemberState::Suspect, version, now),
            MemberEvent::UpdateReceived {
                state,
                version,
                now,
            } => self.apply_update(MemberState::Alive, state, version, now),
            MemberEvent::SuspicionExpired { .. } => Handled,
        }
    }

    #[state]
    fn suspect(&mut self, event: &MemberEvent) -> Outcome<MemberPhase> {
        match *event {
            MemberEvent::SuspicionExpired { now } => self.enter(MemberPhase::dead(), now),
            MemberEvent::UpdateReceived {
                state: MemberState::Dead,
                version,
                now,
            } => self.apply_update(MemberState::Suspect, MemberState::Suspect, version, now),
            MemberEvent::UpdateReceived {
                state,
                version,
                now,
            } => self.apply_update(MemberState::Suspect, state, version, now),
            MemberEvent::ProbeFailed { .. } => Handled,
        }
    }

    #[state]
    fn leaving(&mut self, event: &MemberEvent) -> Outcome<MemberPhase> {
        match *event {
            // A leaving member gets no new work, so a wrong decision costs nothing.
            MemberEvent::ProbeFailed { now } => self.enter(MemberPhase::dead(), now),
            MemberEvent::UpdateReceived {
                state,
                version,
                now,
            } => self.apply_update(MemberState::Leaving, state, version, now),
            MemberEvent::SuspicionExpired { .. } => Handled,
        }
    }

    #[state]
    fn dead(&mut self, event: &MemberEvent) -> Outcome<MemberPhase> {
        match *event {
            MemberEvent::UpdateReceived {
                state,
                version,
                now,
            } => self.apply_update(MemberState::Dead, state, version, now),
            MemberEvent::ProbeFailed { .. } | MemberEvent::SuspicionExpired { .. } => Handled,
        }
    }
}

impl MemberLifecycle {
    fn enter(&mut self, phase: MemberPhase, now: TimePoint) -> Outcome<MemberPhase> {
        self.since = now;
        Transition(phase)
    }

    fn apply_update(
        &mut self,
        known_state: MemberState,
        reported_state: MemberState,
        version: MemberVersion,
        now: TimePoint,
    ) -> Outcome<MemberPhase> {
        if (version, reported_state) <= (self.version, known_state) {
            return Handled;
        }
        self.version = version;
        self.enter(MemberPhase::from_state(reported_state), now)
    }
}

impl MemberPhase {
    fn from_state(state: MemberState) -> Self {
        match state {
            MemberState::Alive => Self::alive(),
            MemberState::Suspect => Self::suspect(),
            MemberState::Leaving => Self::leaving(),
            MemberState::Dead => Self::dead(),
        }
    }
}
