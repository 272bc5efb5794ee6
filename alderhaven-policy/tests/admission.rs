//! Simulations of admission control, judged by what callers receive.
//!
//! The service has 20 shards with 4 slots each, and an attempt takes 10 ms on average, so that it
//! can run 400 queries over all shards per second.

mod common;

use alderhaven_core::class::QueryClass;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::policy_kind::PolicyKind;
use common::service_simulation::{Call, CallOutcome, ServiceShape, ServiceSimulation, poisson};
use common::{SeededRng, at, ms, quantile};

/// Queries over all shards that the service can run per second.
const CAPACITY_PER_SECOND: f64 = 400.0;

fn shape(policy: PolicyKind, entries: usize) -> ServiceShape {
    ServiceShape {
        shards: 20,
        slots: 4,
        entries,
        policy,
    }
}

fn call(time: TimePoint, team: &'static str, class: QueryClass, key: u64) -> Call {
    Call {
        time,
        team,
        class,
        key,
        shard: None,
        time_limit: ms(370),
        mean_service_time: ms(10),
    }
}

/// Draws calls of three teams and all classes, each with the same probability.
fn mixed_calls(rng: &mut SeededRng, load: f64, from: TimePoint, until: TimePoint) -> Vec<Call> {
    poisson(rng, load * CAPACITY_PER_SECOND, from, until, |rng, time| {
        let team = ["desk", "portal", "inspectors"][usize::try_from(rng.next() % 3).unwrap()];
        let class = QueryClass::ALL[usize::try_from(rng.next() % 3).unwrap()];
        call(time, team, class, rng.next())
    })
}

fn is_urgent(call: &Call) -> bool {
    call.class == QueryClass::Urgent
}

struct OverloadResult {
    goodput: f64,
    urgent_in_time: f64,
    refusal_p99: TimeSpan,
    incomplete: usize,
}

fn run_overload(policy: PolicyKind, entries: usize, seed: u64) -> OverloadResult {
    let mut rng = SeededRng(seed);
    let calls = mixed_calls(&mut rng, 2.0, at(0), at(10_000));
    let run = ServiceSimulation::new(shape(policy, entries), &calls, seed).run();
    // The limit adapts during the first second, which is left out.
    let after_warmup = |call: &Call| call.time >= at(1000);
    let complete = run.latencies(after_warmup).len() as f64;
    let mut refusals: Vec<TimeSpan> = run
        .outcomes_of(after_warmup)
        .filter_map(|outcome| match outcome {
            CallOutcome::Refused(after) => Some(after),
            _ => None,
        })
        .collect();
    let incomplete = run
        .outcomes_of(after_warmup)
        .filter(|outcome| matches!(outcome, CallOutcome::Incomplete(_)))
        .count();
    for class in QueryClass::ALL {
        let summary = run.summarize(|call| call.class == class && after_warmup(call));
        eprintln!("{class}: {summary}");
    }
    let overload = OverloadResult {
        goodput: complete / 9.0 / CAPACITY_PER_SECOND,
        urgent_in_time: run.complete_share(|call| is_urgent(call) && after_warmup(call)),
        refusal_p99: quantile(&mut refusals, 0.99),
        incomplete,
    };
    eprintln!(
        "{policy} entries {entries} seed {seed}: goodput {:.3} urgent {:.4} refusal p99 {} incomplete {}",
        overload.goodput, overload.urgent_in_time, overload.refusal_p99, overload.incomplete
    );
    overload
}

/// Guards against overload at which each shard drops other queries, so that hardly any is complete.
#[test]
fn overload_keeps_goodput_and_urgent_queries() {
    for (entries, seed) in [(1, 1), (1, 2), (4, 3)] {
        let overload = run_overload(PolicyKind::Current, entries, seed);
        assert!(overload.goodput >= 0.90, "goodput {}", overload.goodput);
        assert!(
            overload.urgent_in_time >= 0.99,
            "share of urgent queries in time {}",
            overload.urgent_in_time
        );
        assert!(
            overload.refusal_p99 <= ms(5),
            "refusal p99 {}",
            overload.refusal_p99
        );
    }
}

#[test]
fn baseline_loses_goodput_under_overload() {
    let overload = run_overload(PolicyKind::Baseline, 1, 1);
    assert!(overload.goodput < 0.5, "goodput {}", overload.goodput);
}

#[test]
fn steady_load_is_not_refused() {
    let mut rng = SeededRng(4);
    let calls = mixed_calls(&mut rng, 0.5, at(0), at(5000));
    let run = ServiceSimulation::new(shape(PolicyKind::Current, 2), &calls, 4).run();
    eprintln!(
        "limits {:?} complete {}",
        run.limits(),
        run.complete_share(|_| true)
    );
    assert!(run.complete_share(|_| true) >= 0.999);
}

/// Guards against a backlog that delays callers after a burst of five times the load.
#[test]
fn burst_keeps_urgent_queries_and_leaves_no_backlog() {
    let mut rng = SeededRng(5);
    let mut calls = mixed_calls(&mut rng, 0.5, at(0), at(3000));
    calls.extend(mixed_calls(&mut rng, 2.5, at(3000), at(4000)));
    calls.extend(mixed_calls(&mut rng, 0.5, at(4000), at(9000)));
    let run = ServiceSimulation::new(shape(PolicyKind::Current, 2), &calls, 5).run();
    let before = |call: &Call| (at(1000)..at(3000)).contains(&call.time);
    let during = |call: &Call| (at(3000)..at(4000)).contains(&call.time);
    let after = |call: &Call| call.time >= at(5000);
    let urgent = run.complete_share(|call| is_urgent(call) && during(call));
    let steady = quantile(&mut run.latencies(before), 0.99);
    let recovered = quantile(&mut run.latencies(after), 0.99);
    eprintln!(
        "burst: {}",
        run.summarize(|call| is_urgent(call) && during(call))
    );
    eprintln!("burst urgent {urgent:.4} before {steady} after {recovered}");
    assert!(urgent >= 0.99, "share of complete urgent queries {urgent}");
    assert!(
        recovered <= steady.mul_f64(1.2),
        "p99 {steady} before the burst, {recovered} after it"
    );
    assert!(run.complete_share(after) >= 0.999);
}

/// Guards against a team that takes capacity from others or delays them by exceeding its share.
#[test]
fn hot_team_does_not_starve_others() {
    let draw_base_calls = |rng: &mut SeededRng| {
        poisson(
            rng,
            0.5 * CAPACITY_PER_SECOND,
            at(0),
            at(8000),
            |rng, time| {
                let team =
                    ["desk", "portal", "inspectors"][usize::try_from(rng.next() % 3).unwrap()];
                call(time, team, QueryClass::Ordinary, rng.next())
            },
        )
    };
    let mut rng = SeededRng(6);
    let base_calls = draw_base_calls(&mut rng);
    let mut calls = base_calls.clone();
    calls.extend(poisson(
        &mut rng,
        1.67 * CAPACITY_PER_SECOND,
        at(0),
        at(8000),
        |rng, time| call(time, "flood", QueryClass::Ordinary, rng.next()),
    ));
    calls.sort_by_key(|call| call.time);
    let others = |call: &Call| call.team != "flood" && call.time >= at(1000);
    let without = ServiceSimulation::new(shape(PolicyKind::Current, 2), &base_calls, 6).run();
    let with = ServiceSimulation::new(shape(PolicyKind::Current, 2), &calls, 6).run();
    let p99_without = quantile(&mut without.latencies(others), 0.99);
    let p99_with = quantile(&mut with.latencies(others), 0.99);
    let share = with.complete_share(others);
    eprintln!(
        "others {} / {}",
        with.summarize(others),
        with.summarize(|call| !others(call))
    );
    eprintln!("hot team: others p99 {p99_without} -> {p99_with}, complete {share:.4}");
    assert!(share >= 0.99, "share of complete queries {share}");
    assert!(p99_with <= p99_without.mul_f64(1.2));
}

/// Guards against one popular key, which lives on one shard, that delays queries of other keys.
#[test]
fn hot_key_does_not_starve_other_keys() {
    // Each shard can run 400 queries of one shard per second; the other keys use half of that.
    let draw_base_calls = |rng: &mut SeededRng| {
        poisson(rng, 20.0 * 0.5 * 400.0, at(0), at(3000), |rng, time| {
            let key = 1000 + rng.next() % 100_000;
            let mut call = call(time, "desk", QueryClass::Ordinary, key);
            call.shard = Some(usize::try_from(key % 20).unwrap());
            call
        })
    };
    let mut rng = SeededRng(7);
    let base_calls = draw_base_calls(&mut rng);
    let mut calls = base_calls.clone();
    calls.extend(poisson(&mut rng, 2000.0, at(0), at(3000), |_, time| {
        let mut call = call(time, "desk", QueryClass::Ordinary, 7);
        call.shard = Some(7);
        call
    }));
    calls.sort_by_key(|call| call.time);
    let others = |call: &Call| call.key != 7 && call.time >= at(1000);
    let without = ServiceSimulation::new(shape(PolicyKind::Current, 2), &base_calls, 7).run();
    let with = ServiceSimulation::new(shape(PolicyKind::Current, 2), &calls, 7).run();
    let p99_without = quantile(&mut without.latencies(others), 0.99);
    let p99_with = quantile(&mut with.latencies(others), 0.99);
    let share = with.complete_share(others);
    eprintln!(
        "hot key: others p99 {p99_without} -> {p99_with}, complete {share:.4}, hot {:.3}, limits {:?}",
        with.complete_share(|call| call.key == 7),
        with.limits()
    );
    assert!(share >= 0.99, "share of complete queries {share}");
    assert!(p99_with <= p99_without.mul_f64(1.2));
}

/// Guards against reports of 200 ms per attempt that delay lookups of 10 ms.
#[test]
fn long_queries_do_not_delay_short_ones() {
    let mut rng = SeededRng(8);
    let base_calls = poisson(
        &mut rng,
        0.4 * CAPACITY_PER_SECOND,
        at(0),
        at(8000),
        |rng, time| call(time, "desk", QueryClass::Urgent, rng.next()),
    );
    let mut calls = base_calls.clone();
    calls.extend(poisson(&mut rng, 4.0, at(0), at(8000), |rng, time| {
        let mut call = call(time, "statistics", QueryClass::Bulk, rng.next());
        call.time_limit = ms(20_000);
        call.mean_service_time = ms(200);
        call
    }));
    calls.sort_by_key(|call| call.time);
    let short = |call: &Call| call.team == "desk" && call.time >= at(1000);
    let without = ServiceSimulation::new(shape(PolicyKind::Current, 2), &base_calls, 8).run();
    let with = ServiceSimulation::new(shape(PolicyKind::Current, 2), &calls, 8).run();
    let p99_without = quantile(&mut without.latencies(short), 0.99);
    let p99_with = quantile(&mut with.latencies(short), 0.99);
    let long = with.complete_share(|call| call.team == "statistics");
    eprintln!("short {}", with.summarize(short));
    eprintln!("long among short: p99 {p99_without} -> {p99_with}, long complete {long:.3}");
    assert!(with.complete_share(short) >= 0.99);
    assert!(p99_with <= p99_without.mul_f64(1.5));
    assert!(long >= 0.95, "share of complete long queries {long}");
}
