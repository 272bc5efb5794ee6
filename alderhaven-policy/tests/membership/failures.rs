//! Failures of single processes and of the links between them.

use alderhaven_core::time::TimeSpan;
use alderhaven_policy::membership::digest_progress::DigestProgress;
use alderhaven_policy::membership::gossip_message::GossipBody;
use alderhaven_policy::membership::group_membership::GroupMembership;
use alderhaven_policy::membership::member_record::MemberState::{Alive, Dead, Leaving, Suspect};
use alderhaven_policy::membership::member_record::{ConfigDigest, MemberState};

use alderhaven_policy::membership::membership_options::MembershipOptions;

use crate::network::{GossipNetwork, address, node_id};

const JOIN_BOUND: TimeSpan = TimeSpan::from_secs(30);

/// Returns a group whose members all know each other.
fn settled(count: usize, seed: u64) -> GossipNetwork {
    let mut network = GossipNetwork::start(count, seed);
    let joined = network.run_until(JOIN_BOUND, GossipNetwork::all_views_correct);
    assert!(
        joined.is_some(),
        "a group of {count} processes does not form"
    );
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
            "equal views have different hashes: {view_hashes:?}"
        );
    }
}

#[test]
fn tick_propagates_a_death_within_bound() {
    // A host fails without notice. Callers see timeouts until the last process knows of it.
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
    // A process is stopped while other updates fill the messages: every member reports a new
    // configuration. Work sent to the process afterwards would be aborted.
    for seed in 0..10 {
        let mut network = settled(64, seed);
        let config = ConfigDigest {
            progress: DigestProgress {
                version_sum: 1,
                ..DigestProgress::default()
            },
            ..ConfigDigest::default()
        };
        for node in &mut network.nodes {
            node.membership
                .as_mut()
                .expect("the process is running")
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
    // A host is paused for 20 s and declared dead, and the messages sent to it are lost. The
    // resumed process must learn of its death and refute it with a higher version.
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
    let resumed = network.nodes[4]
        .membership
        .as_ref()
        .expect("the process is running");
    assert!(resumed.version().refutation > 0);
}

#[test]
fn tick_suspects_no_member_after_own_pause() {
    // A host is paused with a probe in flight and a suspicion running. On resume, the answers are
    // still unread and all timeouts have expired; it must not suspect others for its own pause.
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
fn tick_suspects_no_member_for_one_failed_link() {
    // The link between two hosts fails while all others reach both. Neither may be suspected.
    let mut network = settled(8, 9);
    network.cut_link = Some((2, 6));
    network.run_until(TimeSpan::from_secs(60), |network| {
        assert!(network.all_views_correct());
        false
    });
}

/// Separates the two halves of the group for `span`.
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

/// Runs until all views are correct. No process may at any time observe a member of its own side
/// in one of the forbidden states.
fn run_until_healed(
    network: &mut GossipNetwork,
    forbidden_states: &[MemberState],
) -> Option<TimeSpan> {
    let half = network.nodes.len() / 2;
    network.run_until(TimeSpan::from_secs(60), |network| {
        for observer in 0..2 * half {
            let own_side = observer / half * half;
            for member in own_side..own_side + half {
                let observed = network.observed_state(observer, member);
                let is_forbidden = observed.is_some_and(|state| forbidden_states.contains(&state));
                assert!(
                    !is_forbidden,
                    "process {observer} observes {member} of its own side as {observed:?}"
                );
            }
        }
        network.all_views_correct()
    })
}

#[test]
fn reconnect_heals_a_split() {
    // Two regions lose each other for minutes, and each declares the other's members dead. After
    // the split has healed, both sides must merge without suspecting members of their own side.
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
    // Two regions lose each other for seconds. Reports of deaths on the other side still circulate
    // when the split heals, and must not remove members that are alive.
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
    // A process is killed and restarts without state before anyone notices.
    let mut network = settled(8, 5);
    network.crash(2);
    network.restart(2);
    let recovery_time =
        network.run_until(TimeSpan::from_secs(10), GossipNetwork::all_views_correct);
    assert!(recovery_time.is_some());
    let version = network.nodes[2]
        .membership
        .as_ref()
        .expect("the process is running")
        .version();
    network.run(TimeSpan::from_secs(5));
    for node in &network.nodes {
        let members = node
            .membership
            .as_ref()
            .expect("all processes are running")
            .members();
        let member = members
            .iter()
            .find(|member| member.record.node == node_id(2));
        assert_eq!(member.map(|member| member.version), Some(version));
    }
}

#[test]
fn receive_joins_without_seeds() {
    // Both seeds are down when two other processes restart without state. They must join through
    // members that still probe their old addresses.
    let mut network = settled(6, 13);
    network.crash(0);
    network.crash(1);
    network.crash(5);
    network.run(TimeSpan::from_secs(10));
    network.restart(3);
    network.restart(5);
    let recovery_time =
        network.run_until(TimeSpan::from_secs(20), GossipNetwork::all_views_correct);
    assert!(
        recovery_time.is_some(),
        "the restarted processes do not join"
    );
}

#[test]
fn receive_raises_an_outdated_incarnation() {
    // A host restarts with a clock that is behind. Its incarnation is lower than the earlier one,
    // so the others would ignore its updates.
    let mut network = settled(8, 6);
    network.crash(3);
    network.run(TimeSpan::from_secs(10));
    network.restart_with_incarnation(3, 1);
    let recovery_time =
        network.run_until(TimeSpan::from_secs(10), GossipNetwork::all_views_correct);
    assert!(
        recovery_time.is_some(),
        "the restarted process is still considered dead"
    );
}

#[test]
fn forget_dead_members_keeps_rejecting_old_updates() {
    // A member dies and is forgotten. A process that was paused the whole time still reports it
    // alive, which must not bring it back.
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
    assert_eq!(
        network.observed_state(0, 4),
        None,
        "the dead member is not forgotten"
    );
    network.receive(0, 5, outdated_message);
    network.run_until(TimeSpan::from_secs(30), |network| {
        for observer in 0..4 {
            assert_eq!(
                network.observed_state(observer, 4),
                None,
                "process {observer} takes the outdated update"
            );
        }
        false
    });
}

#[test]
fn receive_applies_no_death_from_a_state_sync() {
    // After a split, a state sync from the other side reports a member of this side dead. The
    // state must not be applied; only that member is notified, so that it can refute.
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
fn receive_declares_no_member_dead_under_packet_loss() {
    // A tenth of all packets is lost. No member may be declared dead.
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
