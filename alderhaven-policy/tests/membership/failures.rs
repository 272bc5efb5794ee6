//! Failures of single processes and of paths between them.

use alderhaven_core::time::TimeSpan;
use alderhaven_policy::membership::gossip_message::GossipBody;
use alderhaven_policy::membership::group_membership::GroupMembership;
use alderhaven_policy::membership::member_record::MemberState::{Alive, Dead, Leaving, Suspect};
use alderhaven_policy::membership::member_record::{ConfigDigest, MemberState};

use alderhaven_policy::membership::membership_options::MembershipOptions;

use crate::network::{GossipNetwork, address, node_id};

const JOIN_BOUND: TimeSpan = TimeSpan::from_secs(30);

fn settled(count: usize, seed: u64) -> GossipNetwork {
    let mut network = GossipNetwork::start(count, seed);
    let joined = network.run_until(JOIN_BOUND, GossipNetwork::all_views_correct);
    assert!(joined.is_some(), "{count} processes do not find each other");
    network.run(TimeSpan::from_secs(3));
    network
}

#[test]
fn tick_joins_all_processes() {
    for count in [1, 2, 8, 64] {
        let network = settled(count, 1);
        let view_hashes: Vec<u64> = (0..count)
            .filter_map(|index| network.nodes[index].membership.as_ref())
            .map(GroupMembership::view_hash)
            .collect();
        assert!(
            view_hashes.iter().all(|view| *view == view_hashes[0]),
            "equal views have equal hashes"
        );
    }
}

#[test]
fn tick_propagates_a_death_within_bound() {
    // A host dies without a word. Callers see timeouts for as long as it is handed out; the bound
    // is 5 s until the last process knows.
    for seed in 0..10 {
        let mut network = settled(64, seed);
        network.crash(9);
        let propagation_time = network.run_until(TimeSpan::from_secs(10), |network| {
            network.all_observe(9, &[Some(Dead)])
        });
        assert!(
            propagation_time.is_some_and(|span| span <= TimeSpan::from_secs(5)),
            "seed {seed}: {propagation_time:?}"
        );
    }
}

#[test]
fn announce_leaving_reaches_all() {
    // A process is stopped as planned, while other news goes around: everyone reports a new
    // configuration. Whoever still sends work to it a few seconds later would have that work cut.
    for seed in 0..10 {
        let mut network = settled(64, seed);
        let config = ConfigDigest {
            version_sum: 1,
            ..ConfigDigest::default()
        };
        for node in &mut network.nodes {
            node.membership
                .as_mut()
                .expect("it runs")
                .set_config(config);
        }
        network.run(TimeSpan::from_millis(300));
        network.leave(5);
        let propagation_time = network.run_until(TimeSpan::from_secs(5), |network| {
            network.all_observe(5, &[Some(Leaving)])
        });
        assert!(
            propagation_time.is_some_and(|span| span <= TimeSpan::from_secs(1)),
            "seed {seed}: {propagation_time:?}"
        );
    }
}

#[test]
fn receive_makes_a_resumed_process_refute_its_death() {
    // A host freezes for 20 s and is declared dead; what was sent to it meanwhile is lost. Its
    // process wakes and believes that nothing happened. It must hear of its death and come back
    // under a newer version.
    let mut network = settled(8, 3);
    network.keeps_messages_while_paused = false;
    network.nodes[4].is_paused = true;
    network.run(TimeSpan::from_secs(20));
    for observer in (0..8).filter(|observer| *observer != 4) {
        assert_eq!(network.observed_state(observer, 4), Some(Dead));
    }
    network.nodes[4].is_paused = false;
    let recovery_time =
        network.run_until(TimeSpan::from_secs(10), GossipNetwork::all_views_correct);
    assert!(
        recovery_time.is_some_and(|span| span <= TimeSpan::from_secs(1)),
        "{recovery_time:?}"
    );
    let resumed = network.nodes[4].membership.as_ref().expect("it runs");
    assert!(resumed.version().refutation > 0);
}

#[test]
fn tick_suspects_nobody_after_own_pause() {
    // A host freezes with a probe in flight and a suspicion running. When it wakes, the answers
    // wait unread in its socket, and by its clock everything has long lapsed: without care it
    // would declare others dead for its own pause.
    for seed in 0..20 {
        let mut network = settled(8, seed);
        network.nodes[4].is_paused = true;
        network.run(TimeSpan::from_secs(1));
        network.nodes[4].is_paused = false;
        network.run_until(TimeSpan::from_secs(2), |network| {
            for member in (0..8).filter(|member| *member != 4) {
                assert_eq!(
                    network.observed_state(4, member),
                    Some(Alive),
                    "seed {seed}"
                );
            }
            false
        });
    }
}

#[test]
fn tick_suspects_nobody_for_one_failed_link() {
    // A switch loses track of the path between two hosts. All others reach both: neither may be
    // doubted, least of all by everyone.
    let mut network = settled(8, 9);
    network.cut_link = Some((2, 6));
    network.run_until(TimeSpan::from_secs(60), |network| {
        assert!(network.all_views_correct());
        false
    });
}

fn split_in_halves(network: &mut GossipNetwork, span: TimeSpan) {
    let half = network.nodes.len() / 2;
    for node in &mut network.nodes[half..] {
        node.side = 1;
    }
    network.run(span);
    for node in &mut network.nodes {
        node.side = 0;
    }
}

/// Runs until all believe the truth; nobody may at any time give up a member of its own side.
fn run_until_healed(
    network: &mut GossipNetwork,
    forbidden_states: &[MemberState],
) -> Option<TimeSpan> {
    let half = network.nodes.len() / 2;
    network.run_until(TimeSpan::from_secs(60), |network| {
        for observer in 0..2 * half {
            let own_side = observer / half * half;
            for member in own_side..own_side + half {
                let believed = network.observed_state(observer, member);
                let is_forbidden = believed.is_some_and(|state| forbidden_states.contains(&state));
                assert!(!is_forbidden, "{observer} gives up {member}: {believed:?}");
            }
        }
        network.all_views_correct()
    })
}

#[test]
fn reconnect_heals_a_split() {
    // Two regions lose each other for minutes and find each other again. Each side declares the
    // other dead. When the path is back, no member may lose the work of its own side, nor be
    // doubted there, and both sides must be one again.
    let mut network = settled(16, 4);
    split_in_halves(&mut network, TimeSpan::from_secs(120));
    assert_eq!(network.observed_state(0, 8), Some(Dead));
    assert_eq!(network.observed_state(8, 0), Some(Dead));
    let healing_time = run_until_healed(&mut network, &[Suspect, Dead]);
    assert!(
        healing_time.is_some_and(|span| span <= TimeSpan::from_secs(20)),
        "{healing_time:?}"
    );
}

#[test]
fn receive_treats_reported_deaths_as_suspicions_after_a_short_split() {
    // Two regions lose each other for seconds. The news of deaths on the other side still goes
    // around when the path comes back, and then reaches those who know the dead to be well.
    for seed in 0..20 {
        let mut network = settled(16, seed);
        split_in_halves(&mut network, TimeSpan::from_millis(2_500 + seed * 100));
        let healing_time = run_until_healed(&mut network, &[Dead]);
        assert!(
            healing_time.is_some_and(|span| span <= TimeSpan::from_secs(20)),
            "{healing_time:?}"
        );
    }
}

#[test]
fn receive_accepts_a_restarted_process() {
    // A process is killed and starts again at once with nothing kept, before anyone noticed.
    let mut network = settled(8, 5);
    network.crash(2);
    network.restart(2);
    let recovery_time =
        network.run_until(TimeSpan::from_secs(10), GossipNetwork::all_views_correct);
    assert!(recovery_time.is_some());
    let version = network.nodes[2]
        .membership
        .as_ref()
        .expect("it runs")
        .version();
    network.run(TimeSpan::from_secs(5));
    for node in &network.nodes {
        let members = node.membership.as_ref().expect("all run").members();
        let member = members
            .iter()
            .find(|member| member.record.node == node_id(2));
        assert_eq!(member.map(|member| member.version), Some(version));
    }
}

#[test]
fn receive_joins_without_seeds() {
    // Both seeds are down when two other processes restart with nothing kept. They know nobody;
    // the processes that are left still knew them and probe their addresses.
    let mut network = settled(6, 13);
    network.crash(0);
    network.crash(1);
    network.crash(5);
    network.run(TimeSpan::from_secs(10));
    network.restart(3);
    network.restart(5);
    let recovery_time =
        network.run_until(TimeSpan::from_secs(20), GossipNetwork::all_views_correct);
    assert!(recovery_time.is_some(), "they are not found");
}

#[test]
fn receive_raises_an_outdated_incarnation() {
    // A host comes back with a clock that is behind: its start number is lower than that of its
    // earlier run, so everyone would ignore it for good.
    let mut network = settled(8, 6);
    network.crash(3);
    network.run(TimeSpan::from_secs(10));
    network.restart_with_incarnation(3, 1);
    let recovery_time =
        network.run_until(TimeSpan::from_secs(10), GossipNetwork::all_views_correct);
    assert!(recovery_time.is_some(), "the others still hold it dead");
}

#[test]
fn forget_dead_members_keeps_rejecting_old_updates() {
    // A member dies and is forgotten after a while. A process that was frozen all the while still
    // believes it alive and says so when it wakes: nobody may hand it out again.
    let options = MembershipOptions {
        seeds: vec![address(0), address(1)],
        forget_after: TimeSpan::from_secs(60),
        ..MembershipOptions::default()
    };
    let mut network = GossipNetwork::start_with(6, 7, options);
    network.run(TimeSpan::from_secs(10));
    let outdated_message = network.message_about(5, 4);
    network.crash(4);
    network.run(TimeSpan::from_secs(90));
    assert_eq!(network.observed_state(0, 4), None, "it is forgotten");
    network.receive(0, 5, outdated_message);
    network.run_until(TimeSpan::from_secs(30), |network| {
        for observer in 0..4 {
            assert_eq!(
                network.observed_state(observer, 4),
                None,
                "{observer} is taken in"
            );
        }
        false
    });
}

#[test]
fn receive_applies_no_death_from_a_state_sync() {
    // After a split, the other side answers a comparison of views with what it believes: that this
    // side is dead. Taken over in bulk, that would make this side doubt itself. Only the member
    // meant may be told, so that it refutes it.
    let mut network = settled(4, 10);
    let mut message = network.message_about(3, 2);
    message.updates[0].state = Dead;
    message.body = GossipBody::SyncReply {
        sequence: 0,
        continue_after: None,
    };
    let outgoing = network.receive(0, 3, message);
    assert_eq!(network.observed_state(0, 2), Some(Alive));
    let notification = outgoing.iter().find(|outgoing| outgoing.to == address(2));
    let notification = notification.and_then(|outgoing| outgoing.message.updates.first());
    assert_eq!(notification.map(|update| update.state), Some(Dead));
}

#[test]
fn receive_declares_nobody_dead_under_packet_loss() {
    // A switch drops a tenth of all packets. Nobody may be declared dead for it.
    for seed in 0..10 {
        let mut network = settled(24, seed);
        network.loss = 0.1;
        network.duplicates = 0.1;
        network.run_until(TimeSpan::from_secs(60), |network| {
            for member in 0..24 {
                for observer in 0..24 {
                    assert_ne!(
                        network.observed_state(observer, member),
                        Some(Dead),
                        "seed {seed}"
                    );
                }
            }
            false
        });
    }
}
