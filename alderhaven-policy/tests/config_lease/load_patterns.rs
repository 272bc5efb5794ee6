//! Leases of many fronts under faults of the store.

use alderhaven_core::time::TimeSpan;
use alderhaven_policy::config_lease::LeaseStatus;

use crate::lease_simulation::LeaseSimulation;

const FRONTS: usize = 67;

/// Lists in 9 s of silence: 10 per second by the group's pause, three by the first fronts in each list
/// timeout of 0.5 s, and one per second by the first of each of three domains.
const MAX_SILENT_LISTS: usize = 9 * (10 + 6 + 3);

fn running(fronts: usize) -> LeaseSimulation {
    let mut simulation = LeaseSimulation::new(fronts, 7);
    simulation.run(5_000);
    assert_eq!(simulation.ended_count(), 0, "all fronts have a lease");
    simulation
}

/// Guards against a load on the store or on one front that grows with the group, and against proofs
/// that are old without any fault.
#[test]
fn lease_without_faults_costs_one_list_a_second() {
    for fronts in [8, FRONTS, 580] {
        let mut simulation = running(fronts);
        (simulation.list_calls, simulation.queries) = (0, 0);
        let mut oldest = TimeSpan::ZERO;
        for _ in 0..100 {
            simulation.run(100);
            oldest = oldest.max(simulation.max_proof_age().expect("all have a proof"));
        }
        let per_front = simulation.queries as f64 / fronts as f64 / 10.0;
        println!(
            "{fronts} fronts: {} lists in 10 s, {per_front:.2} queries per second and front, \
             oldest proof {oldest}",
            simulation.list_calls
        );
        assert!(simulation.list_calls <= 11, "{}", simulation.list_calls);
        assert!(per_front < 1.6, "{per_front}");
        assert!(oldest < TimeSpan::from_millis(2_000), "{oldest}");
    }
}

/// Guards against fronts that stop serving because the store refuses them, while others reach it.
#[test]
fn store_refuses_a_third_all_serve_on() {
    for refused in 0..3 {
        let mut simulation = running(FRONTS);
        simulation.list_calls = 0;
        for index in (refused..FRONTS).step_by(3) {
            simulation.fronts[index].is_store_refused = true;
        }
        for _ in 0..90 {
            simulation.run(100);
            assert_eq!(simulation.ended_count(), 0, "at {}", simulation.now);
        }
        assert!(simulation.list_calls < 60, "{}", simulation.list_calls);
    }
}

/// Guards against a lease that outlives the bound while the store is silent, or ends before it, and
/// against fronts that stay without a lease after the store answers again.
#[test]
fn store_silent_all_end_and_return_with_the_first_answer() {
    let mut simulation = running(FRONTS);
    simulation.store.is_silent = true;
    simulation.list_calls = 0;
    simulation.run(3_000);
    assert_eq!(simulation.ended_count(), 0, "too early");
    simulation.run(2_000);
    assert_eq!(simulation.ended_count(), FRONTS, "too late");
    simulation.run(4_000);
    println!("{} lists in 9 s of silence", simulation.list_calls);
    assert!(
        simulation.list_calls < MAX_SILENT_LISTS,
        "{}",
        simulation.list_calls
    );
    simulation.store.is_silent = false;
    simulation.run(2_000);
    assert_eq!(simulation.ended_count(), 0);
}

/// Guards against a group of which a failure domain is cut off, and which serves on only where its
/// first fronts are.
#[test]
fn domains_cut_all_serve_on() {
    for fronts in [FRONTS, 580] {
        let mut simulation = running(fronts);
        simulation.are_domains_cut = true;
        for _ in 0..90 {
            simulation.run(100);
            assert_eq!(simulation.ended_count(), 0, "at {}", simulation.now);
        }
    }
}

/// Guards against a front that is isolated from everything and accepts keys beyond the bound, and one
/// that finds its lease valid after it was suspended.
#[test]
fn front_cut_or_suspended_ends() {
    let mut simulation = running(8);
    simulation.fronts[3].is_cut = true;
    simulation.fronts[3].is_store_refused = true;
    simulation.fronts[5].suspended_until = simulation.now + 6_000;
    simulation.remove_key();
    simulation.run(5_500);
    assert_eq!(simulation.status(3), LeaseStatus::Ended);
    assert_eq!(simulation.status(5), LeaseStatus::Ended);
    assert_eq!(simulation.ended_count(), 2);
    simulation.fronts[3].is_cut = false;
    simulation.run(2_000);
    assert_eq!(simulation.ended_count(), 0);
}
