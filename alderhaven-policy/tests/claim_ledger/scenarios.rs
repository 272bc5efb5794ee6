//! Scenarios of the ledger that are worth a name.

use alderhaven_policy::claim_verdict::{ClaimRefusal, ClaimVerdict};

use crate::ledger_simulation::{LedgerOp, LedgerSimulation, sample_key};

fn apply_all(world: &mut LedgerSimulation, ops: &[LedgerOp]) {
    for op in ops {
        world.apply(*op);
    }
}

/// A caller sends a request; the store takes the entry's write and the answer to it is lost. The
/// entry reads back, finds its own claim and runs the request, once.
#[test]
fn ledger_lost_reply_is_read_back() {
    let mut world = LedgerSimulation::new();
    let ticket = world.send(0, sample_key(0), false);
    world.step();
    apply_all(
        &mut world,
        &[
            LedgerOp::Serve(0),
            LedgerOp::Reply(0),
            LedgerOp::Serve(0),
            LedgerOp::LoseReply(0),
            LedgerOp::Advance(150),
            LedgerOp::Serve(0),
            LedgerOp::Reply(0),
        ],
    );
    assert_eq!(world.verdict(ticket), Some(&ClaimVerdict::Granted(ticket)));
    world.recover_and_check();
}

/// A write is late and its entry gives up: the caller hears "not run". A read shows nothing, and
/// only then the write takes effect. A resend must not be answered "unknown" for good, so that the
/// entry has to write the claim out instead of trusting the read.
#[test]
fn ledger_write_takes_effect_after_the_read() {
    let mut world = LedgerSimulation::new();
    let ticket = world.send(0, sample_key(0), false);
    world.step();
    apply_all(
        &mut world,
        &[
            LedgerOp::Serve(0),
            LedgerOp::Reply(0),
            LedgerOp::Delay(0),
            LedgerOp::Advance(150),
            LedgerOp::Serve(1),
            LedgerOp::Reply(0),
            LedgerOp::LoseCall(1),
            LedgerOp::Advance(2_500),
            LedgerOp::Serve(1),
            LedgerOp::Reply(0),
            LedgerOp::Serve(0),
        ],
    );
    let refused = matches!(
        world.verdict(ticket),
        Some(ClaimVerdict::Refused {
            reason: ClaimRefusal::StoreSlow,
            ..
        })
    );
    assert!(refused, "{:?}", world.verdict(ticket));
    world.recover_and_check();
}

/// A request ran, its caller missed the answer, and the store goes out of service. The caller asks
/// an entry that has seen the claim: it must not hear "not run" of a request that ran.
#[test]
fn ledger_outage_does_not_deny_a_claim_that_was_seen() {
    let mut world = LedgerSimulation::new();
    let first = world.send(0, sample_key(0), false);
    world.settle();
    assert_eq!(world.verdict(first), Some(&ClaimVerdict::Granted(first)));
    let seen = world.send(1, sample_key(1), false);
    world.settle();
    assert_eq!(world.verdict(seen), Some(&ClaimVerdict::Granted(seen)));
    apply_all(&mut world, &[LedgerOp::Outage(true)]);
    for _ in 0..2 {
        let again = world.send(1, sample_key(0), false);
        world.step();
        apply_all(&mut world, &[LedgerOp::Serve(0), LedgerOp::Reply(0)]);
        let verdict = world.verdict(again);
        assert!(
            matches!(verdict, Some(ClaimVerdict::Taken(_))),
            "{verdict:?}"
        );
    }
}

/// An operator restores the store from a copy that is older than a granted claim. An entry that saw
/// a later version must claim nothing any more, whether in the same bucket or in another.
#[test]
fn ledger_restored_store_grants_nothing() {
    for later_key in [1, 4] {
        let mut world = LedgerSimulation::new();
        let older = world.copy_store();
        let ticket = world.send(0, sample_key(0), false);
        world.settle();
        assert_eq!(world.verdict(ticket), Some(&ClaimVerdict::Granted(ticket)));
        world.restore_store(older);
        for _ in 0..2 {
            let later = world.send(0, sample_key(later_key), false);
            world.settle();
            let refused = matches!(
                world.verdict(later),
                Some(ClaimVerdict::Refused {
                    reason: ClaimRefusal::LedgerBroken,
                    ..
                })
            );
            assert!(refused, "{:?}", world.verdict(later));
        }
        let again = world.send(0, sample_key(0), false);
        world.settle();
        let verdict = world.verdict(again);
        assert!(
            matches!(verdict, Some(ClaimVerdict::Taken(_))),
            "{verdict:?}"
        );
    }
}

/// Two entries write the same bucket while the store takes seconds for a call. The one whose write
/// came too late waits before its next try; it must not wait as long as that call took.
#[test]
fn ledger_conflict_of_a_slow_call_holds_up_briefly() {
    let mut world = LedgerSimulation::new();
    world.send(0, sample_key(0), false);
    world.send(1, sample_key(1), false);
    world.step();
    apply_all(
        &mut world,
        &[
            LedgerOp::Serve(0),
            LedgerOp::Serve(0),
            LedgerOp::Reply(0),
            LedgerOp::Reply(0),
            LedgerOp::Serve(0),
            LedgerOp::Reply(0),
            LedgerOp::Advance(60_000),
            LedgerOp::Serve(0),
            LedgerOp::Reply(0),
            LedgerOp::Advance(500),
        ],
    );
    let ticket = world.send(1, sample_key(1), false);
    world.settle();
    assert_eq!(world.verdict(ticket), Some(&ClaimVerdict::Granted(ticket)));
}

/// The store is out of service: the first request finds that out and is refused at once, and so is
/// the next one without a call.
#[test]
fn ledger_outage_refuses_at_once() {
    let mut world = LedgerSimulation::new();
    let first = world.send(0, sample_key(0), false);
    world.step();
    apply_all(
        &mut world,
        &[
            LedgerOp::Outage(true),
            LedgerOp::Serve(0),
            LedgerOp::Reply(0),
        ],
    );
    let second = world.send(0, sample_key(1), false);
    world.step();
    for ticket in [first, second] {
        let refused = matches!(
            world.verdict(ticket),
            Some(ClaimVerdict::Refused {
                reason: ClaimRefusal::StoreDown,
                ..
            })
        );
        assert!(refused, "{:?}", world.verdict(ticket));
    }
    world.recover_and_check();
}
