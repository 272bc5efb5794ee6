//! The lifecycle of a member as one other process sees it, as a state machine.
//!
//! News of a member is ordered by version and then by state, so the order of arrival does not
//! matter in the end. One rule goes beyond that order: another's word is not enough to hold a
//! member dead that was not leaving. It counts as a suspicion, and each process lets the time for a
//! refutation pass itself. After a split heals, late news of deaths crosses over about members that
//! were well all along; with this rule they refute it before they lose any work. For a member that
//! really died the rule costs nothing: the suspicion had reached everyone within moments, so all
//! wait at the same time.

use alderhaven_core::time::TimePoint;
use statig::prelude::*;

use crate::membership::member_machine::MemberEvent;
use crate::membership::member_record::{MemberState, MemberVersion};

/// A `MemberLifecycle` is the state machine's storage: the newest version heard of and since when
/// the state holds.
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
            // See the module's rule: a death by hearsay is a suspicion.
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
            // It gets no work already, so a wrong judgement would cut nothing.
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
