//! Tests of the promise checks: a valid history breaks no promise, and each change to it breaks
//! one.

mod history;

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_soak::caller_credential::CallerCredential;
use alderhaven_soak::crash_caller::CrashCaller;
use alderhaven_soak::promises::PromiseKind;
use alderhaven_soak::run_mode::RunMode;
use alderhaven_soak::shard_records;
use alderhaven_soak::soak_history::{
    DisruptionSubject, ProcessRecord, RESTORE_KIND, RequestOutcome,
};
use alderhaven_soak::soak_options::PromiseScope;
use alderhaven_soak::soak_plan::SoakPlan;
use alderhaven_soak::soak_workload::{MERGED_RECORDS, RequestKind, ShardSet};
use alderhaven_soak::team_plan::TeamPlan;
use history::{FRONT_ADDRESS, HistoryBuilder, at_millis};

const ALL: PromiseScope = PromiseScope::All;

#[test]
fn check_valid_history() {
    let builder = HistoryBuilder::valid();
    assert_eq!(builder.broken_promises(ALL), []);
    assert_eq!(builder.broken_promises(PromiseScope::Untimed), []);
}

/// A caller gets the answer to another caller's request.
#[test]
fn check_foreign_answer() {
    let mut builder = HistoryBuilder::valid();
    builder.edit_answer("record", |answer| {
        answer.proof = "d-records.a1-other".to_owned();
    });
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::OwnAnswer]);
}

/// A truncated answer reaches the caller as a whole one.
#[test]
fn check_truncated_answer() {
    let mut builder = HistoryBuilder::valid();
    builder.edit_answer("record", |answer| answer.body = answer.body.slice(..20));
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::OwnAnswer]);
}

/// A target's failure reaches the caller with another status.
#[test]
fn check_changed_failure() {
    let mut builder = HistoryBuilder::valid();
    builder.edit_answer("record", |answer| answer.status = 502);
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::OwnAnswer]);
}

/// An answer is merged from the shards of two configurations.
#[test]
fn check_mixed_shards() {
    let mut builder = HistoryBuilder::valid();
    builder.edit_answer("sweep", |answer| {
        answer.part_proofs[0] = "d-new-0.a1-sweep".to_owned();
        let mut services = ShardSet::Old.services();
        services[0] = "new-0".to_owned();
        answer.body = history::merged_body(&services, "sweep");
    });
    let broken = builder.broken_promises(PromiseScope::Untimed);
    assert!(broken.contains(&PromiseKind::TrueCoverage), "{broken:?}");
}

/// A shard is missing, and the answer does not declare it.
#[test]
fn check_unreported_missing_shard() {
    let mut builder = HistoryBuilder::valid();
    builder.edit_answer("sweep", |answer| {
        answer.part_proofs.pop();
        let services = &ShardSet::Old.services()[..5];
        answer.body = history::merged_body(services, "sweep");
    });
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::TrueCoverage]);
}

/// The answer contains the proofs of all shards but lacks the records of one.
#[test]
fn check_missing_records() {
    let mut builder = HistoryBuilder::valid();
    builder.edit_answer("sweep", |answer| {
        answer.body = history::merged_body(&ShardSet::Old.services()[1..], "sweep");
        assert_eq!(answer.body.len(), MERGED_RECORDS * 16);
    });
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::TrueCoverage]);
}

/// An answer is a success although it covers fewer shards than required.
#[test]
fn check_insufficient_coverage() {
    let mut builder = HistoryBuilder::valid();
    builder.edit_answer("sweep", |answer| {
        answer.part_proofs.truncate(2);
        answer.missing = 4;
        answer.body = history::merged_body(&ShardSet::Old.services()[..2], "sweep");
    });
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::TrueCoverage]);
}

/// A valid request is rejected with status 400.
#[test]
fn check_rejected_valid_request() {
    let mut builder = HistoryBuilder::valid();
    builder.edit_answer("order", |answer| answer.status = 400);
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::NotDenied]);
}

/// A second target runs an order that the first one has run.
#[test]
fn check_order_run_twice() {
    let mut builder = HistoryBuilder::valid();
    builder.add_arrival("order", "orders.b1", "orders", at_millis(9_050));
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::AtMostOnce]);
}

/// A third target of a shard runs a request; two are allowed.
#[test]
fn check_too_many_targets() {
    let mut builder = HistoryBuilder::valid();
    builder.add_arrival("sweep", "old-0.b1", "old-0", at_millis(9_020));
    assert_eq!(builder.broken_promises(ALL), []);
    builder.add_arrival("sweep", "old-0.a2", "old-0", at_millis(9_030));
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::AtMostOnce]);
}

/// An order is refused as not run although it ran.
#[test]
fn check_false_refusal() {
    let mut builder = HistoryBuilder::valid();
    builder.edit_answer("order", |answer| {
        answer.status = 503;
        answer.is_refusal = true;
        answer.proof = String::new();
    });
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::NotRun]);
}

/// A fan-out query is refused as not run although its shards ran it.
#[test]
fn check_false_refusal_of_a_query() {
    let mut builder = HistoryBuilder::valid();
    builder.edit_answer("sweep", |answer| {
        answer.status = 503;
        answer.is_refusal = true;
        answer.proof = String::new();
        answer.part_proofs.clear();
    });
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::NotRun]);
}

/// A target gets a request that no caller sent, or one with a changed path.
#[test]
fn check_invented_request() {
    let mut builder = HistoryBuilder::valid();
    builder.add_arrival("nobody", "records.a1", "records", at_millis(9_020));
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::NothingInvented]);
    let mut builder = HistoryBuilder::valid();
    builder.history.arrivals[0].path = "/sweep/".to_owned();
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::NothingInvented]);
}

/// A leaving target gets a request after the drain time. That is allowed while the store is
/// disrupted.
#[test]
fn check_work_for_leaving_target() {
    let mut builder = HistoryBuilder::valid();
    builder.add_leaving_target("records.a1", at_millis(5_000));
    assert_eq!(
        builder.broken_promises(ALL),
        [PromiseKind::LeavingLeftAlone]
    );
    builder.add_disruption(DisruptionSubject::Store, at_millis(4_000), at_millis(6_000));
    assert_eq!(builder.broken_promises(ALL), []);
}

/// A target of an evacuated failure domain gets a request after the bound. That is allowed while
/// the store is disrupted, within the bound and after the evacuation was revoked.
#[test]
fn check_work_for_evacuated_domain() {
    let mut builder = HistoryBuilder::valid();
    builder.add_evacuation("b", at_millis(1_000), None);
    assert_eq!(builder.broken_promises(ALL), [], "no target is in domain b");
    builder.add_evacuation("a", at_millis(3_000), Some(at_millis(10_000)));
    assert!(
        builder
            .broken_promises(ALL)
            .contains(&PromiseKind::EvacuatedLeftAlone)
    );
    builder.add_disruption(DisruptionSubject::Store, at_millis(2_000), at_millis(4_000));
    assert_eq!(builder.broken_promises(ALL), []);
    let mut builder = HistoryBuilder::valid();
    builder.add_evacuation("a", at_millis(4_500), Some(at_millis(10_000)));
    assert_eq!(
        builder.broken_promises(ALL),
        [],
        "the arrivals are within the bound"
    );
    let mut builder = HistoryBuilder::valid();
    builder.add_evacuation("a", at_millis(1_000), Some(at_millis(8_000)));
    assert_eq!(
        builder.broken_promises(ALL),
        [],
        "the evacuation was revoked before the arrivals"
    );
}

/// A front lacks an added route after the bound. That is allowed within the bound.
#[test]
fn check_late_config() {
    let mut builder = HistoryBuilder::valid();
    builder.add_request("mark", RequestKind::VersionRoute(4), at_millis(9_000));
    builder.edit_answer("mark", |answer| {
        answer.status = 404;
        answer.proof = String::new();
    });
    builder.add_config(4, &[1, 4], ShardSet::Old, at_millis(7_000));
    assert_eq!(builder.broken_promises(ALL), []);
    builder.history.configs[1].accepted_at = at_millis(4_000);
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::ConfigInForce]);
}

/// A route that was removed longer ago than the bound is still served.
#[test]
fn check_removed_route() {
    let mut builder = HistoryBuilder::valid();
    builder.add_request("mark", RequestKind::VersionRoute(1), at_millis(9_000));
    builder.add_config(4, &[4], ShardSet::Old, at_millis(4_000));
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::ConfigInForce]);
}

/// A process serves a new route and later answers that the route does not exist.
#[test]
fn check_config_regression() {
    let mut builder = HistoryBuilder::valid();
    builder.add_config(4, &[1, 4], ShardSet::Old, at_millis(8_500));
    builder.add_request("first", RequestKind::VersionRoute(4), at_millis(9_000));
    builder.add_request("second", RequestKind::VersionRoute(4), at_millis(9_200));
    assert_eq!(builder.broken_promises(ALL), []);
    builder.edit_answer("second", |answer| {
        answer.status = 404;
        answer.proof = String::new();
    });
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::ConfigKept]);
}

/// A front that stops gives a request up early although a target answers. That is allowed once the
/// request has timed out, and to a front that doesn't stop, where other promises apply.
#[test]
fn check_request_given_up_during_a_stop() {
    let mut builder = HistoryBuilder::valid();
    builder.edit_answer("order", |answer| {
        answer.status = 504;
        answer.proof = String::new();
        answer.body = bytes::Bytes::new();
    });
    assert_eq!(builder.broken_promises(ALL), []);
    builder.history.processes[0].stop_requested_at = Some(at_millis(8_000));
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::NothingCut]);
    let order = builder.history.requests.get_mut("order");
    order.expect("the request was added").timeout = TimeSpan::from_millis(50);
    assert_eq!(builder.broken_promises(ALL), []);
}

/// A front closes a connection although a target answers, both while it serves and while it stops.
/// That is allowed if it was killed.
#[test]
fn check_cut_request() {
    let mut builder = HistoryBuilder::valid();
    builder.set_outcome("order", RequestOutcome::Closed);
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::NothingCut]);
    builder.history.processes[0].stop_requested_at = Some(at_millis(8_000));
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::NothingCut]);
    builder.history.processes[0].is_killed = true;
    assert_eq!(builder.broken_promises(ALL), []);
}

/// A process ends without being stopped or killed.
#[test]
fn check_unrequested_exit() {
    let mut builder = HistoryBuilder::valid();
    builder.history.processes[0].ended_at = Some(at_millis(11_000));
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::ProcessLives]);
}

/// A service gets more repeats than the budget of all fronts together allows.
#[test]
fn check_excessive_repeats() {
    let mut builder = HistoryBuilder::valid();
    for number in 0..40 {
        let id = format!("again{number}");
        builder.add_request(&id, RequestKind::Record, at_millis(9_000));
        builder.add_arrival(&id, "records.b1", "records", at_millis(9_100));
    }
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::RepeatBudget]);
}

/// A target is told more time than the caller has left.
#[test]
fn check_excessive_time_left() {
    let mut builder = HistoryBuilder::valid();
    builder.history.arrivals[0].time_left = Some(TimeSpan::from_secs(30));
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::TimeLeft]);
}

/// A request ends after the caller's timeout. That is allowed while the front is disrupted.
#[test]
fn check_late_answer() {
    let mut builder = HistoryBuilder::valid();
    builder.set_end("order", at_millis(13_000), RequestOutcome::Unanswered);
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::AnswerInTime]);
    builder.add_disruption(
        DisruptionSubject::Front(FRONT_ADDRESS),
        at_millis(9_000),
        at_millis(12_000),
    );
    assert_eq!(builder.broken_promises(ALL), []);
}

/// A front sends an attempt to another target after the caller has disconnected.
#[test]
fn check_work_for_disconnected_caller() {
    let mut builder = HistoryBuilder::valid();
    builder.set_end("sweep", at_millis(9_040), RequestOutcome::Abandoned);
    assert_eq!(builder.broken_promises(ALL), []);
    builder.add_arrival("sweep", "old-1.b1", "old-1", at_millis(9_700));
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::CallerGone]);
}

/// Fronts still refuse requests after all faults have ended.
#[test]
fn check_missing_recovery() {
    let mut builder = HistoryBuilder::valid();
    for number in 0..12 {
        let id = format!("last{number}");
        builder.add_request(&id, RequestKind::Record, at_millis(19_000));
        builder.edit_answer(&id, |answer| {
            answer.status = 503;
            answer.is_refusal = true;
            answer.proof = String::new();
        });
    }
    // A refused request must not arrive at a target, which would break `NotRun`.
    let arrivals = &mut builder.history.arrivals;
    arrivals.retain(|arrival| !arrival.request_id.starts_with("last"));
    let broken = builder.broken_promises(ALL);
    assert_eq!(broken, [PromiseKind::Recovery]);
}

#[test]
fn check_valid_history_with_teams() {
    let mut builder = HistoryBuilder::valid_with_teams();
    builder.set_team("record", 1);
    assert_eq!(builder.broken_promises(ALL), []);
    assert_eq!(builder.broken_promises(PromiseScope::Untimed), []);
}

/// A target sees a key, no team, a team that the caller made up, or two teams.
#[test]
fn check_wrong_team_at_target() {
    let mut builder = HistoryBuilder::valid_with_teams();
    builder.history.arrivals[0].has_key = true;
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::TeamIdentity]);
    let wrong_teams: [&[&str]; 4] = [&[], &["birch"], &["amber", "birch"], &["Amber"]];
    for teams in wrong_teams {
        let mut builder = HistoryBuilder::valid_with_teams();
        let teams = teams.iter().map(|team| (*team).to_owned());
        builder.history.arrivals[0].teams = teams.collect();
        assert_eq!(builder.broken_promises(ALL), [PromiseKind::TeamIdentity]);
    }
}

/// A request without a key that was ever valid runs. That is allowed on an open route.
#[test]
fn check_run_without_valid_key() {
    let invalid_credentials = [
        CallerCredential::Missing,
        CallerCredential::UnknownKey("soak-key-amber-1-unknown".to_owned()),
        CallerCredential::Doubled("soak-key-amber-1".to_owned()),
        CallerCredential::Malformed("soak-key-amber-1".to_owned()),
    ];
    for credential in invalid_credentials {
        let mut builder = HistoryBuilder::valid_with_teams();
        builder.set_credential("record", credential.clone());
        assert_eq!(builder.broken_promises(ALL), [PromiseKind::TeamIdentity]);
        let mut builder = HistoryBuilder::valid_with_teams();
        builder.add_request("open", RequestKind::VersionRoute(1), at_millis(9_000));
        builder.set_credential("open", credential);
        assert_eq!(builder.broken_promises(ALL), []);
    }
}

/// A team that the caller made up arrives over an open route.
#[test]
fn check_spoofed_team_on_open_route() {
    let mut builder = HistoryBuilder::valid_with_teams();
    builder.add_request("open", RequestKind::VersionRoute(1), at_millis(9_000));
    let arrival = builder.history.arrivals.last_mut();
    arrival.expect("the request arrived").teams = vec!["amber".to_owned()];
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::TeamIdentity]);
}

/// A team runs more in a window than its limit allows: (10 x 2 + 10) x 1.1 + 7 = 40 requests. A
/// request that was sent in the window and arrives after it does not count.
#[test]
fn check_excess_over_quota() {
    let interval = TimeSpan::from_millis(40);
    let mut builder = HistoryBuilder::valid_with_teams();
    builder.add_team_requests(1, 40, at_millis(9_500), interval);
    assert_eq!(builder.broken_promises(ALL), []);
    builder.add_team_requests(1, 1, at_millis(11_400), interval);
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::TeamQuota]);
    let last = builder
        .history
        .arrivals
        .last_mut()
        .expect("requests arrived");
    last.at = at_millis(11_600);
    assert_eq!(builder.broken_promises(ALL), []);
}

/// An excess that lasts no longer than a stall of the machine is not reported.
#[test]
fn check_excess_over_quota_in_stall() {
    let mut builder = HistoryBuilder::valid_with_teams();
    builder.add_team_requests(1, 41, at_millis(9_500), TimeSpan::from_millis(10));
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::TeamQuota]);
    builder.add_disruption(
        DisruptionSubject::Machine,
        at_millis(9_600),
        at_millis(9_800),
    );
    assert_eq!(builder.broken_promises(ALL), []);
}

/// Returns a history in which `birch` runs 11 requests in a window with a lowered limit of
/// (1 x 2 + 1) x 1.1 + 7 = 10.3, and the only front proves at `known_at` that it holds this limit.
fn history_with_lowered_limit(known_at: TimePoint) -> HistoryBuilder {
    let mut builder = HistoryBuilder::valid_with_teams();
    builder.teams[1].is_lowered = true;
    builder.add_config(4, &[1, 4], ShardSet::Old, at_millis(1_000));
    builder.add_request("known", RequestKind::VersionRoute(4), known_at);
    let interval = TimeSpan::from_millis(100);
    builder.add_team_requests(1, 20, at_millis(6_000), interval);
    builder.add_team_requests(1, 11, at_millis(9_500), interval);
    builder
}

/// A lowered limit does not bind. It has to, one window after all fronts have had it for the time in
/// which they must apply it.
#[test]
fn check_lowered_limit() {
    let builder = history_with_lowered_limit(at_millis(2_000));
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::TeamQuota]);
    let builder = history_with_lowered_limit(at_millis(3_000));
    assert_eq!(builder.broken_promises(ALL), []);
}

/// A process that started while the store had lost the lowered limit may not know it.
#[test]
fn check_lowered_limit_after_restore() {
    let mut builder = history_with_lowered_limit(at_millis(2_000));
    builder.history.processes.push(ProcessRecord {
        front: "127.200.0.2".parse().expect("an address"),
        started_at: at_millis(4_000),
        stop_requested_at: None,
        is_killed: false,
        ended_at: None,
    });
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::TeamQuota]);
    builder.add_disruption(DisruptionSubject::Store, at_millis(3_500), at_millis(4_500));
    builder.history.disruptions[0].kind = RESTORE_KIND.to_owned();
    assert_eq!(builder.broken_promises(ALL), []);
}

/// A request runs that was sent later than the bound after its key was removed, on a front that was
/// undisturbed, frozen or cut off. Without a strict bound that is allowed.
#[test]
fn check_run_with_removed_key() {
    let mut builder = HistoryBuilder::valid_with_teams();
    builder.teams[0].rotate_key();
    builder.add_config(4, &[1], ShardSet::Old, at_millis(4_000));
    for number in 0..10 {
        builder.set_team(&format!("tail{number}"), 0);
    }
    assert_eq!(builder.broken_promises(ALL), [], "the bound has not passed");
    builder.history.configs[1].accepted_at = at_millis(3_900);
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::Revocation]);
    let front = DisruptionSubject::Front(FRONT_ADDRESS);
    builder.add_disruption(front, at_millis(2_000), at_millis(9_500));
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::Revocation]);
    let bounds = builder.history.team_bounds.as_mut();
    bounds.expect("the run has teams").is_revoke_strict = false;
    assert_eq!(builder.broken_promises(ALL), []);
}

/// The store may lose the removal of a key when it comes back from an older copy. The bound then
/// counts from its repetition.
#[test]
fn check_run_with_removed_key_after_restore() {
    let mut builder = HistoryBuilder::valid_with_teams();
    builder.teams[0].rotate_key();
    builder.add_config(4, &[1], ShardSet::Old, at_millis(1_000));
    for number in 0..10 {
        builder.set_team(&format!("tail{number}"), 0);
    }
    builder.add_disruption(DisruptionSubject::Store, at_millis(2_000), at_millis(4_500));
    builder.history.disruptions[0].kind = RESTORE_KIND.to_owned();
    assert_eq!(builder.broken_promises(ALL), []);
    builder.history.disruptions[0].until = Some(at_millis(3_500));
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::Revocation]);
}

/// A request runs although its caller was told that it did not.
#[test]
fn check_refused_request_ran() {
    let mut builder = HistoryBuilder::valid_with_teams();
    builder.edit_answer("record", |answer| {
        answer.status = 401;
        answer.proof = String::new();
    });
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::TeamRefusal]);
    for status in [429, 503] {
        let mut builder = HistoryBuilder::valid_with_teams();
        builder.edit_answer("record", |answer| {
            answer.status = status;
            answer.is_refusal = true;
            answer.proof = String::new();
        });
        let broken = builder.broken_promises(ALL);
        assert_eq!(broken, [PromiseKind::NotRun, PromiseKind::TeamRefusal]);
    }
}

/// A key that every configuration holds is refused as unknown. That is allowed for a key that was
/// added or removed, or that no configuration held.
#[test]
fn check_refusal_of_valid_key() {
    let mut builder = HistoryBuilder::valid_with_teams();
    builder.refuse("record", 401);
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::TeamRefusal]);
    builder.set_credential("record", CallerCredential::Missing);
    assert_eq!(builder.broken_promises(ALL), []);
    builder.set_team("record", 0);
    builder.teams[0].rotate_key();
    builder.add_config(4, &[1], ShardSet::Old, at_millis(8_000));
    for number in 0..10 {
        builder.set_team(&format!("tail{number}"), 0);
    }
    assert_eq!(builder.broken_promises(ALL), []);
}

/// An open route refuses a caller as unknown.
#[test]
fn check_refusal_on_open_route() {
    let mut builder = HistoryBuilder::valid_with_teams();
    builder.add_request("open", RequestKind::VersionRoute(1), at_millis(9_000));
    builder.refuse("open", 401);
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::TeamRefusal]);
}

/// Teams must not change the faults of a seed, or kept seeds would no longer show their fault.
#[test]
fn with_teams_keeps_other_faults() {
    let span = TimeSpan::from_secs(25);
    for seed in 0..20 {
        let plan = SoakPlan::new(seed, span);
        let with_teams = plan.clone().with_teams(seed);
        let mut rest = with_teams.steps.iter();
        let is_kept = plan
            .steps
            .iter()
            .all(|step| rest.any(|other| other == step));
        assert!(is_kept, "seed {seed}");
        assert!(with_teams.steps.len() > plan.steps.len(), "seed {seed}");
    }
}

/// About half of the seeds have teams unless the option decides.
#[test]
fn is_on_draws_half() {
    let draws: [fn(u64) -> bool; 2] = [TeamPlan::is_drawn, CrashCaller::is_drawn];
    for is_drawn in draws {
        let seeds = 0..1_000;
        let count = seeds
            .filter(|seed| RunMode::Drawn.is_on(is_drawn(*seed)))
            .count();
        assert!((400..600).contains(&count), "{count}");
    }
    assert!(RunMode::On.is_on(false) && !RunMode::Off.is_on(true));
    assert!("some".parse::<RunMode>().is_err());
}

#[test]
fn parse_proof_parts() {
    let parts = shard_records::parse_proof("d-old-3.b12-q1x7");
    assert_eq!(parts, Some(("old-3", "q1x7")));
    assert_eq!(shard_records::parse_proof("old-3"), None);
}

/// A request that has crashed three targets is sent to targets again and again.
#[test]
fn check_crashing_request_let_through() {
    let mut builder = HistoryBuilder::valid();
    for (number, millis) in [1_000, 1_100, 1_200, 6_000, 7_000, 8_000, 9_500]
        .into_iter()
        .enumerate()
    {
        let id = format!("crash{number}");
        builder.add_request(&id, RequestKind::Record, at_millis(millis));
        builder.set_path(&id, "/record/crash-1");
        assert!(number == 6 || builder.broken_promises(ALL).is_empty());
    }
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::CrashBudget]);
}

/// A sound request is refused for as long as one that crashes targets.
#[test]
fn check_sound_request_refused_for_crashes() {
    let mut builder = HistoryBuilder::valid();
    builder
        .history
        .arrivals
        .retain(|arrival| arrival.request_id != "record");
    builder.edit_answer("record", |answer| {
        answer.status = 503;
        answer.is_refusal = true;
        answer.retry_after = Some(TimeSpan::from_secs(30));
        answer.proof.clear();
        answer.body.clear();
    });
    assert_eq!(builder.broken_promises(ALL), [PromiseKind::NotBlamed]);
}
