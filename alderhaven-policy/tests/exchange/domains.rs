//! The exchange among nodes of several failure domains.

use alderhaven_core::ids::StoreVersion;
use alderhaven_core::time::TimeSpan;

use crate::network::{ExchangeNetwork, key};

/// The nodes and failure domains of a large group.
const NODE_COUNT: usize = 198;
const DOMAIN_COUNT: usize = 6;

/// The time in which a change is to be in force everywhere.
const CONVERGENCE_BOUND: TimeSpan = TimeSpan::from_secs(3);

/// The same where messages are lost and those who know first are gone.
const LOSSY_CONVERGENCE_BOUND: TimeSpan = TimeSpan::from_secs(6);

/// The most copies of an object that may come into a failure domain: a few, so that the loss of any one
/// of its carriers delays nothing.
const MAX_COPIES_PER_DOMAIN: usize = 8;

fn settled(seed: u64) -> ExchangeNetwork {
    let mut network = ExchangeNetwork::new(NODE_COUNT, seed);
    network.split_into_domains(DOMAIN_COUNT);
    assert!(network.store.write(&key(0), StoreVersion(0), Some("first")));
    let settled = network.run_until(TimeSpan::from_secs(20), ExchangeNetwork::all_match_store);
    assert!(settled.is_some(), "seed {seed}");
    network.cross_domain_bytes = 0;
    network
}

/// A configuration of a megabyte changes while 198 nodes in six domains serve. Each node got it from a
/// peer drawn from all alike, so that five of six copies crossed between the domains and filled their
/// links.
#[test]
fn announce_sends_few_copies_into_a_domain() {
    for seed in 40..45 {
        let mut network = settled(seed);
        let body = "x".repeat(10_000);
        assert!(network.store.write(&key(0), StoreVersion(1), Some(&body)));
        let convergence_time =
            network.run_until(CONVERGENCE_BOUND, ExchangeNetwork::all_match_store);
        assert!(convergence_time.is_some(), "seed {seed}");
        let copies = network.cross_domain_bytes / body.len();
        assert!(
            copies <= DOMAIN_COUNT * MAX_COPIES_PER_DOMAIN,
            "{copies}, seed {seed}"
        );
    }
}

/// The nodes that watch the store stop right after they have announced a change, and a tenth of all
/// messages is lost. Whoever has heard of it passes it into every domain.
#[test]
fn announce_survives_the_loss_of_the_watchers() {
    for seed in 50..55 {
        let mut network = settled(seed);
        network.loss = 0.1;
        assert!(
            network
                .store
                .write(&key(0), StoreVersion(1), Some("second"))
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

/// One failure domain is cut off while a change comes, and is back later. Its nodes find the change by
/// the digests that they hear from beyond, though each of them asks beyond only now and then.
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
                .write(&key(0), StoreVersion(1), Some("second"))
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

/// All nodes of a domain restart at once and know nothing. They take what they need from each other
/// once one of them has it, rather than each from another domain.
#[test]
fn tick_restores_a_restarted_domain_mostly_from_within() {
    for seed in 70..75 {
        let mut network = settled(seed);
        let body = "x".repeat(10_000);
        assert!(network.store.write(&key(0), StoreVersion(1), Some(&body)));
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
        assert!(copies <= MAX_COPIES_PER_DOMAIN, "{copies}, seed {seed}");
    }
}
