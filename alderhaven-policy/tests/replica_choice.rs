//! Tests of the choice of replicas, measured by the duration of attempts.

mod common;

use std::sync::Arc;
use std::thread;

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_policy::replica_choice::{AttemptSample, ReplicaChooser, ReplicaOptions};
use alderhaven_policy::replica_table::{ReplicaTable, TargetIndex, TargetListing};
use common::{EventQueue, SeededRng, at, ms, proptest_config, quantile};
use proptest::collection;
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};

fn listing(number: usize, is_draining: bool) -> TargetListing {
    TargetListing {
        target: format!("t{number}").parse().expect("a name"),
        domain: format!("d{}", number % 2).parse().expect("a name"),
        slots: 2,
        is_draining,
    }
}

fn table(count: usize) -> ReplicaTable {
    let own = "d0".parse().expect("a name");
    let listings = (0..count).map(|number| listing(number, false));
    ReplicaTable::build(&ReplicaTable::default(), listings, &own)
}

fn chooser(policy: PolicyKind) -> ReplicaChooser {
    ReplicaChooser::new(policy, ReplicaOptions::default())
}

fn indexes(count: u32) -> Vec<TargetIndex> {
    (0..count).map(TargetIndex).collect()
}

/// Simulates attempts at `targets` replicas with 2 slots each, of which the first is `factor` times
/// slower, and returns the durations of the attempts.
fn simulate(policy: PolicyKind, targets: u32, factor: f64, rate: f64) -> Vec<TimeSpan> {
    let (table, chooser) = (table(targets as usize), chooser(policy));
    let replicas = indexes(targets);
    let mut rng = SeededRng(11);
    let mut events = EventQueue::new();
    let mut slots: Vec<Vec<TimePoint>> = vec![vec![at(0); 2]; targets as usize];
    let mut times = Vec::new();
    let mut now = at(0);
    let mut next = at(0);
    while next < at(10_000) {
        events.add(next, None);
        next = next + rng.exponential(TimeSpan::from_secs(1).mul_f64(1.0 / rate));
    }
    while let Some((time, ended)) = events.next() {
        now = now.max(time);
        if let Some((index, service)) = ended {
            let index: TargetIndex = index;
            let entry = table.get(index).expect("a known target");
            let free = slots[index.0 as usize].iter().min().expect("two slots");
            let sample = AttemptSample::Answered {
                service,
                expected: ms(10),
            };
            assert!(!chooser.record_finished(entry, sample, Some(now.until(*free)), now));
            continue;
        }
        let random = rng.next();
        let index = chooser
            .choose(&table, &replicas, &[], ms(10), now, random)
            .expect("a replica");
        chooser.record_sent(&table, index);
        let own_factor = if index.0 == 0 { factor } else { 1.0 };
        let service = rng.exponential(ms(10)).mul_f64(own_factor);
        let slot = slots[index.0 as usize].iter_mut().min().expect("two slots");
        let end = (*slot).max(now) + service;
        *slot = end;
        if now >= at(2000) {
            times.push(end.since(now));
        }
        events.add(end, Some((index, service)));
    }
    times
}

/// Guards against a slow replica getting an equal share of the attempts, more than it can run.
#[test]
fn slow_target_gets_little_work() {
    // 4 replicas of 2 slots have a capacity of 800/s; half of that arrives.
    let plain = quantile(&mut simulate(PolicyKind::Baseline, 4, 10.0, 400.0), 0.99);
    let chosen = quantile(&mut simulate(PolicyKind::Current, 4, 10.0, 400.0), 0.99);
    assert!(chosen <= plain.mul_f64(0.1), "{chosen} against {plain}");
    let healthy = quantile(&mut simulate(PolicyKind::Current, 4, 1.0, 400.0), 0.99);
    assert!(chosen <= healthy.mul_f64(2.0), "{chosen} against {healthy}");
}

#[test]
fn overload_of_one_replica_is_avoided() {
    let plain = quantile(&mut simulate(PolicyKind::Baseline, 4, 1.0, 640.0), 0.99);
    let chosen = quantile(&mut simulate(PolicyKind::Current, 4, 1.0, 640.0), 0.99);
    assert!(chosen <= plain.mul_f64(0.8), "{chosen} against {plain}");
}

/// Guards against a burst going to one replica because no reply has reported its load yet.
#[test]
fn burst_is_spread_by_what_was_sent() {
    let (table, chooser) = (table(2), chooser(PolicyKind::Current));
    let replicas = indexes(2);
    let mut rng = SeededRng(3);
    for _ in 0..100 {
        let random = rng.next();
        let index = chooser
            .choose(&table, &replicas, &[], ms(10), at(1), random)
            .expect("a replica");
        chooser.record_sent(&table, index);
    }
    let counts: Vec<u32> = table
        .entries()
        .iter()
        .map(|entry| entry.stats.outstanding())
        .collect();
    assert!(counts.iter().all(|count| *count >= 45), "{counts:?}");
}

#[test]
fn other_domain_is_used_when_the_own_one_is_busy() {
    let (table, chooser) = (table(2), chooser(PolicyKind::Current));
    let choose = |random| chooser.choose(&table, &indexes(2), &[], ms(10), at(1), random);
    assert!((0..20).all(|random| choose(random) == Some(TargetIndex(0))));
    let stats = &table.entries()[0].stats;
    stats.record_wait(ms(8), at(1));
    assert!((0..20).all(|random| choose(random) == Some(TargetIndex(1))));
}

/// Guards against a replica that was slow once never being used again, since only attempts update its
/// statistics.
#[test]
fn slow_target_is_tried_again_after_a_while() {
    let (table, chooser) = (table(2), chooser(PolicyKind::Current));
    let entry = &table.entries()[0];
    for _ in 0..20 {
        let sample = AttemptSample::Answered {
            service: ms(100),
            expected: ms(10),
        };
        assert!(!chooser.record_finished(entry, sample, None, at(1000)));
    }
    let choose = |now| chooser.choose(&table, &indexes(2), &[], ms(10), now, 0);
    assert_eq!(choose(at(1001)), Some(TargetIndex(1)));
    assert_eq!(choose(at(60_000)), Some(TargetIndex(0)));
}

#[test]
fn failing_target_is_ejected_for_longer_each_time() {
    let (table, chooser) = (table(4), chooser(PolicyKind::Current));
    let entry = &table.entries()[0];
    let mut now = at(0);
    let mut spans = Vec::new();
    for _ in 0..3 {
        while !chooser.record_finished(entry, AttemptSample::Failed, None, now) {}
        let start = now;
        while entry.stats.is_ejected(now) {
            assert!(
                (0..50).all(|random| {
                    chooser.choose(&table, &indexes(4), &[], ms(10), now, random * 77)
                        != Some(TargetIndex(0))
                }),
                "an ejected target gets no work"
            );
            now = now + ms(1000);
        }
        spans.push(now.since(start));
    }
    assert_eq!(spans, vec![ms(5000), ms(10_000), ms(20_000)]);
}

/// Guards against ejecting most replicas for a fault of the network, which would overload the others.
#[test]
fn many_failing_targets_are_used_all_the_same() {
    let (table, chooser) = (table(4), chooser(PolicyKind::Current));
    for entry in &table.entries()[..3] {
        while !chooser.record_finished(entry, AttemptSample::Failed, None, at(1)) {}
    }
    let chosen: std::collections::BTreeSet<TargetIndex> = (0..100)
        .filter_map(|random| {
            chooser.choose(
                &table,
                &indexes(4),
                &[],
                ms(10),
                at(2),
                random * 0x1_0000_0003,
            )
        })
        .collect();
    assert!(chosen.len() >= 3, "{chosen:?}");
}

#[test]
fn table_keeps_the_counts_of_targets_that_stay() {
    let before = table(3);
    before.entries()[1].stats.record_sent();
    let own = "d0".parse().expect("a name");
    let listings = [listing(2, false), listing(1, true)];
    let after = ReplicaTable::build(&before, listings, &own);
    let index = after.index_of(&"t1".parse().expect("a name"));
    let entry = after
        .get(index.expect("t1 is in the new table"))
        .expect("t1 is in the new table");
    assert_eq!(entry.stats.outstanding(), 1);
    assert!(entry.is_draining);
    let draining = [index.expect("t1 is in the new table")];
    let chooser = chooser(PolicyKind::Current);
    assert_eq!(
        chooser.choose(&after, &draining, &[], ms(10), at(1), 5),
        None
    );
}

#[test]
fn stats_count_correctly_from_several_threads() {
    let table = Arc::new(table(2));
    let chooser = chooser(PolicyKind::Current);
    let handles: Vec<_> = (0..4)
        .map(|seed| {
            let (table, chooser) = (Arc::clone(&table), chooser.clone());
            thread::spawn(move || {
                let mut rng = SeededRng(seed);
                for step in 0..10_000 {
                    let (now, random) = (at(step), rng.next());
                    let index = chooser
                        .choose(&table, &indexes(2), &[], ms(10), now, random)
                        .expect("a replica");
                    chooser.record_sent(&table, index);
                    let entry = table.get(index).expect("a known target");
                    let sample = AttemptSample::Answered {
                        service: ms(10),
                        expected: ms(10),
                    };
                    let _ = chooser.record_finished(entry, sample, Some(ms(1)), now);
                }
            })
        })
        .collect();
    for handle in handles {
        handle.join().expect("no thread fails");
    }
    assert!(
        table
            .entries()
            .iter()
            .all(|entry| entry.stats.outstanding() == 0)
    );
}

proptest! {
    #![proptest_config(proptest_config(256))]

    /// A replica is chosen exactly if there is one that is neither draining nor tried. A suspect
    /// replica is chosen only if most replicas are suspect or no other is left.
    #[test]
    fn choice_is_a_replica_that_may_be_used(
        states in collection::vec((any::<bool>(), any::<bool>(), any::<bool>()), 1..7),
        random in any::<u64>(),
    ) {
        let own = "d0".parse().expect("a name");
        let listings = states.iter().enumerate().map(|(number, state)| listing(number, state.0));
        let table = ReplicaTable::build(&ReplicaTable::default(), listings, &own);
        let chooser = chooser(PolicyKind::Current);
        let mut tried = Vec::new();
        for (entry, (number, (_, suspect, was_tried))) in
            table.entries().iter().zip(states.iter().enumerate())
        {
            entry.stats.set_suspect(*suspect);
            if *was_tried {
                tried.push(TargetIndex(u32::try_from(number).expect("few")));
            }
        }
        let replicas = indexes(u32::try_from(states.len()).expect("few"));
        let choice = chooser.choose(&table, &replicas, &tried, ms(10), at(1), random);
        let usable = |state: &(bool, bool, bool)| !state.0 && !state.2;
        prop_assert_eq!(choice.is_some(), states.iter().any(usable));
        if let Some(index) = choice {
            let state = states[index.0 as usize];
            prop_assert!(usable(&state));
            let serving = states.iter().filter(|state| !state.0).count();
            let suspects = states.iter().filter(|state| !state.0 && state.1).count();
            let others = states.iter().any(|state| usable(state) && !state.1);
            prop_assert!(!state.1 || suspects * 2 > serving || !others);
        }
    }
}
