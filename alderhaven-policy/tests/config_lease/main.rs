//! Tests of the lease on the configuration.

mod lease_simulation;
mod load_patterns;
mod proofs;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::lease_simulation::{DOMAINS, LeaseSimulation};

/// The number of cases unless `PROPTEST_CASES` is set.
const DEFAULT_CASES: u32 = 64;
/// The seed unless `LEASE_SEED` is set.
const CI_SEED: u64 = 20_261_203;

/// Time after the last change of the faults within which every front that has a path to a proof
/// serves.
const RECOVERY_MS: u64 = 8_000;

fn read_variable<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

fn lease_config() -> ProptestConfig {
    ProptestConfig {
        cases: read_variable("PROPTEST_CASES").unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(read_variable("LEASE_SEED").unwrap_or(CI_SEED)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    }
}

/// A change of the simulated system.
#[derive(Clone, Debug)]
enum SystemChange {
    RemoveKey,
    Links {
        loss: f64,
        max_delay: u64,
    },
    /// Cuts a front off from the other fronts and the store.
    Isolate(usize),
    /// Lets a front learn of configurations from the store only.
    StopExchange(usize),
    CutDomains,
    HealLinks,
    RefuseStore(usize),
    SilenceStore(bool),
    Suspend {
        front: usize,
        millis: u64,
    },
    Restart(usize),
}

/// What still fails while fronts must not lose their leases.
#[derive(Clone, Copy, Debug)]
enum LastingFault {
    /// The store refuses two of three fronts.
    StoreRefusals,
    /// The failure domains are cut off from each other; the store answers one front of each.
    DomainsCut,
    /// Every fifth message is lost.
    Losses,
}

fn system_change() -> impl Strategy<Value = SystemChange> {
    let front = 0..12_usize;
    prop_oneof![
        4 => Just(SystemChange::RemoveKey),
        2 => (0.0..0.9, 0..9_000_u64)
            .prop_map(|(loss, max_delay)| SystemChange::Links { loss, max_delay }),
        4 => front.clone().prop_map(SystemChange::Isolate),
        2 => front.clone().prop_map(SystemChange::StopExchange),
        1 => Just(SystemChange::CutDomains),
        1 => Just(SystemChange::HealLinks),
        2 => front.clone().prop_map(SystemChange::RefuseStore),
        1 => any::<bool>().prop_map(SystemChange::SilenceStore),
        2 => (front.clone(), 0..12_000_u64)
            .prop_map(|(front, millis)| SystemChange::Suspend { front, millis }),
        1 => front.prop_map(SystemChange::Restart),
    ]
}

fn lasting_fault() -> impl Strategy<Value = LastingFault> {
    prop_oneof![
        Just(LastingFault::StoreRefusals),
        Just(LastingFault::DomainsCut),
        Just(LastingFault::Losses),
    ]
}

fn apply(simulation: &mut LeaseSimulation, change: &SystemChange) {
    let count = simulation.fronts.len();
    match *change {
        SystemChange::RemoveKey => simulation.remove_key(),
        SystemChange::Links { loss, max_delay } => {
            simulation.loss = loss;
            simulation.max_delay = max_delay;
        }
        SystemChange::Isolate(front) => {
            let front = &mut simulation.fronts[front % count];
            (front.is_cut, front.is_store_refused) = (true, true);
        }
        SystemChange::StopExchange(front) => {
            simulation.fronts[front % count].is_exchange_stopped = true;
        }
        SystemChange::CutDomains => simulation.are_domains_cut = true,
        SystemChange::HealLinks => heal(simulation),
        SystemChange::RefuseStore(front) => {
            simulation.fronts[front % count].is_store_refused = true;
        }
        SystemChange::SilenceStore(is_silent) => simulation.store.is_silent = is_silent,
        SystemChange::Suspend { front, millis } => {
            simulation.fronts[front % count].suspended_until = simulation.now + millis;
        }
        SystemChange::Restart(front) => simulation.restart(front % count),
    }
}

fn heal(simulation: &mut LeaseSimulation) {
    simulation.loss = 0.0;
    simulation.max_delay = 4;
    simulation.are_domains_cut = false;
    simulation.store.is_silent = false;
    for front in &mut simulation.fronts {
        front.is_cut = false;
        front.is_store_refused = false;
        front.is_exchange_stopped = false;
        front.suspended_until = 0;
    }
}

fn leave(simulation: &mut LeaseSimulation, fault: LastingFault) {
    heal(simulation);
    let fronts = simulation.fronts.iter_mut().enumerate();
    match fault {
        LastingFault::StoreRefusals => {
            fronts.for_each(|(index, front)| front.is_store_refused = index % 3 != 1);
        }
        LastingFault::DomainsCut => {
            let last = fronts.len() - DOMAINS;
            fronts.for_each(|(index, front)| front.is_store_refused = index < last);
            simulation.are_domains_cut = true;
        }
        LastingFault::Losses => {
            simulation.loss = 0.2;
            simulation.max_delay = 60;
        }
    }
}

proptest! {
    #![proptest_config(lease_config())]

    /// Guards against a removed key that a front accepts later than the bound, whatever happens to
    /// messages, clocks and processes, and against a lease that ends while the front has a path to
    /// a proof.
    #[test]
    fn lease_any_order_of_events(
        count in DOMAINS..12_usize,
        seed in any::<u64>(),
        changes in prop::collection::vec((system_change(), 0..3_000_u64), 0..40),
        fault in lasting_fault(),
    ) {
        let mut simulation = LeaseSimulation::new(count, seed);
        simulation.run(1_000);
        for (change, millis) in &changes {
            apply(&mut simulation, change);
            simulation.run(*millis);
        }
        leave(&mut simulation, fault);
        simulation.run(RECOVERY_MS);
        for _ in 0..60 {
            simulation.run(100);
            prop_assert_eq!(simulation.ended_count(), 0, "at {}", simulation.now);
        }
    }
}
