//! Membership among processes of several failure domains.

use alderhaven_core::time::TimeSpan;
use alderhaven_policy::membership::member_record::MemberState;

use crate::network::GossipNetwork;

/// The processes and failure domains of a group.
const MEMBER_COUNT: usize = 96;
const DOMAIN_COUNT: usize = 6;

fn settled(seed: u64) -> GossipNetwork {
    let mut network = GossipNetwork::start_in_domains(MEMBER_COUNT, DOMAIN_COUNT, seed);
    let joined = network.run_until(TimeSpan::from_secs(20), GossipNetwork::all_views_correct);
    assert!(joined.is_some(), "seed {seed}");
    network.run(TimeSpan::from_secs(5));
    network.cross_domain_updates = 0;
    network
}

/// A process restarts every minute or two, and all others hear of it. Each of them told a dozen others
/// drawn from all domains alike, so that nearly all that crossed between the domains was known there.
#[test]
fn gossip_sends_few_updates_across_domains() {
    for seed in 80..85 {
        let mut network = settled(seed);
        network.crash(7);
        network.restart(7);
        let propagation_time =
            network.run_until(TimeSpan::from_secs(3), GossipNetwork::all_views_correct);
        assert!(propagation_time.is_some(), "seed {seed}");
        network.run(TimeSpan::from_secs(3));
        // Drawn from all alike, five of six tellings cross: some 800.
        assert!(
            network.cross_domain_updates <= 200,
            "{}, seed {seed}",
            network.cross_domain_updates
        );
    }
}

/// A process of a domain of its own stops. Although news mostly stays within a domain, all others know
/// in time for callers to be told of others.
#[test]
fn announce_leaving_reaches_all_domains() {
    for seed in 90..95 {
        let mut network = settled(seed);
        network.leave(11);
        let propagation_time = network.run_until(TimeSpan::from_millis(800), |network| {
            network.all_observe(11, &[Some(MemberState::Leaving)])
        });
        assert!(propagation_time.is_some(), "seed {seed}");
    }
}

/// A whole failure domain is cut off for a while and restarts meanwhile. Once it is back, all know all.
#[test]
fn receive_converges_after_a_domain_was_isolated_and_restarted() {
    for seed in 100..103 {
        let mut network = settled(seed);
        let isolated: Vec<usize> = (0..MEMBER_COUNT)
            .filter(|index| index % DOMAIN_COUNT == 2)
            .collect();
        for index in &isolated {
            network.nodes[*index].side = 1;
        }
        network.run(TimeSpan::from_secs(10));
        for index in &isolated {
            network.restart(*index);
            network.nodes[*index].side = 0;
        }
        let propagation_time =
            network.run_until(TimeSpan::from_secs(15), GossipNetwork::all_views_correct);
        assert!(propagation_time.is_some(), "seed {seed}");
    }
}
