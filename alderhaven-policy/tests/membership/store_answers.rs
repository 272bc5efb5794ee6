//! Propagation of the store's last answer, and the traffic of an idle group.

use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::membership::digest_progress::DigestProgress;
use alderhaven_policy::membership::group_membership::GroupMembership;
use alderhaven_policy::membership::member_record::ConfigDigest;
use alderhaven_policy::membership::membership_options::MembershipOptions;

use crate::network::{GossipNetwork, address};

/// Latest acceptable time for all members to learn of an answer. A node that knows of none for
/// longer would watch the store itself.
const PROPAGATION_BOUND: TimeSpan = TimeSpan::from_millis(2_500);

/// Returns the age of the last known answer as each process but the first sees it.
fn other_answer_ages(network: &GossipNetwork) -> Vec<Option<TimeSpan>> {
    let running = network.nodes.iter().skip(1);
    let memberships = running.filter_map(|node| node.membership.as_ref());
    memberships
        .map(GroupMembership::other_store_answered_at)
        .map(|reported| reported.map(|answered_at| network.now.since(answered_at)))
        .collect()
}

/// All members must learn within the bound that the store is being watched; otherwise each of them
/// would watch it too.
#[test]
fn note_store_answer_reaches_all_within_bound() {
    let mut network = GossipNetwork::start(195, 21);
    network.run(TimeSpan::from_secs(10));
    let now = network.now;
    let first = network.nodes[0]
        .membership
        .as_mut()
        .expect("the process is running");
    first.note_store_answer(now);
    let propagation_time = network.run_until(TimeSpan::from_secs(5), |network| {
        other_answer_ages(network).iter().all(Option::is_some)
    });
    assert!(
        propagation_time.is_some_and(|span| span <= PROPAGATION_BOUND),
        "{propagation_time:?}"
    );
}

/// The age of an answer must not shrink as it is passed on; otherwise members would assume that
/// the store is being watched when it is not.
#[test]
fn note_store_answer_never_understates_its_age() {
    let mut network = GossipNetwork::start(32, 22);
    network.run(TimeSpan::from_secs(10));
    let answered_at = network.now;
    let first = network.nodes[0]
        .membership
        .as_mut()
        .expect("the process is running");
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

/// A process that alone reaches the store must not mistake its own answer for that of another
/// watcher.
#[test]
fn note_store_answer_is_ignored_by_its_origin() {
    let mut network = GossipNetwork::start(8, 23);
    network.run(TimeSpan::from_secs(5));
    let now = network.now;
    let first = network.nodes[0]
        .membership
        .as_mut()
        .expect("the process is running");
    first.note_store_answer(now);
    network.run(TimeSpan::from_secs(5));
    let first = network.nodes[0]
        .membership
        .as_ref()
        .expect("the process is running");
    assert_eq!(first.other_store_answered_at(), None);
}

/// In a group without reporting, a change of the configuration must cause no extra messages.
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
            let membership = node.membership.as_mut().expect("the process is running");
            membership.set_config(ConfigDigest {
                highest: StoreVersion::of_revision(9),
                progress: DigestProgress {
                    version_sum: 9,
                    ..DigestProgress::default()
                },
                hash: 9,
            });
        }
        network.run(TimeSpan::from_secs(4));
        network.sent - sent
    };
    // One probe per member and period, with its acknowledgement, in four seconds.
    let probes = 64 * 10 * 2;
    assert!(sent_after_change(false) <= probes * 11 / 10);
    assert!(sent_after_change(true) > probes * 3 / 2);
}
