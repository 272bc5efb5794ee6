//! Outages of the store, lagging peers and nodes that start without state.

use alderhaven_core::config_object::StoredObject;
use alderhaven_core::ids::NodeId;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::exchange::exchange_message::{ExchangeMessage, ExchangeOutput, ObjectStamp};
use alderhaven_policy::exchange::exchange_options::ExchangeOptions;
use alderhaven_policy::exchange::object_exchange::ObjectExchange;
use alderhaven_policy::exchange::peer_set::PeerSet;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::network::{ExchangeNetwork, key};

const CONVERGENCE_BOUND: TimeSpan = TimeSpan::from_secs(3);

/// Returns a network in which `objects` objects are in force on all nodes.
fn settled_network(nodes: usize, objects: usize, seed: u64) -> ExchangeNetwork {
    let mut network = ExchangeNetwork::new(nodes, seed);
    for index in 0..objects {
        assert!(
            network
                .store
                .write(&key(index), StoreVersion::default(), Some("{}"))
        );
    }
    let settled = network.run_until(TimeSpan::from_secs(10), ExchangeNetwork::all_match_store);
    assert!(settled.is_some());
    network
}

#[test]
fn tick_propagates_a_change_to_all_nodes() {
    for seed in 0..5 {
        let mut network = settled_network(100, 20, seed);
        let version = network.store.version(&key(3));
        assert!(network.store.write(&key(3), version, Some("{}")));
        let newest = network.store.version(&key(3));
        // Announcements reach most nodes at once; the others compare digests.
        network.run_until(TimeSpan::from_millis(250), |_| false);
        let reached = (0..100).filter(|node| network.held_version(*node, &key(3)) == Some(newest));
        assert!(reached.count() >= 80);
        let propagation_time =
            network.run_until(CONVERGENCE_BOUND, ExchangeNetwork::all_match_store);
        assert!(
            propagation_time.is_some_and(|span| span <= TimeSpan::from_secs(2)),
            "{propagation_time:?}"
        );
    }
}

#[test]
fn tick_propagates_a_deletion() {
    // A node that was paused during a deletion must not bring the object back.
    let mut network = settled_network(12, 3, 1);
    network.nodes[7].is_paused = true;
    let version = network.store.version(&key(1));
    assert!(network.store.write(&key(1), version, None));
    network.run_until(TimeSpan::from_secs(5), |_| false);
    network.nodes[7].is_paused = false;
    assert!(
        network
            .run_until(CONVERGENCE_BOUND, ExchangeNetwork::all_match_store)
            .is_some()
    );
    network.run_until(TimeSpan::from_secs(10), |network| {
        assert!(network.all_match_store(), "the deleted object is back");
        false
    });
}

#[test]
fn tick_completes_a_node_while_the_store_is_down() {
    // A node is replaced during an outage of the store. It must get the full configuration, in
    // several messages, from its peers, and not be complete before.
    let mut network = settled_network(6, 700, 2);
    network.store.is_down = true;
    network.restart(4);
    let completion_time = network.run_until(CONVERGENCE_BOUND, ExchangeNetwork::all_match_store);
    assert!(
        completion_time.is_some_and(|span| span <= TimeSpan::from_millis(500)),
        "{completion_time:?}"
    );
}

#[test]
fn tick_completes_a_node_over_a_lossy_network() {
    // As above, with delayed and lost messages.
    let mut network = settled_network(6, 700, 2);
    network.store.is_down = true;
    network.max_delay = TimeSpan::from_millis(200);
    network.loss = 0.2;
    network.restart(4);
    let completion_time = network.run_until(TimeSpan::from_secs(60), |network| {
        let node = &network.nodes[4];
        let held = node.registry.objects().count();
        assert!(
            !node.exchange.is_complete() || held == 700,
            "complete with {held} of 700 objects"
        );
        node.exchange.is_complete()
    });
    assert!(completion_time.is_some());
}

#[test]
fn tick_completes_no_node_from_incomplete_peers() {
    // During an outage of the store, all nodes but a paused one restart. They must not complete
    // from each other's empty indexes, but from the paused node once it resumes.
    let mut network = settled_network(4, 5, 3);
    network.store.is_down = true;
    network.nodes[3].is_paused = true;
    for index in 0..3 {
        network.restart(index);
    }
    network.run_until(TimeSpan::from_secs(20), |network| {
        assert!((0..3).all(|index| !network.nodes[index].exchange.is_complete()));
        false
    });
    network.nodes[3].is_paused = false;
    assert!(
        network
            .run_until(CONVERGENCE_BOUND, ExchangeNetwork::all_match_store)
            .is_some()
    );
}

#[test]
fn accept_ignores_replayed_versions() {
    // A watch that is resumed too far back replays old versions.
    let mut network = settled_network(3, 1, 4);
    for _ in 0..5 {
        let version = network.store.version(&key(0));
        assert!(network.store.write(&key(0), version, Some("{}")));
    }
    assert!(
        network
            .run_until(CONVERGENCE_BOUND, ExchangeNetwork::all_match_store)
            .is_some()
    );
    let digest = network.nodes[1].exchange.digest();
    network.replay(1);
    assert!(network.all_match_store());
    assert_eq!(network.nodes[1].exchange.digest(), digest);
}

#[test]
fn tick_fetches_from_another_peer_when_the_announcer_is_lost() {
    // A peer announces a version and fails before it can be fetched. The node must fetch it from
    // another peer.
    let mut rng = StdRng::seed_from_u64(5);
    let mut exchange = ObjectExchange::new(ExchangeOptions::default());
    let [lost, other]: [NodeId; 2] =
        ["lost", "other"].map(|id| id.parse().expect("the id is valid"));
    let stamps = vec![ObjectStamp {
        key: key(0),
        version: StoreVersion::of_revision(1),
    }];
    let announcement = ExchangeMessage::Announce { stamps, hops: 1 };
    let peers = PeerSet::new(vec![other.clone()], Vec::new());
    let start = TimePoint::from_micros(1_000_000);
    let output = exchange.receive(&lost, announcement, |_| None, &peers, start, &mut rng);
    let fetch = ExchangeMessage::Fetch { keys: vec![key(0)] };
    assert_eq!(output.send, [(lost, fetch.clone())]);
    let output = exchange.tick(&peers, start + TimeSpan::from_secs(2), &mut rng);
    assert!(output.send.contains(&(other, fetch)));
}

#[test]
fn receive_requests_objects_left_out_of_a_full_message() {
    // Two objects do not fit into one message. The second must be requested immediately, not after
    // a timeout.
    let mut rng = StdRng::seed_from_u64(6);
    let mut exchange = ObjectExchange::new(ExchangeOptions::default());
    let peer: NodeId = "peer".parse().expect("the id is valid");
    let stamps = [0, 1].map(|index| ObjectStamp {
        key: key(index),
        version: StoreVersion::of_revision(1),
    });
    let announcement = ExchangeMessage::Announce {
        stamps: stamps.to_vec(),
        hops: 0,
    };
    let objects = ExchangeMessage::Objects {
        objects: vec![StoredObject {
            key: key(0),
            version: StoreVersion::of_revision(1),
            write_id: String::new(),
            body: None,
        }],
    };
    let mut output = ExchangeOutput::default();
    for message in [announcement, objects] {
        let now = TimePoint::from_micros(1_000_000);
        output = exchange.receive(&peer, message, |_| None, &PeerSet::default(), now, &mut rng);
    }
    assert_eq!(output.accept.len(), 1);
    assert_eq!(
        output.send,
        [(peer, ExchangeMessage::Fetch { keys: vec![key(1)] })]
    );
}

/// Guards against nodes that take the changes of a restored store for older than what they hold.
#[test]
fn tick_propagates_changes_of_a_restored_store() {
    for seed in 0..5 {
        let mut network = settled_network(40, 20, seed);
        for index in 0..20 {
            let version = network.store.version(&key(index));
            assert!(network.store.write(&key(index), version, Some("{}")));
        }
        network.run_until(CONVERGENCE_BOUND, ExchangeNetwork::all_match_store);
        network.nodes[30].is_paused = true;
        network.store.come_back(25);
        network.restart(20);
        let version = network.store.version(&key(7));
        assert!(network.store.write(&key(7), version, Some("{}")));
        network.run_until(CONVERGENCE_BOUND, |_| false);
        network.nodes[30].is_paused = false;
        let propagation_time =
            network.run_until(CONVERGENCE_BOUND, ExchangeNetwork::all_match_store);
        assert!(propagation_time.is_some(), "seed {seed}");
    }
}
