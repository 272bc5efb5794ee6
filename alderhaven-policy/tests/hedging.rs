//! Simulations of hedging, judged by the latency of queries and the added load.

mod common;

use alderhaven_core::time::TimeSpan;
use alderhaven_policy::hedging::{HedgeGroup, HedgeOptions, HedgePolicy};
use alderhaven_policy::policy_kind::PolicyKind;
use common::{SeededRng, ms, proptest_config, quantile};
use proptest::collection;
use proptest::prelude::{any, prop_assert, proptest};

fn group(template: &str) -> HedgeGroup {
    HedgeGroup {
        service: "stock".parse().expect("valid name"),
        template: template.parse().expect("valid name"),
    }
}

fn policy(kind: PolicyKind) -> HedgePolicy {
    HedgePolicy::new(kind, HedgeOptions::default())
}

/// Runs queries over 20 shards, of whose attempts a share takes ten times as long. Returns the
/// latencies of the queries and the number of attempts per shard.
fn run(kind: PolicyKind, slow_share: f64) -> (Vec<TimeSpan>, f64) {
    let mut policy = policy(kind);
    let group = group("search");
    let mut rng = SeededRng(21);
    let mut latencies = Vec::new();
    let mut ran = 0_u32;
    let service = |rng: &mut SeededRng| {
        let slow = if rng.unit() < slow_share { 10.0 } else { 1.0 };
        (ms(5) + rng.exponential(ms(5))).mul_f64(slow)
    };
    for _ in 0..3000 {
        policy.record_sent(20);
        let delay = policy.hedge_delay(&group, true);
        let mut slowest = TimeSpan::ZERO;
        for _ in 0..20 {
            ran += 1;
            let mut latency = service(&mut rng);
            if let Some(delay) = delay
                && latency > delay
                && policy.take(false)
            {
                ran += 1;
                latency = latency.min(delay + service(&mut rng));
                policy.record_hedge_end(false);
            }
            policy.record_answer(&group, latency, latency);
            slowest = slowest.max(latency);
        }
        latencies.push(slowest);
    }
    (latencies, f64::from(ran) / 60_000.0)
}

/// Guards against rare slow attempts that dominate the latency of fan-out queries, and against
/// hedges beyond the budget.
#[test]
fn slow_target_is_hedged_within_the_budget() {
    let (mut unhedged, _) = run(PolicyKind::Baseline, 0.01);
    let (mut hedged, load) = run(PolicyKind::Current, 0.01);
    let (unhedged, hedged) = (quantile(&mut unhedged, 0.99), quantile(&mut hedged, 0.99));
    assert!(
        hedged <= unhedged.mul_f64(0.35),
        "p99 {hedged} with hedges, {unhedged} without"
    );
    assert!(load <= 1.06, "{load} attempts per shard");
}

#[test]
fn overload_turns_hedging_off() {
    let mut policy = policy(PolicyKind::Current);
    policy.record_sent(1000);
    assert!(
        !policy.take(true),
        "no hedges while the service is overloaded"
    );
    assert!(policy.take(false));
    for _ in 0..30 {
        policy.record_hedge_end(true);
    }
    assert!(
        !policy.take(false),
        "no hedges while relays refuse most of them"
    );
    policy.record_sent(2000);
    assert!(policy.take(false), "hedging resumes after more attempts");
}

#[test]
fn hedge_is_for_idempotent_queries_only() {
    let mut policy = policy(PolicyKind::Current);
    let group = group("assign");
    for _ in 0..100 {
        policy.record_answer(&group, ms(10), ms(10));
    }
    assert!(policy.hedge_delay(&group, true).is_some());
    assert!(policy.hedge_delay(&group, false).is_none());
}

/// Guards against one delay for all templates, with which every long query would be hedged.
#[test]
fn each_template_has_its_own_delay() {
    let mut policy = policy(PolicyKind::Current);
    for _ in 0..100 {
        policy.record_answer(&group("lookup"), ms(5), ms(5));
        policy.record_answer(&group("report"), ms(500), ms(500));
    }
    let delay = |name| policy.hedge_delay(&group(name), true).expect("a delay");
    assert!(delay("lookup") <= ms(6));
    assert!(delay("report") >= ms(495));
    assert_eq!(
        policy.expected_service_time(&group("report")),
        Some(ms(500))
    );
}

#[test]
fn unknown_group_is_not_hedged() {
    let policy = policy(PolicyKind::Current);
    assert!(policy.hedge_delay(&group("new"), true).is_none());
}

proptest! {
    #![proptest_config(proptest_config(256))]

    /// Hedges stay within the budget for any sequence of attempts and hedges.
    #[test]
    fn hedges_stay_within_the_budget(
        steps in collection::vec((1_u32..200, 0_u32..40, any::<bool>()), 1..60),
    ) {
        let mut policy = policy(PolicyKind::Current);
        let (mut sent, mut hedged) = (0_u32, 0_u32);
        for (attempts, wanted, refused) in steps {
            policy.record_sent(attempts);
            sent += attempts;
            for _ in 0..wanted {
                if policy.take(false) {
                    hedged += u32::from(!refused);
                    policy.record_hedge_end(refused);
                }
            }
            prop_assert!(f64::from(hedged) <= 0.05 * f64::from(sent) + 1e-6);
        }
    }

    /// The delay never exceeds the largest latency that was recorded.
    #[test]
    fn delay_does_not_exceed_observed_latencies(
        latencies in collection::vec(1_u64..100_000_000, 20..2500),
    ) {
        let mut policy = policy(PolicyKind::Current);
        let group = group("search");
        for latency in &latencies {
            let latency = TimeSpan::from_micros(*latency);
            policy.record_answer(&group, latency, latency);
        }
        let delay = policy.hedge_delay(&group, true).expect("a delay");
        let max_latency = latencies.iter().max().expect("non-empty latencies");
        prop_assert!(delay <= TimeSpan::from_micros(*max_latency).mul_f64(1.02) + ms(1));
    }
}
