//! Membership of processes in several failure domains.

use alderhaven_core::time::TimeSpan;
use alderhaven_policy::membership::member_record::MemberState;

use crate::network::GossipNetwork;

/// Size of the group and number of its failure domains.
const MEMBER_COUNT: usize = 96;
const DOMAIN_COUNT: usize = 6;

fn settled(seed: u64) -> GossipNetwork {
    let mut network = GossipNetwork::start_in_domains(MEMBER_COUNT, DOMAIN_COUNT, seed);
    let joined = network.run_until(TimeSpan::from_secs(20), GossipNetwork::all_views_correct);
    assert!(joined.is_some(), "seed {seed}: the group does not form");
    network.run(TimeSpan::from_secs(5));
    network.cross_domain_updates = 0;
    network
}

/// A restart is announced to the whole group. Updates must not be sent uniformly to all members,
/// since most of those that cross between domains would be redundant.
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
        // Uniform sampling would send about 800 updates across domains.
        assert!(
            network.cross_domain_updates <= 200,
            "seed {seed}: {} updates crossed between domains",
            network.cross_domain_updates
        );
    }
}

/// Members of all domains learn of a planned stop in time to redirect callers, although updates
/// mostly stay within a domain.
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

/// After a whole failure domain was isolated and restarted, all views agree again.
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
