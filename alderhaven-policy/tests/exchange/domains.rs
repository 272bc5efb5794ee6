//! Exchange between nodes in several failure domains.

use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;

use crate::network::{ExchangeNetwork, key};

/// Size of the group and number of its failure domains.
const NODE_COUNT: usize = 198;
const DOMAIN_COUNT: usize = 6;

/// Time within which a change must be in force on all nodes.
const CONVERGENCE_BOUND: TimeSpan = TimeSpan::from_secs(3);

/// The same bound under message loss and without the nodes that announced the change.
const LOSSY_CONVERGENCE_BOUND: TimeSpan = TimeSpan::from_secs(6);

/// Maximum number of copies of an object that enter a failure domain.
const MAX_COPIES_PER_DOMAIN: usize = 8;

/// Returns a network in which one object is in force on all nodes.
fn settled(seed: u64) -> ExchangeNetwork {
    let mut network = ExchangeNetwork::new(NODE_COUNT, seed);
    network.split_into_domains(DOMAIN_COUNT);
    assert!(
        network
            .store
            .write(&key(0), StoreVersion::default(), Some("first"))
    );
    let settled = network.run_until(TimeSpan::from_secs(20), ExchangeNetwork::all_match_store);
    assert!(
        settled.is_some(),
        "seed {seed}: the first object is not in force everywhere"
    );
    network.cross_domain_bytes = 0;
    network
}

/// A large object must not be fetched from random nodes of all domains, since the copies would
/// saturate the links between domains.
#[test]
fn announce_sends_few_copies_into_a_domain() {
    for seed in 40..45 {
        let mut network = settled(seed);
        let body = "x".repeat(10_000);
        assert!(
            network
                .store
                .write(&key(0), StoreVersion::of_revision(1), Some(&body))
        );
        let convergence_time =
            network.run_until(CONVERGENCE_BOUND, ExchangeNetwork::all_match_store);
        assert!(convergence_time.is_some(), "seed {seed}");
        let copies = network.cross_domain_bytes / body.len();
        assert!(
            copies <= DOMAIN_COUNT * MAX_COPIES_PER_DOMAIN,
            "seed {seed}: {copies} copies crossed between domains"
        );
    }
}

/// The watchers stop right after they have announced a change, and a tenth of all messages is
/// lost. The change must still reach every domain.
#[test]
fn announce_survives_the_loss_of_the_watchers() {
    for seed in 50..55 {
        let mut network = settled(seed);
        network.loss = 0.1;
        assert!(
            network
                .store
                .write(&key(0), StoreVersion::of_revision(1), Some("second"))
        );
        network.run_until(TimeSpan::from_millis(150), |_| false);
        let watchers = network.watcher_count;
        network.watcher_count = 0;
        for node in &mut network.nodes[..watchers] {
            node.is_paused = true;
        }
        let convergence_time = network.run_until(LOSSY_CONVERGENCE_BOUND, |network| {
            let mut running = network.nodes.iter().filter(|node| !node.is_paused);
            running.all(|node| node.registry.objects().eq(network.store.newest.values()))
        });
        assert!(convergence_time.is_some(), "seed {seed}");
    }
}

/// A failure domain is isolated during a change. Afterwards it must find the change by the digests
/// of other domains.
#[test]
fn handle_digest_updates_a_domain_that_was_isolated() {
    for seed in 60..65 {
        let mut network = settled(seed);
        for index in (0..NODE_COUNT).filter(|index| index % DOMAIN_COUNT == 3) {
            network.nodes[index].side = 1;
        }
        assert!(
            network
                .store
                .write(&key(0), StoreVersion::of_revision(1), Some("second"))
        );
        network.run_until(TimeSpan::from_secs(5), |_| false);
        for node in &mut network.nodes {
            node.side = 0;
        }
        let convergence_time =
            network.run_until(CONVERGENCE_BOUND, ExchangeNetwork::all_match_store);
        assert!(convergence_time.is_some(), "seed {seed}");
    }
}

/// After all nodes of a domain have restarted without state, they must fetch objects mostly from
/// each other.
#[test]
fn tick_restores_a_restarted_domain_mostly_from_within() {
    for seed in 70..75 {
        let mut network = settled(seed);
        let body = "x".repeat(10_000);
        assert!(
            network
                .store
                .write(&key(0), StoreVersion::of_revision(1), Some(&body))
        );
        network.run_until(CONVERGENCE_BOUND, ExchangeNetwork::all_match_store);
        network.cross_domain_bytes = 0;
        network.store.is_down = true;
        for index in (0..NODE_COUNT).filter(|index| index % DOMAIN_COUNT == 4) {
            network.restart(index);
        }
        let convergence_time =
            network.run_until(CONVERGENCE_BOUND, ExchangeNetwork::all_match_store);
        assert!(convergence_time.is_some(), "seed {seed}");
        let copies = network.cross_domain_bytes / body.len();
        assert!(
            copies <= MAX_COPIES_PER_DOMAIN,
            "seed {seed}: {copies} copies crossed between domains"
        );
    }
}
