//! Scenarios of the claim ledger.

use alderhaven_policy::claim_verdict::{ClaimRefusal, ClaimVerdict};

use crate::ledger_simulation::{LedgerOp, LedgerSimulation, sample_key};

fn apply_all(simulation: &mut LedgerSimulation, ops: &[LedgerOp]) {
    for op in ops {
        simulation.apply(*op);
    }
}

/// Guards against losing a claim, or running its request twice, when the reply to its write is lost.
#[test]
fn ledger_lost_reply_is_read_back() {
    let mut simulation = LedgerSimulation::new();
    let ticket = simulation.send(0, sample_key(0), false);
    simulation.step();
    apply_all(
        &mut simulation,
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
    assert_eq!(
        simulation.verdict(ticket),
        Some(&ClaimVerdict::Granted(ticket))
    );
    simulation.recover_and_check();
}

/// Guards against a write that takes effect after its entry has refused the claim and read the
/// bucket: the key would stay claimed, and a resend could never learn whether the request ran.
#[test]
fn ledger_write_takes_effect_after_the_read() {
    let mut simulation = LedgerSimulation::new();
    let ticket = simulation.send(0, sample_key(0), false);
    simulation.step();
    apply_all(
        &mut simulation,
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
        simulation.verdict(ticket),
        Some(ClaimVerdict::Refused {
            reason: ClaimRefusal::StoreSlow,
            ..
        })
    );
    assert!(refused, "{:?}", simulation.verdict(ticket));
    simulation.recover_and_check();
}

/// Guards against refusing, as not run, a resend of a request that ran before the store went out of
/// service.
#[test]
fn ledger_outage_does_not_refuse_a_claim_that_was_seen() {
    let mut simulation = LedgerSimulation::new();
    let first = simulation.send(0, sample_key(0), false);
    simulation.settle();
    assert_eq!(
        simulation.verdict(first),
        Some(&ClaimVerdict::Granted(first))
    );
    let seen = simulation.send(1, sample_key(1), false);
    simulation.settle();
    assert_eq!(simulation.verdict(seen), Some(&ClaimVerdict::Granted(seen)));
    apply_all(&mut simulation, &[LedgerOp::Outage(true)]);
    for _ in 0..2 {
        let again = simulation.send(1, sample_key(0), false);
        simulation.step();
        apply_all(&mut simulation, &[LedgerOp::Serve(0), LedgerOp::Reply(0)]);
        let verdict = simulation.verdict(again);
        assert!(
            matches!(verdict, Some(ClaimVerdict::Taken(_))),
            "{verdict:?}"
        );
    }
}

/// Guards against granting claims from a store that was restored from an older copy, in any bucket.
#[test]
fn ledger_restored_store_grants_nothing() {
    for later_key in [1, 4] {
        let mut simulation = LedgerSimulation::new();
        let older = simulation.copy_store();
        let ticket = simulation.send(0, sample_key(0), false);
        simulation.settle();
        assert_eq!(
            simulation.verdict(ticket),
            Some(&ClaimVerdict::Granted(ticket))
        );
        simulation.restore_store(older);
        for _ in 0..2 {
            let later = simulation.send(0, sample_key(later_key), false);
            simulation.settle();
            let refused = matches!(
                simulation.verdict(later),
                Some(ClaimVerdict::Refused {
                    reason: ClaimRefusal::LedgerBroken,
                    ..
                })
            );
            assert!(refused, "{:?}", simulation.verdict(later));
        }
        let again = simulation.send(0, sample_key(0), false);
        simulation.settle();
        let verdict = simulation.verdict(again);
        assert!(
            matches!(verdict, Some(ClaimVerdict::Taken(_))),
            "{verdict:?}"
        );
    }
}

/// Guards against a second run of a request whose claim the store lost, and against refusing new
/// keys for good.
#[test]
fn ledger_store_in_a_new_era_grants_new_keys_only() {
    for (resending_node, restarts) in [(0, false), (1, false), (1, true)] {
        let mut simulation = LedgerSimulation::new();
        let other = simulation.send(resending_node, sample_key(4), false);
        simulation.settle();
        assert_eq!(
            simulation.verdict(other),
            Some(&ClaimVerdict::Granted(other))
        );
        simulation.apply(LedgerOp::CopyStore);
        let ticket = simulation.send(0, sample_key(0), false);
        simulation.settle();
        assert_eq!(
            simulation.verdict(ticket),
            Some(&ClaimVerdict::Granted(ticket))
        );
        simulation.apply(LedgerOp::ComeBack);
        if restarts {
            simulation.apply(LedgerOp::Crash(resending_node));
        }
        for _ in 0..2 {
            let resent = simulation.send(resending_node, sample_key(0), false);
            simulation.settle();
            let verdict = simulation.verdict(resent);
            let is_refused = matches!(verdict, Some(ClaimVerdict::Refused { .. }));
            let is_taken = matches!(verdict, Some(ClaimVerdict::Taken(_)));
            assert!(is_refused || is_taken, "{verdict:?}");
        }
        simulation.check_new_keys_after_restore();
    }
}

/// Guards against a grant by a write that was in flight while its node learnt of the new era.
#[test]
fn ledger_write_in_flight_across_a_restore_grants_nothing() {
    let mut simulation = LedgerSimulation::new();
    let send = |node, key| LedgerOp::Send {
        node,
        key,
        other: false,
    };
    let run = LedgerOp::Dispatch {
        pick: 0,
        runs: true,
    };
    apply_all(
        &mut simulation,
        &[
            // Node 1 has read the bucket, and waits for the reply.
            send(1, 0),
            LedgerOp::Serve(0),
            // Node 2 claims the key and runs the request.
            send(2, 0),
            LedgerOp::Serve(0),
            LedgerOp::Reply(1),
            LedgerOp::Serve(0),
            LedgerOp::Reply(1),
            run,
            LedgerOp::ComeBack,
            // Node 1 learns of the era by another bucket before its write is done.
            send(1, 4),
            LedgerOp::Reply(0),
            LedgerOp::Serve(0),
            LedgerOp::Reply(0),
            LedgerOp::Serve(0),
            LedgerOp::Reply(0),
        ],
    );
    simulation.recover_and_check();
}

/// Guards against a backoff as long as the slow call whose write was in conflict.
#[test]
fn ledger_conflict_of_a_slow_call_backs_off_briefly() {
    let mut simulation = LedgerSimulation::new();
    simulation.send(0, sample_key(0), false);
    simulation.send(1, sample_key(1), false);
    simulation.step();
    apply_all(
        &mut simulation,
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
    let ticket = simulation.send(1, sample_key(1), false);
    simulation.settle();
    assert_eq!(
        simulation.verdict(ticket),
        Some(&ClaimVerdict::Granted(ticket))
    );
}

/// Guards against claims waiting for, or calling, a store that is known to be out of service.
#[test]
fn ledger_outage_refuses_at_once() {
    let mut simulation = LedgerSimulation::new();
    let first = simulation.send(0, sample_key(0), false);
    simulation.step();
    apply_all(
        &mut simulation,
        &[
            LedgerOp::Outage(true),
            LedgerOp::Serve(0),
            LedgerOp::Reply(0),
        ],
    );
    let second = simulation.send(0, sample_key(1), false);
    simulation.step();
    for ticket in [first, second] {
        let refused = matches!(
            simulation.verdict(ticket),
            Some(ClaimVerdict::Refused {
                reason: ClaimRefusal::StoreDown,
                ..
            })
        );
        assert!(refused, "{:?}", simulation.verdict(ticket));
    }
    simulation.recover_and_check();
}
