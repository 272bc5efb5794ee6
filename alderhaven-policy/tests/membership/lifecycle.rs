//! All transitions of a member's lifecycle.

use alderhaven_core::ids::IncarnationNumber;
use alderhaven_core::time::TimePoint;
use alderhaven_policy::membership::member_machine::{MemberEvent, MemberMachine};
use alderhaven_policy::membership::member_record::MemberState::{Alive, Dead, Leaving, Suspect};
use alderhaven_policy::membership::member_record::{MemberState, MemberVersion};

const STATES: [MemberState; 4] = [Alive, Suspect, Leaving, Dead];

fn version(refutation: u32) -> MemberVersion {
    MemberVersion {
        incarnation: IncarnationNumber(7),
        refutation,
    }
}

fn update_received(state: MemberState, refutation: u32) -> MemberEvent {
    MemberEvent::UpdateReceived {
        state,
        version: version(refutation),
        now: TimePoint::START,
    }
}

/// Returns a machine in `state` at refutation 5.
fn machine_in(state: MemberState) -> MemberMachine {
    let mut machine = MemberMachine::new(Alive, version(5), TimePoint::START);
    match state {
        Alive => {}
        Dead => {
            machine.handle(update_received(Leaving, 5));
            machine.handle(update_received(Dead, 5));
        }
        Suspect | Leaving => {
            machine.handle(update_received(state, 5));
        }
    }
    assert_eq!((machine.state(), machine.version()), (state, version(5)));
    machine
}

fn state_after(state: MemberState, event: MemberEvent) -> (MemberState, u32) {
    let mut machine = machine_in(state);
    machine.handle(event);
    (machine.state(), machine.version().refutation)
}

#[test]
fn handle_update_of_the_same_version() {
    // Rows: state before; columns: reported state, in the order of `STATES`.
    let expected = [
        [Alive, Suspect, Leaving, Suspect],
        [Suspect, Suspect, Leaving, Suspect],
        [Leaving, Leaving, Leaving, Dead],
        [Dead, Dead, Dead, Dead],
    ];
    for (before, row) in STATES.into_iter().zip(expected) {
        for (reported_state, next) in STATES.into_iter().zip(row) {
            let event = update_received(reported_state, 5);
            assert_eq!(
                state_after(before, event),
                (next, 5),
                "{before:?} receives {reported_state:?}"
            );
        }
    }
}

#[test]
fn handle_update_of_an_older_version() {
    for before in STATES {
        for reported_state in STATES {
            assert_eq!(
                state_after(before, update_received(reported_state, 4)),
                (before, 5)
            );
        }
    }
}

#[test]
fn handle_update_of_a_newer_version() {
    for before in STATES {
        for reported_state in STATES {
            let next = match (before, reported_state) {
                (Alive | Suspect, Dead) => Suspect,
                _ => reported_state,
            };
            assert_eq!(
                state_after(before, update_received(reported_state, 6)),
                (next, 6)
            );
        }
    }
}

#[test]
fn handle_probe_failed() {
    let event = MemberEvent::ProbeFailed {
        now: TimePoint::START,
    };
    let expected = [Suspect, Suspect, Dead, Dead];
    for (before, next) in STATES.into_iter().zip(expected) {
        assert_eq!(state_after(before, event), (next, 5));
    }
}

#[test]
fn handle_suspicion_expired() {
    let event = MemberEvent::SuspicionExpired {
        now: TimePoint::START,
    };
    let expected = [Alive, Dead, Leaving, Dead];
    for (before, next) in STATES.into_iter().zip(expected) {
        assert_eq!(state_after(before, event), (next, 5));
    }
}

#[test]
fn new_from_a_reported_death_is_suspect() {
    let machine = MemberMachine::new(Dead, version(0), TimePoint::START);
    assert_eq!(machine.state(), Suspect);
}
