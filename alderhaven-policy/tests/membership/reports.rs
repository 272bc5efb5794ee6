//! Reports of the configuration in force.

use alderhaven_core::ids::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::membership::member_record::ConfigDigest;

use crate::network::GossipNetwork;

fn digest(version: u64) -> ConfigDigest {
    ConfigDigest {
        highest: StoreVersion(version),
        version_sum: version,
        hash: version,
    }
}

fn reported_count(network: &GossipNetwork, observer: usize, config: ConfigDigest) -> usize {
    let membership = network.nodes[observer]
        .membership
        .as_ref()
        .expect("it runs");
    let members = membership.members();
    members
        .iter()
        .filter(|member| member.config == Some(config))
        .count()
}

#[test]
fn set_config_reaches_all() {
    let mut network = GossipNetwork::start(32, 11);
    network.run(TimeSpan::from_secs(10));
    for node in &mut network.nodes {
        node.membership
            .as_mut()
            .expect("it runs")
            .set_config(digest(9));
    }
    let propagation_time = network.run_until(TimeSpan::from_secs(10), |network| {
        (0..32).all(|observer| reported_count(network, observer, digest(9)) == 32)
    });
    assert!(
        propagation_time.is_some_and(|span| span <= TimeSpan::from_secs(3)),
        "{propagation_time:?}"
    );
}

/// An operator waits for a version on all members. A report is told a fixed number of times, to members
/// drawn by chance; where one of them is never drawn, the wait ends only with a direct message some
/// tens of seconds later, and which members are missed changes with anything that changes a draw.
#[test]
fn set_config_reaches_all_with_many_seeds() {
    for seed in 100..130 {
        let mut network = GossipNetwork::start(32, seed);
        network.run(TimeSpan::from_secs(5));
        for node in &mut network.nodes {
            let membership = node.membership.as_mut().expect("it runs");
            membership.set_config(digest(9));
        }
        let propagation_time = network.run_until(TimeSpan::from_secs(3), |network| {
            (0..32).all(|observer| reported_count(network, observer, digest(9)) == 32)
        });
        assert!(propagation_time.is_some(), "seed {seed}");
    }
}

#[test]
fn set_config_is_not_reported_for_a_restarted_process() {
    // A process reports version 9 and restarts with nothing. An operator who waits for version 9
    // must not be told that it is in force there, though old reports still go around.
    let mut network = GossipNetwork::start(8, 12);
    network.run(TimeSpan::from_secs(10));
    for node in &mut network.nodes {
        node.membership
            .as_mut()
            .expect("it runs")
            .set_config(digest(9));
    }
    network.run(TimeSpan::from_secs(1));
    network.crash(3);
    network.restart(3);
    let cleared = network.run_until(TimeSpan::from_secs(10), |network| {
        (0..8).all(|observer| reported_count(network, observer, digest(9)) == 7)
    });
    assert!(cleared.is_some());
    network.run_until(TimeSpan::from_secs(5), |network| {
        assert!((0..8).all(|observer| reported_count(network, observer, digest(9)) == 7));
        false
    });
}
