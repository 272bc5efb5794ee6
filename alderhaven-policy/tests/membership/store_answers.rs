//! When the store last answered anyone, and what a group says at rest.

use alderhaven_core::ids::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::membership::group_membership::GroupMembership;
use alderhaven_policy::membership::member_record::ConfigDigest;
use alderhaven_policy::membership::membership_options::MembershipOptions;

use crate::network::{GossipNetwork, address};

/// The age after which a node that hears of no answer watches the store itself, less the longest that
/// a watch waits.
const PROPAGATION_BOUND: TimeSpan = TimeSpan::from_millis(2_500);

fn other_answer_ages(network: &GossipNetwork) -> Vec<Option<TimeSpan>> {
    let running = network.nodes.iter().skip(1);
    let memberships = running.filter_map(|node| node.membership.as_ref());
    memberships
        .map(GroupMembership::other_store_answered_at)
        .map(|reported| reported.map(|answered_at| network.now.since(answered_at)))
        .collect()
}

/// Three of 195 nodes watch the store. The others must hear within some seconds that it answers, or each
/// of them asks it too; the word is to cost no message of its own.
#[test]
fn note_store_answer_reaches_all_within_bound() {
    let mut network = GossipNetwork::start(195, 21);
    network.run(TimeSpan::from_secs(10));
    let now = network.now;
    let first = network.nodes[0].membership.as_mut().expect("it runs");
    first.note_store_answer(now);
    let propagation_time = network.run_until(TimeSpan::from_secs(5), |network| {
        other_answer_ages(network).iter().all(Option::is_some)
    });
    assert!(
        propagation_time.is_some_and(|span| span <= PROPAGATION_BOUND),
        "{propagation_time:?}"
    );
}

/// A word that is passed on must not grow younger on its way: nodes would believe that the store is
/// watched while nobody is answered.
#[test]
fn note_store_answer_never_understates_its_age() {
    let mut network = GossipNetwork::start(32, 22);
    network.run(TimeSpan::from_secs(10));
    let answered_at = network.now;
    let first = network.nodes[0].membership.as_mut().expect("it runs");
    first.note_store_answer(answered_at);
    network.run(TimeSpan::from_secs(4));
    let age = network.now.since(answered_at);
    assert!(
        other_answer_ages(&network)
            .iter()
            .flatten()
            .all(|reported| *reported >= age)
    );
}

/// The only node that reaches the store hears its own word back from the others. It must not take the
/// echo for another watcher and stop watching.
#[test]
fn note_store_answer_is_ignored_by_its_origin() {
    let mut network = GossipNetwork::start(8, 23);
    network.run(TimeSpan::from_secs(5));
    let now = network.now;
    let first = network.nodes[0].membership.as_mut().expect("it runs");
    first.note_store_answer(now);
    network.run(TimeSpan::from_secs(5));
    let first = network.nodes[0].membership.as_ref().expect("it runs");
    assert_eq!(first.other_store_answered_at(), None);
}

/// Fronts take a new configuration over every few seconds. Where each member reports so to all others, a
/// group of hundreds sends little else; nobody asks fronts for it.
#[test]
fn set_config_sends_no_messages_without_reporting() {
    let sent_after_change = |is_reporting| {
        let options = MembershipOptions {
            seeds: vec![address(0), address(1)],
            is_reporting,
            ..MembershipOptions::default()
        };
        let mut network = GossipNetwork::start_with(64, 24, options);
        network.run(TimeSpan::from_secs(10));
        let sent = network.sent;
        for node in &mut network.nodes {
            let membership = node.membership.as_mut().expect("it runs");
            membership.set_config(ConfigDigest {
                highest: StoreVersion(9),
                version_sum: 9,
                hash: 9,
            });
        }
        network.run(TimeSpan::from_secs(4));
        network.sent - sent
    };
    // A probe a member and period, and its answer: 64 x 10 x 2 in four seconds.
    let probes = 64 * 10 * 2;
    assert!(sent_after_change(false) <= probes * 11 / 10);
    assert!(sent_after_change(true) > probes * 3 / 2);
}
