//! Propagation of reports about the configuration in force.

use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::membership::digest_progress::DigestProgress;
use alderhaven_policy::membership::member_record::ConfigDigest;

use crate::network::GossipNetwork;

fn digest(version: u64) -> ConfigDigest {
    ConfigDigest {
        highest: StoreVersion::of_revision(version),
        progress: DigestProgress {
            version_sum: version,
            ..DigestProgress::default()
        },
        hash: version,
    }
}

/// Returns the number of members that a process observes with a configuration.
fn reported_count(network: &GossipNetwork, observer: usize, config: ConfigDigest) -> usize {
    let membership = network.nodes[observer]
        .membership
        .as_ref()
        .expect("the process is running");
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
            .expect("the process is running")
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

/// A report is sent a fixed number of times to random members. A member that is never sampled
/// would learn it only from a direct message much later, so every seed must reach all members.
#[test]
fn set_config_reaches_all_with_many_seeds() {
    for seed in 100..130 {
        let mut network = GossipNetwork::start(32, seed);
        network.run(TimeSpan::from_secs(5));
        for node in &mut network.nodes {
            let membership = node.membership.as_mut().expect("the process is running");
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
    // After a restart without state, old reports still circulate. They must not count as reports
    // of the restarted process.
    let mut network = GossipNetwork::start(8, 12);
    network.run(TimeSpan::from_secs(10));
    for node in &mut network.nodes {
        node.membership
            .as_mut()
            .expect("the process is running")
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
