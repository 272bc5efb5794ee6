//! Exchange under random faults and conflicting writes, checked against simple invariants.

use std::collections::BTreeMap;

use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;
use proptest::prelude::{ProptestConfig, Strategy, any, prop_assert, prop_oneof, proptest};
use proptest::test_runner::RngSeed;

use crate::network::{ExchangeNetwork, key};

const NODE_COUNT: usize = 5;
const KEY_COUNT: usize = 4;

/// Time within which all nodes must hold what the store does after the last fault.
const AGREEMENT_BOUND: TimeSpan = TimeSpan::from_secs(10);

#[derive(Clone, Debug)]
enum Action {
    Run(u64),
    /// An operator reads an object, which may change before the operator's write.
    Read(usize, usize),
    Write(usize, bool),
    Restart(usize),
    Pause(usize, bool),
    Replay(usize),
    Split(u8),
    Outage(bool),
    Loss(u8),
}

fn action() -> impl Strategy<Value = Action> {
    let node = 0..NODE_COUNT;
    prop_oneof![
        4 => (50_u64..3_000).prop_map(Action::Run),
        3 => (0..2_usize, 0..KEY_COUNT).prop_map(|(operator, key)| Action::Read(operator, key)),
        3 => (0..2_usize, any::<bool>()).prop_map(|(operator, keep)| Action::Write(operator, keep)),
        1 => node.clone().prop_map(Action::Restart),
        1 => (node.clone(), any::<bool>()).prop_map(|(node, paused)| Action::Pause(node, paused)),
        1 => node.prop_map(Action::Replay),
        1 => any::<u8>().prop_map(Action::Split),
        1 => any::<bool>().prop_map(Action::Outage),
        1 => (0_u8..50).prop_map(Action::Loss),
    ]
}

/// Versions that each node had in force, and those that operators read.
#[derive(Default)]
struct Oracle {
    held: BTreeMap<(usize, usize), StoreVersion>,
    read: BTreeMap<usize, (usize, StoreVersion)>,
}

impl Oracle {
    fn apply(&mut self, network: &mut ExchangeNetwork, action: &Action) {
        match *action {
            Action::Run(millis) => self.run(network, TimeSpan::from_millis(millis)),
            Action::Read(operator, index) => {
                let version = network.store.version(&key(index));
                self.read.insert(operator, (index, version));
            }
            Action::Write(operator, keep) => {
                if let Some((index, version)) = self.read.remove(&operator) {
                    let before = network.store.version(&key(index));
                    let is_written =
                        network
                            .store
                            .write(&key(index), version, keep.then_some("{}"));
                    assert!(
                        !is_written || before == version,
                        "a write replaced a version that the operator had not read"
                    );
                }
            }
            Action::Restart(index) => {
                network.restart(index);
                self.held.retain(|(node, _), _| *node != index);
            }
            Action::Pause(index, is_paused) => network.nodes[index].is_paused = is_paused,
            Action::Replay(index) => network.replay(index),
            Action::Split(sides) => {
                for (index, node) in network.nodes.iter_mut().enumerate() {
                    node.side = (sides >> index) & 1;
                }
            }
            Action::Outage(is_down) => network.store.is_down = is_down,
            Action::Loss(percent) => {
                network.loss = f64::from(percent) / 100.0;
                network.max_delay = TimeSpan::from_millis(5 + u64::from(percent) * 20);
            }
        }
    }

    /// Lets time pass; no node may lose an object or go back to an older version.
    fn run(&mut self, network: &mut ExchangeNetwork, span: TimeSpan) {
        let held = std::cell::RefCell::new(std::mem::take(&mut self.held));
        network.run_until(span, |network| {
            for node in 0..NODE_COUNT {
                for index in 0..KEY_COUNT {
                    let Some(version) = network.held_version(node, &key(index)) else {
                        assert!(
                            !held.borrow().contains_key(&(node, index)),
                            "node {node} lost object {index}"
                        );
                        continue;
                    };
                    let before = held.borrow_mut().insert((node, index), version);
                    assert!(
                        before <= Some(version),
                        "node {node} went back to an older version of object {index}"
                    );
                    assert!(
                        version <= network.store.version(&key(index)),
                        "node {node} holds a version of object {index} that was never stored"
                    );
                }
            }
            false
        });
        self.held = held.into_inner();
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x0065_7863),
        cases: ProptestConfig::default().cases / 2,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn exchange_converges_and_never_reverts(
        seed in any::<u64>(),
        actions in proptest::collection::vec(action(), 1..40),
    ) {
        let mut network = ExchangeNetwork::new(NODE_COUNT, seed);
        let mut oracle = Oracle::default();
        for action in &actions {
            oracle.apply(&mut network, action);
        }
        for recovery in [Action::Split(0), Action::Loss(0), Action::Outage(false)] {
            oracle.apply(&mut network, &recovery);
        }
        for node in &mut network.nodes {
            node.is_paused = false;
        }
        oracle.run(&mut network, AGREEMENT_BOUND);
        prop_assert!(network.all_match_store(), "the nodes do not match the store within {AGREEMENT_BOUND:?}");
    }
}
