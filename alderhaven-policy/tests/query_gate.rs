//! Simulations of the admission control of a front, beyond the capacity of its targets.

mod common;

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::concurrency_limit::{ConcurrencyLimit, QuerySignal};
use alderhaven_policy::query_gate::{GateDecision, GateQuery, GateReason, QueryGate};
use alderhaven_policy::query_rank::QueryRank;

use common::shard_simulation::{KindOptions, QueryTally, ShardSimulation, ShardSimulationOptions};
use common::{at, ms};

/// Queries over all shards that the targets can run per second: four slots per shard, 12 ms of work
/// and 4% of longer work.
const CAPACITY_PER_SECOND: f64 = 4.0 / 0.012 / 1.04;

const FAN_OUT_QUERY: KindOptions = KindOptions {
    rank: 1,
    share: 1.0,
    mean_work: ms(12),
    latency_target: ms(76),
    required_shards: 18,
};

/// Runs queries at this multiple of the capacity for ten seconds, spread over five fronts.
fn run_steady(load_factor: f64, is_gated: bool) -> ShardSimulation {
    run(
        vec![(at(10_000), vec![CAPACITY_PER_SECOND * load_factor / 5.0; 5])],
        is_gated,
    )
}

fn run(rates: Vec<(TimePoint, Vec<f64>)>, is_gated: bool) -> ShardSimulation {
    ShardSimulation::run(ShardSimulationOptions {
        rates,
        shards: 20,
        kinds: vec![FAN_OUT_QUERY],
        is_gated,
        slow_shards: (0, 1.0),
        seed: 7,
    })
}

/// Counts the queries that arrived after the first second.
fn tally_after_warmup(simulation: &ShardSimulation) -> QueryTally {
    simulation.tally(|_, _, second| second >= 1)
}

/// Guards against overload in which every query lacks some shards while all targets are busy.
#[test]
fn overload_keeps_goodput() {
    let best_in_time = tally_after_warmup(&run_steady(0.85, true)).in_time;
    for load_factor in [1.2, 1.6, 2.4] {
        let gated = tally_after_warmup(&run_steady(load_factor, true)).in_time;
        assert!(
            gated >= 0.9 * best_in_time,
            "load {load_factor}: {gated} in time, best {best_in_time}"
        );
    }
    for load_factor in [1.6, 2.4] {
        let sent_all = tally_after_warmup(&run_steady(load_factor, false)).in_time;
        assert!(
            sent_all < 0.5 * best_in_time,
            "load {load_factor}: {sent_all} in time without the gate, best {best_in_time}"
        );
    }
}

/// Guards against refusals below the capacity.
#[test]
fn moderate_load_is_not_refused() {
    for load_factor in [0.2, 0.5] {
        let tally = tally_after_warmup(&run_steady(load_factor, true));
        assert!(
            tally.refused < 1.0,
            "load {load_factor}: {} refused",
            tally.refused
        );
        assert!(
            tally.in_time >= 0.99 * tally.total,
            "load {load_factor}: {tally:?}"
        );
    }
}

/// Guards against refusals that come too late for the caller to go elsewhere.
#[test]
fn refusals_are_prompt() {
    let tally = tally_after_warmup(&run_steady(2.4, true));
    assert!(tally.refused > 0.4 * tally.total, "{tally:?}");
    assert!(tally.slowest_refusal <= FAN_OUT_QUERY.latency_target.mul_f64(0.25));
}

/// Guards against queues at the targets that outlast a burst of three times the capacity.
#[test]
fn burst_leaves_no_backlog() {
    let normal = vec![CAPACITY_PER_SECOND * 0.4 / 5.0; 5];
    let burst = vec![CAPACITY_PER_SECOND * 3.0 / 5.0; 5];
    let rates = vec![
        (at(2_000), normal.clone()),
        (at(6_000), burst),
        (at(12_000), normal),
    ];
    let simulation = run(rates, true);
    let after = simulation.tally(|_, _, second| second >= 7);
    assert!(after.in_time >= 0.98 * after.total, "{after:?}");
}

/// Guards against a front with more callers than the others that serves far less of them.
#[test]
fn fronts_of_unequal_load_serve_similar_shares() {
    let unit = CAPACITY_PER_SECOND * 1.5 / 8.0;
    let rates = vec![(at(10_000), vec![4.0 * unit, unit, unit, unit, unit])];
    let simulation = run(rates, true);
    let share = |matches: fn(usize) -> bool| {
        let tally = simulation.tally(|_, front, second| second >= 1 && matches(front));
        tally.in_time / tally.total
    };
    let (busy, others) = (share(|front| front == 0), share(|front| front > 0));
    assert!(
        busy >= 0.5 * others,
        "share in time {busy} at the busy front, {others} at the others"
    );
}

/// Guards against slow shards that close the gate although queries can be answered without them.
#[test]
fn dispensable_slow_shards_cause_no_refusals() {
    let run = |is_gated| {
        tally_after_warmup(&ShardSimulation::run(ShardSimulationOptions {
            rates: vec![(at(10_000), vec![CAPACITY_PER_SECOND * 0.5 / 5.0; 5])],
            shards: 20,
            kinds: vec![FAN_OUT_QUERY],
            is_gated,
            slow_shards: (2, 10.0),
            seed: 7,
        }))
    };
    let gated = run(true);
    assert!(gated.refused < 1.0, "{gated:?}");
    assert!(gated.in_time >= run(false).in_time, "{gated:?}");
}

/// Guards against a rank that is starved by a better one.
#[test]
fn better_rank_is_preferred_without_starvation() {
    let urgent = KindOptions {
        share: 0.6,
        ..FAN_OUT_QUERY
    };
    let lookup = KindOptions {
        rank: 2,
        share: 0.4,
        ..FAN_OUT_QUERY
    };
    let simulation = ShardSimulation::run(ShardSimulationOptions {
        rates: vec![(at(10_000), vec![CAPACITY_PER_SECOND * 2.0 / 5.0; 5])],
        shards: 20,
        kinds: vec![urgent, lookup],
        is_gated: true,
        slow_shards: (0, 1.0),
        seed: 7,
    });
    let share = |kind: usize| {
        let tally = simulation.tally(|of, _, second| second >= 1 && of == kind);
        tally.in_time / tally.total
    };
    assert!(
        share(0) > share(1),
        "share in time {} of urgent queries, {} of lookups",
        share(0),
        share(1)
    );
    assert!(
        share(1) > 0.25 * share(0),
        "share in time {} of urgent queries, {} of lookups",
        share(0),
        share(1)
    );
}

const fn query(id: u64, rank: u32, is_late: bool) -> GateQuery {
    GateQuery {
        id,
        rank: QueryRank::of_route(rank),
        team: 0,
        latency_target: ms(100),
        work: ms(10),
        is_late,
    }
}

/// Creates a gate whose limit is reached by queries of this rank that run for 20 ms.
fn full_gate(rank: u32) -> QueryGate {
    let mut gate = QueryGate::default();
    let mut id = 1_000;
    while gate.offer(query(id, rank, false), at(0)) == GateDecision::Admit {
        id += 1;
    }
    gate.cancel(id, at(0));
    // One query ends and another starts, so that the mean run time is known.
    gate.record_finished(
        &query(1_000, rank, false),
        ms(20),
        QuerySignal::Uninformative,
    );
    let decision = gate.offer(query(999, rank, false), at(0));
    assert_eq!(decision, GateDecision::Admit);
    gate
}

/// Guards against a query whose answer is late anyway and that displaces one which can be in time.
#[test]
fn late_query_waits_behind_one_in_time() {
    let mut gate = full_gate(1);
    let late = gate.offer(query(1, 1, true), at(1));
    assert!(matches!(late, GateDecision::Wait { .. }), "{late:?}");
    let in_time = gate.offer(query(2, 2, false), at(2));
    assert!(matches!(in_time, GateDecision::Wait { .. }), "{in_time:?}");
    gate.record_finished(&query(1_000, 1, false), ms(20), QuerySignal::Uninformative);
    assert_eq!(gate.next_ready(at(3)), Some(2));
}

/// Guards against urgent queries that find all of the limit taken by less urgent ones.
#[test]
fn offer_worse_rank_leaves_room_for_better() {
    let mut gate = QueryGate::default();
    for id in 0..20 {
        let urgent = query(id, 1, false);
        assert_eq!(gate.offer(urgent, at(0)), GateDecision::Admit);
        gate.record_finished(&urgent, ms(20), QuerySignal::Uninformative);
    }
    let mut id = 1_000;
    while gate.offer(query(id, 2, false), at(1)) == GateDecision::Admit {
        id += 1;
    }
    gate.cancel(id, at(1));
    gate.record_finished(&query(1_000, 2, false), ms(20), QuerySignal::Uninformative);
    let worse = gate.offer(query(50, 2, false), at(2));
    assert_ne!(worse, GateDecision::Admit);
    gate.cancel(50, at(2));
    let better = gate.offer(query(51, 1, false), at(2));
    assert_eq!(better, GateDecision::Admit);
}

/// Guards against a team that takes more than its share while others of the same rank wait.
#[test]
fn next_ready_prefers_the_team_with_the_least_use() {
    let of_team = |id, team| GateQuery {
        team,
        ..query(id, 1, false)
    };
    let mut gate = QueryGate::default();
    let mut id = 1_000;
    while gate.offer(of_team(id, 7), at(0)) == GateDecision::Admit {
        id += 1;
    }
    gate.cancel(id, at(0));
    gate.record_finished(&of_team(1_000, 7), ms(20), QuerySignal::Uninformative);
    gate.offer(of_team(1, 7), at(1));
    gate.offer(of_team(2, 7), at(1));
    gate.offer(of_team(3, 8), at(2));
    let first = gate.next_ready(at(2));
    gate.record_finished(&of_team(1_001, 7), ms(20), QuerySignal::Uninformative);
    let second = gate.next_ready(at(2));
    assert!(
        first == Some(3) || second == Some(3),
        "{first:?}, {second:?}"
    );
}

/// Guards against a query that waits while capacity is free, behind a late one that may not use it.
#[test]
fn offer_admits_before_a_waiting_late_query() {
    let mut gate = QueryGate::default();
    for id in 0..3 {
        assert_eq!(gate.offer(query(id, 1, false), at(0)), GateDecision::Admit);
    }
    let late = gate.offer(query(3, 1, true), at(1));
    assert!(matches!(late, GateDecision::Wait { .. }), "{late:?}");
    assert_eq!(gate.offer(query(4, 1, false), at(2)), GateDecision::Admit);
    assert_eq!(gate.queue_length(), 1);
}

/// Guards against a full queue that refuses a query of a better rank.
#[test]
fn full_queue_displaces_its_last_for_a_better_rank() {
    let mut gate = full_gate(2);
    let mut last = 0;
    while let GateDecision::Wait { outranked, .. } = gate.offer(query(last + 1, 2, false), at(1)) {
        assert_eq!(outranked, None);
        last += 1;
    }
    let better = gate.offer(query(100, 1, false), at(1));
    let outranked = Some(last);
    assert!(
        matches!(better, GateDecision::Wait { outranked: found, .. } if found == outranked),
        "{better:?}"
    );
}

#[test]
fn retry_after_grows_with_refusals() {
    let mut gate = full_gate(1);
    let mut retry_after = TimeSpan::ZERO;
    for id in 0..400 {
        if let GateDecision::Refuse(refusal) = gate.offer(query(id, 1, false), at(1)) {
            assert_eq!(refusal.reason, GateReason::NoRoom);
            assert!(refusal.retry_after >= retry_after);
            retry_after = refusal.retry_after;
        }
    }
    assert!(retry_after >= ms(60), "retry after {retry_after}");
}

#[test]
fn limit_ignores_uninformative_signals() {
    let mut limit = ConcurrencyLimit::default();
    limit.record_finished(QuerySignal::Uninformative, 8);
    assert_eq!(limit, ConcurrencyLimit::default());
}

/// Guards against a limit that rises without evidence while a front is idle.
#[test]
fn limit_rises_only_while_it_is_used() {
    let mut limit = ConcurrencyLimit::default();
    limit.record_finished(QuerySignal::EnoughShards(0.1), 1);
    assert_eq!(limit, ConcurrencyLimit::default());
    limit.record_finished(QuerySignal::EnoughShards(0.1), 8);
    assert!(limit.get() > ConcurrencyLimit::default().get());
}

#[test]
fn limit_falls_to_its_minimum() {
    let mut limit = ConcurrencyLimit::default();
    for _ in 0..60 {
        limit.record_finished(QuerySignal::TimedOut, 8);
    }
    assert!(limit.get() <= 2.0, "limit {}", limit.get());
}

/// Guards against overload in which lookups at one service wait in its queues until they are late.
#[test]
fn overload_of_one_service_keeps_goodput() {
    const LOOKUP: KindOptions = KindOptions {
        rank: 2,
        share: 1.0,
        mean_work: ms(90),
        latency_target: ms(380),
        required_shards: 1,
    };
    const CAPACITY: f64 = 4.0 / 0.090 / 1.04;
    let run = |load_factor: f64, is_gated| {
        let simulation = ShardSimulation::run(ShardSimulationOptions {
            rates: vec![(at(20_000), vec![CAPACITY * load_factor / 5.0; 5])],
            shards: 1,
            kinds: vec![LOOKUP],
            is_gated,
            slow_shards: (0, 1.0),
            seed: 11,
        });
        simulation.tally(|_, _, second| second >= 3)
    };
    let best_in_time = run(0.85, true);
    assert!(
        best_in_time.refused <= 0.02 * best_in_time.total,
        "{best_in_time:?}"
    );
    for load_factor in [2.0, 3.0] {
        let (gated, all) = (run(load_factor, true), run(load_factor, false));
        assert!(
            gated.in_time >= 0.85 * best_in_time.in_time,
            "load {load_factor}: {gated:?}"
        );
        assert!(
            all.in_time < 0.7 * best_in_time.in_time,
            "load {load_factor}: {all:?}"
        );
        assert!(gated.slowest_refusal <= LOOKUP.latency_target.mul_f64(0.25));
    }
}
