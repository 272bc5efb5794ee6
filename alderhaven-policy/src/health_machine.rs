//! State machine of [`crate::connection_health`].

use statig::prelude::*;

use crate::connection_health::{HealthAction, HealthEvent};

/// The state machine's storage: the action to take after the last event.
#[derive(Debug)]
pub(crate) struct HealthMachine {
    action: HealthAction,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "statig hands events to its states by reference"
)]
#[state_machine(
    initial = "HealthPhase::trusted()",
    state(name = "HealthPhase", derive(Clone, Copy, Debug, Eq, PartialEq))
)]
impl HealthMachine {
    #[state]
    fn trusted(&mut self, event: &HealthEvent) -> Outcome<HealthPhase> {
        match event {
            HealthEvent::Silent => self.act(HealthAction::Probe, HealthPhase::probing()),
            HealthEvent::ProbeRefused => self.act(HealthAction::Nothing, HealthPhase::down()),
            HealthEvent::Replied | HealthEvent::ProbeAnswered | HealthEvent::ProbeSilent => {
                self.stay()
            }
        }
    }

    #[state]
    fn probing(&mut self, event: &HealthEvent) -> Outcome<HealthPhase> {
        match event {
            // One probe at a time is enough.
            HealthEvent::Silent => self.stay(),
            HealthEvent::Replied => self.act(HealthAction::Nothing, HealthPhase::trusted()),
            HealthEvent::ProbeAnswered => {
                self.act(HealthAction::ReplaceIdle, HealthPhase::trusted())
            }
            HealthEvent::ProbeRefused | HealthEvent::ProbeSilent => {
                self.act(HealthAction::Nothing, HealthPhase::down())
            }
        }
    }

    #[state]
    fn down(&mut self, event: &HealthEvent) -> Outcome<HealthPhase> {
        match event {
            HealthEvent::Silent => self.act(HealthAction::Probe, HealthPhase::probing()),
            HealthEvent::Replied => self.act(HealthAction::Nothing, HealthPhase::trusted()),
            HealthEvent::ProbeAnswered => {
                self.act(HealthAction::ReplaceIdle, HealthPhase::trusted())
            }
            HealthEvent::ProbeRefused | HealthEvent::ProbeSilent => self.stay(),
        }
    }
}

impl HealthMachine {
    pub(crate) const fn new() -> Self {
        Self {
            action: HealthAction::Nothing,
        }
    }

    pub(crate) const fn action(&self) -> HealthAction {
        self.action
    }

    fn act(&mut self, action: HealthAction, phase: HealthPhase) -> Outcome<HealthPhase> {
        self.action = action;
        Transition(phase)
    }

    fn stay(&mut self) -> Outcome<HealthPhase> {
        self.action = HealthAction::Nothing;
        Handled
    }
}
