//! Tests of the claim ledger: buckets by example, and the whole ledger by stateful fuzzing.

mod bucket;
mod ledger_simulation;
mod scenarios;

use ledger_simulation::{LedgerOp, LedgerSimulation};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The number of cases unless `PROPTEST_CASES` is set.
const DEFAULT_CASES: u32 = 256;
/// The seed unless `LEDGER_SEED` is set.
const CI_SEED: u64 = 20_261_202;

fn fuzz_config() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|text| text.parse().ok());
    let seed = std::env::var("LEDGER_SEED")
        .ok()
        .and_then(|text| text.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(seed.unwrap_or(CI_SEED)),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..ProptestConfig::default()
    }
}

fn ledger_op() -> impl Strategy<Value = LedgerOp> {
    let node = 0..3_usize;
    let pick = 0..16_usize;
    prop_oneof![
        8 => (node.clone(), 0..5_usize, prop::bool::weighted(0.1))
            .prop_map(|(node, key, other)| LedgerOp::Send { node, key, other }),
        20 => pick.clone().prop_map(LedgerOp::Serve),
        1 => pick.clone().prop_map(LedgerOp::ServeTwice),
        20 => pick.clone().prop_map(LedgerOp::Reply),
        3 => pick.clone().prop_map(LedgerOp::LoseReply),
        2 => pick.clone().prop_map(LedgerOp::Delay),
        2 => pick.clone().prop_map(LedgerOp::LoseCall),
        8 => (pick, any::<bool>())
            .prop_map(|(pick, runs)| LedgerOp::Dispatch { pick, runs }),
        6 => (0..400_u64).prop_map(LedgerOp::Advance),
        1 => (1_000..4_000_u64).prop_map(LedgerOp::Advance),
        1 => node.prop_map(LedgerOp::Crash),
        1 => any::<bool>().prop_map(LedgerOp::Outage),
    ]
}

fn restoring_ledger_op() -> impl Strategy<Value = LedgerOp> {
    prop_oneof![
        40 => ledger_op(),
        2 => Just(LedgerOp::CopyStore),
        1 => Just(LedgerOp::ComeBack),
    ]
}

proptest! {
    #![proptest_config(fuzz_config())]

    /// Runs the ledger under lost, late, duplicated and reordered calls, crashes and store outages.
    /// A key runs at most once, a refused request does not run, and afterwards every free key can
    /// be claimed.
    #[test]
    fn ledger_any_order_of_events(ops in prop::collection::vec(ledger_op(), 0..160)) {
        let mut simulation = LedgerSimulation::new();
        for op in ops {
            simulation.apply(op);
        }
        simulation.recover_and_check();
    }

    /// Runs the ledger as above, with a store that comes back from older copies and loses claims.
    /// A key runs at most once, and afterwards new keys can be claimed.
    #[test]
    fn ledger_any_order_of_events_and_restores(
        ops in prop::collection::vec(restoring_ledger_op(), 0..160),
    ) {
        let mut simulation = LedgerSimulation::new();
        for op in ops {
            simulation.apply(op);
        }
        simulation.recover_and_check();
    }
}
