//! Tests of the quarantine: which requests are refused, and after how many crashed targets.

mod common;

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::ShardId;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::crash_strike::TargetCrash;
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_policy::quarantine::CrashQuarantine;
use alderhaven_policy::quarantine_options::QuarantineOptions;
use alderhaven_policy::quarantine_verdict::{QuarantineVerdict, SuspectReason};
use common::{at, proptest_config};
use proptest::collection;
use proptest::prelude::{prop_assert, prop_assert_eq, proptest};
use smallvec::SmallVec;

fn request(name: &str) -> RequestFingerprint {
    RequestFingerprint::of_canonical(name, b"{}")
}

fn quarantine() -> CrashQuarantine {
    CrashQuarantine::new(PolicyKind::Current, QuarantineOptions::default())
}

/// Returns a crash of replica `replica` of shard 0, which is in a domain of its own.
fn crash(id: u64, replica: u32, names: &[&str]) -> TargetCrash {
    crash_in(id, replica, &format!("domain-{replica}"), names)
}

fn crash_in(id: u64, target: u32, domain: &str, names: &[&str]) -> TargetCrash {
    TargetCrash {
        id,
        target: format!("stock-0-{target}").parse().expect("a name"),
        domain: domain.parse().expect("a name"),
        in_flight: names
            .iter()
            .map(|name| (request(name), ShardId(0)))
            .collect(),
        trials: SmallVec::new(),
    }
}

/// Returns a crash of a replica of shard 0 at which a suspect ran on trial, among other requests.
fn trial_crash(id: u64, replica: u32, suspect: &str, others: &[&str]) -> TargetCrash {
    let mut crash = crash(id, replica, &[&[suspect], others].concat());
    crash.trials.push(request(suspect));
    crash
}

fn is_refused(quarantine: &CrashQuarantine, name: &str, now: TimePoint) -> bool {
    quarantine.refused_for(&request(name), now).is_some()
}

/// Guards against refusing a harmless request that was in flight beside the one that crashed the
/// target.
#[test]
fn quarantine_harmless_request_is_not_refused() {
    let mut quarantine = quarantine();
    quarantine.record_crash(&crash(1, 0, &["poison", "harmless"]), at(0));
    assert!(quarantine.is_suspect(&request("harmless"), at(1)));
    assert!(!is_refused(&quarantine, "poison", at(1)));
    let cleared = quarantine.record_answer(&request("harmless"), ShardId(0), at(2));
    assert_eq!(cleared.len(), 1);
    assert!(!quarantine.is_suspect(&request("harmless"), at(3)));
    quarantine.record_crash(&trial_crash(2, 1, "poison", &[]), at(3));
    assert!(is_refused(&quarantine, "poison", at(4)));
    assert!(!is_refused(&quarantine, "harmless", at(4)));
}

/// Guards against refusing a popular request that is in flight, among others, whenever a target
/// crashes.
#[test]
fn quarantine_shared_strikes_never_refuse() {
    let mut quarantine = quarantine();
    for id in 0..10 {
        let other = format!("other-{id}");
        let replica = u32::try_from(id).expect("small");
        quarantine.record_crash(&crash(id, replica, &["popular", &other]), at(id * 5000));
    }
    assert!(!is_refused(&quarantine, "popular", at(50_000)));
}

#[test]
fn quarantine_one_target_twice_is_not_enough() {
    let mut quarantine = quarantine();
    quarantine.record_crash(&crash(1, 0, &["poison"]), at(0));
    quarantine.record_crash(&trial_crash(2, 0, "poison", &[]), at(100));
    assert!(!is_refused(&quarantine, "poison", at(101)));
}

/// Guards against refusing a request that was in flight while its targets' failure domain failed:
/// half of the crashes happened without it.
#[test]
fn quarantine_domain_failure_refuses_no_request() {
    let mut quarantine = quarantine();
    for (id, shard) in [(0, 0), (1, 1), (2, 2), (3, 0)] {
        let target = u32::try_from(id).expect("small");
        let mut crash = crash_in(id, target, "accra-a", &["search"]);
        crash.in_flight[0].1 = ShardId(shard);
        crash.trials.push(request("search"));
        quarantine.record_crash(&crash, at(id * 10));
    }
    for id in 4..8 {
        let target = u32::try_from(id).expect("small");
        let name = format!("other-{id}");
        quarantine.record_crash(&crash_in(id, target, "accra-a", &[&name]), at(id * 10));
        assert!(!is_refused(&quarantine, &name, at(90)));
    }
    assert!(!is_refused(&quarantine, "search", at(90)));
    // Crashes of two targets in other domains count against the request.
    quarantine.record_crash(&crash_in(8, 8, "accra-b", &["search"]), at(100));
    let mut trial = crash_in(9, 9, "accra-c", &["search"]);
    trial.trials.push(request("search"));
    quarantine.record_crash(&trial, at(120));
    assert!(is_refused(&quarantine, "search", at(130)));
}

/// Guards against taking the crashes of two requests for the failure of a domain: one takes down all
/// its targets, and another one a single target at the same time.
#[test]
fn quarantine_two_causes_in_one_domain_are_no_domain_failure() {
    let mut quarantine = quarantine();
    for id in 0..6 {
        let target = u32::try_from(id).expect("small");
        let mut crash = crash_in(id, target, "accra-a", &["sweep"]);
        crash.in_flight[0].1 = ShardId(target);
        quarantine.record_crash(&crash, at(0));
    }
    quarantine.record_crash(&crash_in(6, 6, "accra-a", &["lookup"]), at(0));
    for (id, name) in [(7, "sweep"), (8, "lookup")] {
        quarantine.record_crash(&trial_crash(id, 7, name, &[]), at(20));
        assert!(is_refused(&quarantine, name, at(30)), "{name}");
    }
}

/// Guards against letting a request through because other requests are in flight at each target that
/// it takes down.
#[test]
fn quarantine_cause_is_found_beside_load() {
    let mut quarantine = quarantine();
    quarantine.record_crash(&crash(1, 0, &["poison", "one", "two"]), at(0));
    quarantine.record_crash(&trial_crash(2, 1, "poison", &["one", "three"]), at(30));
    assert!(!is_refused(&quarantine, "poison", at(31)));
    quarantine.record_crash(&trial_crash(3, 2, "poison", &["four", "five"]), at(60));
    assert!(is_refused(&quarantine, "poison", at(61)));
    for name in ["one", "two", "three", "four", "five"] {
        assert!(!is_refused(&quarantine, name, at(61)), "{name}");
        assert!(!quarantine.is_suspect(&request(name), at(61)), "{name}");
    }
}

/// Guards against refusing a request because it was tried at the targets that another one took down.
#[test]
fn quarantine_request_on_the_same_path_is_not_refused() {
    let mut quarantine = quarantine();
    for id in 0..3 {
        let target = u32::try_from(id).expect("small");
        let mut crash = trial_crash(id, target, "poison", &["near"]);
        crash.trials.push(request("near"));
        quarantine.record_crash(&crash, at(id * 100));
        assert!(!is_refused(&quarantine, "near", at(id * 100 + 1)));
    }
    quarantine.record_crash(&trial_crash(3, 3, "poison", &[]), at(400));
    assert!(is_refused(&quarantine, "poison", at(401)));
    assert!(!is_refused(&quarantine, "near", at(401)));
    assert!(!quarantine.is_suspect(&request("near"), at(401)));
}

/// Guards against each node counting a crash for itself: reports of the same crash by two nodes are
/// one, and what one node does not see was in flight at another.
#[test]
fn quarantine_reports_of_one_crash_merge() {
    let mut nodes = [quarantine(), quarantine()];
    for id in 0..2 {
        let target = u32::try_from(id).expect("small");
        nodes[0].record_crash(&trial_crash(id, target, "poison", &[]), at(id * 3000));
        nodes[1].record_crash(&trial_crash(id, target, "near", &[]), at(id * 3000));
    }
    let updates = nodes[0].strikes(at(3001));
    nodes[1].merge(&updates, at(3001));
    assert!(!is_refused(&nodes[1], "near", at(3002)));
    assert!(!is_refused(&nodes[1], "poison", at(3002)));
    nodes[1].record_answer(&request("near"), ShardId(0), at(3010));
    assert!(is_refused(&nodes[1], "poison", at(3011)));
}

/// Guards against all nodes trying a request again at once when its refusal expires.
#[test]
fn quarantine_refusals_end_at_different_times() {
    let spans = ["front-1", "front-2", "front-3"].map(|node| {
        let mut quarantine = quarantine().prolonged_for(node);
        quarantine.record_crash(&crash(1, 0, &["poison"]), at(0));
        quarantine.record_crash(&trial_crash(2, 1, "poison", &[]), at(0));
        quarantine.refused_for(&request("poison"), at(0))
    });
    let mut distinct = spans.to_vec();
    distinct.sort_unstable();
    distinct.dedup();
    assert_eq!(distinct.len(), 3, "{spans:?}");
    let longest = TimeSpan::from_secs(45);
    assert!(
        distinct
            .iter()
            .all(|span| *span >= Some(TimeSpan::from_secs(30)))
    );
    assert!(distinct.iter().all(|span| *span <= Some(longest)));
}

/// Guards against a refusal that counts as settled while other nodes may still add to its evidence:
/// its age starts anew with each refusal.
#[test]
fn refusal_age_counts_from_the_deciding_crash() {
    let mut quarantine = quarantine();
    let age = |quarantine: &CrashQuarantine, millis| {
        quarantine.refusal_age(&request("poison"), at(millis))
    };
    quarantine.record_crash(&crash(1, 0, &["poison"]), at(0));
    assert_eq!(age(&quarantine, 10), None);
    quarantine.record_crash(&trial_crash(2, 1, "poison", &[]), at(100));
    assert_eq!(age(&quarantine, 130), Some(TimeSpan::from_millis(30)));
    assert_eq!(age(&quarantine, 30_100), None);
    quarantine.record_crash(&trial_crash(3, 2, "poison", &[]), at(40_000));
    assert_eq!(age(&quarantine, 40_005), Some(TimeSpan::from_millis(5)));
}

/// Guards against a strike that is recorded after its request was answered by another replica.
#[test]
fn quarantine_answer_clears_the_strike_of_an_earlier_loss() {
    let mut quarantine = quarantine();
    quarantine.record_answer(&request("search"), ShardId(0), at(0));
    quarantine.record_crash(&crash(1, 0, &["search"]), at(1));
    assert!(!quarantine.is_suspect(&request("search"), at(2)));
    quarantine.record_crash(&crash(2, 1, &["search"]), at(2000));
    assert!(quarantine.is_suspect(&request("search"), at(2001)));
}

/// Guards against refusing a query over several shards because one host with replicas of two of
/// them died.
#[test]
fn quarantine_lost_host_is_one_target() {
    let mut quarantine = quarantine();
    for shard in [1, 0] {
        let mut crash = crash(u64::from(shard), shard, &["sweep"]);
        crash.in_flight[0].1 = ShardId(shard);
        quarantine.record_crash(&crash, at(u64::from(1 - shard)));
    }
    assert!(!is_refused(&quarantine, "sweep", at(2)));
    // A second replica of the same shard, tried after the first crash, is an independent crash.
    quarantine.record_crash(&trial_crash(2, 2, "sweep", &[]), at(20));
    assert!(is_refused(&quarantine, "sweep", at(21)));
}

/// Each verdict names its reason, so that a log tells why a request was let through.
#[test]
fn verdict_names_the_reason() {
    let mut quarantine = quarantine();
    let verdict =
        |quarantine: &CrashQuarantine, millis| quarantine.verdict(&request("one"), at(millis));
    assert_eq!(verdict(&quarantine, 0), QuarantineVerdict::Clear);
    quarantine.record_crash(&crash(1, 0, &["one", "two"]), at(0));
    let few_crashes = QuarantineVerdict::Suspect(SuspectReason::FewCrashes);
    assert_eq!(verdict(&quarantine, 1), few_crashes);
    quarantine.record_crash(&crash(2, 1, &["one", "two"]), at(5000));
    let shared_crashes = QuarantineVerdict::Suspect(SuspectReason::SharedCrashes);
    assert_eq!(verdict(&quarantine, 5001), shared_crashes);
    quarantine.record_crash(&crash(3, 2, &["one"]), at(10_000));
    let refused = QuarantineVerdict::Refused(TimeSpan::from_millis(29_999));
    assert_eq!(verdict(&quarantine, 10_001), refused);
    let refusal_over = QuarantineVerdict::Suspect(SuspectReason::RefusalOver);
    assert_eq!(verdict(&quarantine, 40_000), refusal_over);
}

#[test]
fn quarantine_refusal_expires_and_doubles() {
    let mut quarantine = quarantine();
    quarantine.record_crash(&crash(1, 0, &["poison"]), at(0));
    quarantine.record_crash(&trial_crash(2, 1, "poison", &[]), at(0));
    assert!(is_refused(&quarantine, "poison", at(29_999)));
    assert!(!is_refused(&quarantine, "poison", at(30_000)));
    quarantine.record_crash(&trial_crash(3, 2, "poison", &[]), at(40_000));
    assert!(is_refused(&quarantine, "poison", at(99_999)));
    assert!(!is_refused(&quarantine, "poison", at(100_000)));
}

#[test]
fn quarantine_baseline_refuses_nothing() {
    let mut quarantine = CrashQuarantine::new(PolicyKind::Baseline, QuarantineOptions::default());
    quarantine.record_crash(&crash(1, 0, &["poison"]), at(0));
    quarantine.record_crash(&trial_crash(2, 1, "poison", &[]), at(0));
    assert!(!is_refused(&quarantine, "poison", at(1)));
}

/// A generated crash: target, two requests in flight, and time in milliseconds.
type DrawnCrash = (u32, usize, usize, u64);

const NAMES: [&str; 4] = ["one", "two", "three", "four"];

fn drawn_crash(index: usize, drawn: &DrawnCrash) -> (TargetCrash, TimePoint) {
    let (target, first, second, millis) = *drawn;
    let names = [NAMES[first], NAMES[second]];
    let distinct_names = if first == second {
        &names[..1]
    } else {
        &names[..]
    };
    (crash(index as u64, target, distinct_names), at(millis))
}

proptest! {
    #![proptest_config(proptest_config(64))]

    /// Strikes that are merged in any split, order and repetition lead all processes to the same
    /// decision.
    #[test]
    fn quarantine_merge_is_order_independent(
        drawn in collection::vec((0..6_u32, 0..4_usize, 0..4_usize, 0..60_000_u64), 1..12),
        swap in 0..12_usize,
    ) {
        let now = at(60_000);
        let mut parts = [quarantine(), quarantine()];
        for (index, item) in drawn.iter().enumerate() {
            let (crash, time) = drawn_crash(index, item);
            parts[usize::from(index % 3 == swap % 3)].record_crash(&crash, time);
        }
        let updates: Vec<_> = parts.iter().flat_map(|part| part.strikes(now)).collect();
        let mut forward = quarantine();
        forward.merge(&updates, now);
        let mut backward = quarantine();
        for item in updates.iter().rev().chain(&updates) {
            backward.merge(std::slice::from_ref(item), now);
        }
        prop_assert!(forward.merge(&updates, now).is_empty());
        for name in NAMES {
            let refused = forward.refused_for(&request(name), now);
            prop_assert_eq!(refused, backward.refused_for(&request(name), now));
        }
    }

    /// A request that was never alone at a crashed target, or crashed fewer than two targets, is
    /// not refused.
    #[test]
    fn quarantine_refuses_only_with_evidence(
        drawn in collection::vec((0..6_u32, 0..4_usize, 0..4_usize, 0..60_000_u64), 1..12),
    ) {
        let mut quarantine = quarantine();
        for (index, item) in drawn.iter().enumerate() {
            let (crash, time) = drawn_crash(index, item);
            quarantine.record_crash(&crash, time);
        }
        for entry in quarantine.entries(at(60_000)) {
            let mut targets: Vec<_> = entry.strikes.iter().map(|strike| &strike.target).collect();
            targets.sort();
            targets.dedup();
            let alone = entry.strikes.iter().any(|strike| strike.in_flight == 1);
            prop_assert!(entry.refusals == 0 || (alone && targets.len() >= 2));
        }
    }

    #[test]
    fn quarantine_is_bounded(count in 1..200_usize) {
        let options = QuarantineOptions { max_requests: 8, ..QuarantineOptions::default() };
        let mut quarantine = CrashQuarantine::new(PolicyKind::Current, options);
        for index in 0..count {
            let name = format!("request-{index}");
            let target = u32::try_from(index).expect("small");
            quarantine.record_crash(&crash(index as u64, target, &[&name]), at(index as u64));
        }
        prop_assert!(quarantine.len() <= 8);
        // The newest requests are kept.
        let last = format!("request-{}", count - 1);
        prop_assert!(quarantine.is_suspect(&request(&last), at(count as u64)));
    }
}

#[test]
fn quarantine_forgets_after_its_memory() {
    let mut quarantine = quarantine();
    quarantine.record_crash(&crash(1, 0, &["old"]), at(0));
    let later = TimePoint::START + TimeSpan::from_secs(3601);
    quarantine.record_crash(&crash(2, 1, &["new"]), later);
    assert_eq!(quarantine.len(), 1);
    assert!(!quarantine.is_empty());
}
