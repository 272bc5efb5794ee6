//! Membership under random faults, checked against simple invariants.

use std::collections::BTreeMap;

use alderhaven_core::time::TimeSpan;
use alderhaven_policy::membership::member_record::MemberVersion;
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_assert, prop_oneof, proptest};
use proptest::test_runner::RngSeed;

use crate::network::GossipNetwork;

const PROCESS_COUNT: usize = 6;

/// Time within which all views must agree after the last fault.
const AGREEMENT_BOUND: TimeSpan = TimeSpan::from_secs(40);

/// One step of a random scenario; numbers are milliseconds, processes, a bit mask of sides, or
/// percent.
#[derive(Clone, Debug)]
enum Fault {
    Run(u64),
    Crash(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Leave(usize),
    Split(u8),
    Loss(u8),
}

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..PROCESS_COUNT;
    prop_oneof![
        4 => (100_u64..15_000).prop_map(Fault::Run),
        1 => node.clone().prop_map(Fault::Crash),
        2 => node.clone().prop_map(Fault::Restart),
        1 => node.clone().prop_map(Fault::Pause),
        1 => node.clone().prop_map(Fault::Resume),
        1 => node.prop_map(Fault::Leave),
        1 => any::<u8>().prop_map(Fault::Split),
        1 => Just(Fault::Split(0)),
        1 => (0_u8..40).prop_map(Fault::Loss),
    ]
}

fn apply(network: &mut GossipNetwork, fault: &Fault) {
    match *fault {
        Fault::Run(millis) => check_run(network, TimeSpan::from_millis(millis)),
        Fault::Crash(index) => network.crash(index),
        Fault::Restart(index) => network.restart(index),
        Fault::Pause(index) => network.nodes[index].is_paused = true,
        Fault::Resume(index) => network.nodes[index].is_paused = false,
        Fault::Leave(index) => network.leave(index),
        Fault::Split(sides) => {
            for (index, node) in network.nodes.iter_mut().enumerate() {
                node.side = (sides >> index) & 1;
            }
        }
        Fault::Loss(percent) => {
            network.loss = f64::from(percent) / 100.0;
            network.duplicates = network.loss;
            network.max_delay = TimeSpan::from_millis(3 + u64::from(percent) * 10);
        }
    }
}

/// Time after which a member that announced its leaving must get no work.
const LEAVING_BOUND: TimeSpan = TimeSpan::from_secs(3);

/// Time after which a failed member must get no work.
const DEATH_BOUND: TimeSpan = TimeSpan::from_secs(5);

/// Lets time pass, and checks that no process goes back to an older version of a member.
fn check_run(network: &mut GossipNetwork, span: TimeSpan) {
    let seen = std::cell::RefCell::new(BTreeMap::<_, MemberVersion>::new());
    network.run_until(span, |network| {
        for (observer, node) in network.nodes.iter().enumerate() {
            let Some(membership) = &node.membership else {
                continue;
            };
            for member in membership.members() {
                let key = (observer, member.record.node.clone());
                let before = seen.borrow_mut().insert(key, member.version);
                assert!(
                    before <= Some(member.version),
                    "process {observer} went back to an older version"
                );
            }
        }
        false
    });
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x006d_656d),
        cases: ProptestConfig::default().cases / 4,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn membership_converges_after_random_faults(
        seed in any::<u64>(),
        faults in proptest::collection::vec(fault(), 1..30),
    ) {
        let mut network = GossipNetwork::start(PROCESS_COUNT, seed);
        network.run(TimeSpan::from_secs(3));
        for fault in &faults {
            apply(&mut network, fault);
        }
        apply(&mut network, &Fault::Split(0));
        apply(&mut network, &Fault::Loss(0));
        for node in &mut network.nodes {
            node.is_paused = false;
        }
        let agreed = network.run_until(AGREEMENT_BOUND, GossipNetwork::all_views_correct);
        assert!(agreed.is_some(), "the views do not become correct within {AGREEMENT_BOUND:?}");
    }

    #[test]
    fn membership_offers_no_work_to_leaving_or_dead_members(
        seed in any::<u64>(),
        loss in 0_u8..10,
        leaving in 0..PROCESS_COUNT,
        dead in 0..PROCESS_COUNT,
        restarted in 0..PROCESS_COUNT,
    ) {
        let mut network = GossipNetwork::start(PROCESS_COUNT, seed);
        network.run(TimeSpan::from_secs(5));
        apply(&mut network, &Fault::Loss(loss));
        network.leave(leaving);
        network.run(LEAVING_BOUND);
        prop_assert!(!network.is_offered_work(leaving));
        if dead != leaving {
            network.crash(dead);
            network.run(DEATH_BOUND);
            prop_assert!(!network.is_offered_work(dead));
        }
        if restarted != leaving && restarted != dead {
            network.restart(restarted);
            network.run(LEAVING_BOUND);
        }
        prop_assert!(!network.is_offered_work(leaving));
    }
}
