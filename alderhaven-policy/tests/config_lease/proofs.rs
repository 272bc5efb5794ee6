//! Which proofs count, and from when.

use alderhaven_core::ids::StoreEra;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::config_lease::{ConfigLease, LeaseOptions, LeaseStatus};
use alderhaven_policy::group_place::GroupPlace;
use alderhaven_policy::lease_change::LeaseChange;
use alderhaven_policy::lease_step::LeaseStep;

const PLACE: GroupPlace = GroupPlace {
    own: 1,
    domain_first: 0,
    nodes: 2,
};

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

fn version(revision: u64) -> StoreVersion {
    StoreVersion::of_revision(revision)
}

fn millis(millis: u64) -> TimeSpan {
    TimeSpan::from_millis(millis)
}

/// Creates a strict lease that holds version 5.
fn lease() -> ConfigLease {
    let options = LeaseOptions {
        revocation_bound: Some(millis(5_000)),
    };
    let mut lease = ConfigLease::new(options, 100);
    lease.record_held(version(5));
    lease
}

/// Sends the query that is due and returns its number.
fn query(lease: &mut ConfigLease, now: TimePoint) -> u64 {
    let steps = std::iter::from_fn(|| lease.next_step(PLACE, now, 0.5));
    let number = steps.filter_map(|step| match step {
        LeaseStep::Query { number, .. } => Some(number),
        LeaseStep::ListStore => None,
    });
    number.last().expect("a query is due")
}

/// Guards against a front that accepts keys before it has any proof.
#[test]
fn status_without_proof() {
    assert_eq!(lease().status(at(0)), LeaseStatus::Ended);
    let mut lenient = ConfigLease::new(LeaseOptions::default(), 100);
    assert_eq!(lenient.status(at(0)), LeaseStatus::Held);
    lenient.record_held(version(5));
    lenient.record_list(at(0), version(5));
    assert_eq!(lenient.status(at(2_000)), LeaseStatus::Fresh);
    assert_eq!(lenient.status(at(900_000)), LeaseStatus::Held);
}

/// Guards against a lease that ends at another age than 5% before the bound.
#[test]
fn status_by_age_of_the_proof() {
    let mut lease = lease();
    lease.record_list(at(1_000), version(5));
    assert_eq!(lease.status(at(3_499)), LeaseStatus::Fresh);
    assert_eq!(lease.status(at(3_500)), LeaseStatus::Held);
    assert_eq!(lease.status(at(5_749)), LeaseStatus::Held);
    assert_eq!(lease.status(at(5_750)), LeaseStatus::Ended);
}

/// Guards against a reply that counts from its arrival, or without the age that it names.
#[test]
fn reply_counts_from_its_query() {
    let mut lease = lease();
    let number = query(&mut lease, at(1_000));
    assert!(lease.record_reply(number, Some((millis(300), version(5)))));
    assert_eq!(lease.proof_age(at(4_000)), Some(millis(3_300)));
}

/// Guards against a late reply that shortens the lease, and one that prolongs it twice.
#[test]
fn reply_late_or_repeated() {
    let mut lease = lease();
    let first = query(&mut lease, at(1_000));
    let second = query(&mut lease, at(1_300));
    assert!(lease.record_reply(second, Some((millis(0), version(5)))));
    assert!(lease.record_reply(first, Some((millis(0), version(5)))));
    assert_eq!(lease.proof_age(at(2_000)), Some(millis(700)));
    assert!(!lease.record_reply(second, Some((millis(0), version(5)))));
    assert!(!lease.record_reply(7, Some((millis(0), version(5)))));
}

/// Guards against a proof that is taken as younger than it is because it precedes the start of the
/// process.
#[test]
fn reply_older_than_the_process() {
    let mut lease = lease();
    let number = query(&mut lease, at(10));
    lease.record_reply(number, Some((millis(4_700), version(5))));
    assert_eq!(lease.status(at(50)), LeaseStatus::Held);
    assert_eq!(lease.status(at(60)), LeaseStatus::Ended);
}

/// Guards against a proof that counts for a front that holds an older configuration.
#[test]
fn proof_for_a_version_that_is_not_held() {
    let mut lease = lease();
    lease.record_list(at(1_000), version(5));
    lease.record_list(at(2_000), version(6));
    lease.record_list(at(3_000), version(7));
    assert_eq!(lease.proof_age(at(4_000)), Some(millis(3_000)));
    lease.record_held(version(6));
    assert_eq!(lease.proof_age(at(4_000)), Some(millis(2_000)));
    lease.record_held(version(8));
    assert_eq!(lease.proof_age(at(4_000)), Some(millis(1_000)));
}

/// Guards against a front that passes on a proof that does not count for itself.
#[test]
fn proof_for_others_is_the_one_that_counts() {
    let mut lease = lease();
    lease.record_list(at(1_000), version(6));
    assert_eq!(lease.proof(), None);
    lease.record_held(version(6));
    assert!(
        lease
            .proof()
            .is_some_and(|proof| proof.version == version(6))
    );
}

/// Guards against a lease that ends because the store came back from an older copy, and against one
/// that counts although the front lacks a configuration of the new era.
#[test]
fn proof_of_a_restored_store() {
    let restored = version(3).in_era(StoreEra(1));
    let mut lease = lease();
    lease.record_list(at(1_000), restored);
    assert_eq!(lease.status(at(1_000)), LeaseStatus::Ended);
    lease.record_held(restored.carried());
    assert_eq!(lease.status(at(1_000)), LeaseStatus::Fresh);
    lease.record_list(at(2_000), version(4).in_era(StoreEra(1)));
    assert_eq!(lease.proof_age(at(2_000)), Some(millis(1_000)));
}

/// Guards against log lines that are missing or repeated.
#[test]
fn change_is_reported_once() {
    let mut lease = lease();
    assert_eq!(lease.take_change(at(0)), None);
    lease.record_list(at(0), version(5));
    assert_eq!(lease.take_change(at(10)), Some(LeaseChange::Obtained));
    assert_eq!(lease.take_change(at(4_749)), None);
    assert_eq!(lease.take_change(at(4_750)), Some(LeaseChange::Lost));
    assert_eq!(lease.take_change(at(6_000)), None);
    lease.record_list(at(6_000), version(5));
    assert_eq!(lease.take_change(at(6_010)), Some(LeaseChange::Recovered));
}

/// Guards against a keeper that sleeps past the end of its lease, or does not sleep at all.
#[test]
fn next_due_after_all_steps_is_later() {
    let mut lease = lease();
    let mut now = at(0);
    while now < at(6_000) {
        while lease.next_step(PLACE, now, 0.5).is_some() {}
        let due = lease.next_due(PLACE, now);
        assert!(
            due > now && due <= now + millis(1_300),
            "{due:?} at {now:?}"
        );
        if now < at(1_000) {
            lease.record_list(now, version(5));
        }
        now = due;
    }
}
