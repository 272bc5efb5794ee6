//! Teams within their limits are served while the group restarts or its pool changes.

use alderhaven_core::time::TimeSpan;
use alderhaven_policy::team_limit::TeamLimit;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::simulation::{self, BOUND, Change, Simulation};

/// Large hosts, which serve all callers, and small hosts.
const LARGE: usize = 6;
const SMALL: usize = 61;
const TEAMS: usize = 76;

/// Requests per second of the largest team. All together send 48.
const LARGEST_RATE: f64 = 12.0;

/// Exponent by which the rates of the teams fall.
const RATE_EXPONENT: f64 = 1.12;

/// Limits are the usual rate times this, and at least `SMALLEST_LIMIT` per second.
const LIMIT_FACTOR: f64 = 1.6;
const SMALLEST_LIMIT: f64 = 1.0;

/// Time at which all shares are delegated.
const DEMAND_START: f64 = 4.0;

/// Time of the change, after all shares are delegated and the buckets are full.
const CHANGE: f64 = 12.0;
const END: f64 = 24.0;

/// Time in which reserves are refilled.
const LONG_PAUSE: f64 = 30.0;

/// Time in which all fronts start again.
const START_SPREAD: f64 = 0.3;

/// Largest difference between the times at which fronts learn of a change of the pool.
const ORDER_SPREAD: f64 = 0.5;

const SEEDS: std::ops::Range<u64> = 0..20;

fn usual_rate(team: usize) -> f64 {
    LARGEST_RATE * ((team + 1) as f64).powf(-RATE_EXPONENT)
}

fn team_limit(team: usize) -> TeamLimit {
    let rate = (usual_rate(team) * LIMIT_FACTOR).max(SMALLEST_LIMIT);
    simulation::limit(rate, rate)
}

fn shares() -> Vec<f64> {
    let large = std::iter::repeat_n(0.8 / LARGE as f64, LARGE);
    let small = std::iter::repeat_n(0.2 / SMALL as f64, SMALL);
    large.chain(small).collect()
}

fn group(seed: u64, fronts: std::ops::Range<usize>) -> Simulation {
    let limits: Vec<TeamLimit> = (0..TEAMS).map(team_limit).collect();
    let mut simulation = Simulation::new(&shares(), &limits, BOUND, seed);
    for team in 0..TEAMS {
        for front in fronts.clone() {
            let rate = usual_rate(team) / fronts.len() as f64;
            simulation.offer(team, front, rate, DEMAND_START, END);
        }
    }
    simulation
}

/// Refused and all requests of several runs.
#[derive(Default)]
struct RefusalTally {
    refused: usize,
    offered: usize,
}

impl RefusalTally {
    fn add(&mut self, simulation: &Simulation, from: f64, to: f64) {
        for tally in &simulation.tallies {
            let refused = tally.count_refused(from, to);
            self.refused += refused;
            self.offered += refused + tally.count(from, to);
        }
    }

    fn assert_at_most(&self, part: f64) {
        let Self { refused, offered } = self;
        let most = part * *offered as f64;
        assert!(*refused as f64 <= most, "{refused} of {offered} refused");
    }
}

fn assert_bound(simulation: &Simulation) {
    for (team, tally) in simulation.tallies.iter().enumerate() {
        let busiest = tally.busiest_window(BOUND.window, simulation::at(0.0));
        let allowed = simulation::allowed_in_window(&BOUND, team_limit(team));
        assert!(
            busiest as f64 <= allowed,
            "team {team}: {busiest} of {allowed}"
        );
    }
}

/// Guards against a group that serves nothing for seconds after all its hosts lost power.
#[test]
fn group_restart() {
    for seed in SEEDS {
        let mut simulation = group(seed, 0..LARGE);
        simulation.discovery_time = TimeSpan::from_millis(500);
        let mut random = SmallRng::seed_from_u64(seed);
        let down = 3.0;
        for front in 0..LARGE + SMALL {
            let pause = simulation::secs(down + random.random_range(0.0..START_SPREAD));
            let change = Change::Restart { front, pause };
            simulation.change(simulation::at(CHANGE), change);
        }
        simulation.run_until(simulation::at(END));
        let started_at = CHANGE + down + START_SPREAD;
        let mut tally = RefusalTally::default();
        tally.add(&simulation, started_at + 0.6, started_at + 3.0);
        tally.assert_at_most(0.1);
        assert_bound(&simulation);
    }
}

/// Guards against a reserve that is used before and after a restart, beyond the bound of one window.
#[test]
fn group_restart_over_limit() {
    for (seed, rate) in SEEDS.zip([1.0, 2.0, 5.0, 19.0].into_iter().cycle()) {
        let limit = simulation::limit(rate, rate);
        let mut simulation = Simulation::new(&shares(), &[limit], BOUND, seed);
        // Buckets and reserves are full before.
        let (before, after) = (LONG_PAUSE - 1.0, LONG_PAUSE + 6.0);
        for front in 0..LARGE + SMALL {
            simulation.offer(0, front, 10.0, before, after);
            let pause = TimeSpan::from_millis(20);
            let change = Change::Restart { front, pause };
            simulation.change(simulation::at(LONG_PAUSE), change);
        }
        simulation.run_until(simulation::at(after));
        let busiest = simulation.tallies[0].busiest_window(BOUND.window, simulation::at(0.0));
        let allowed = simulation::allowed_in_window(&BOUND, limit);
        assert!(
            busiest as f64 <= allowed,
            "{busiest} of {allowed}, rate {rate}"
        );
    }
}

/// Guards against refusals when the pool drains or another large host becomes the first.
#[test]
fn pool_change_planned() {
    let mut tally = RefusalTally::default();
    for seed in SEEDS {
        let mut simulation = group(seed, 0..LARGE);
        let mut random = SmallRng::seed_from_u64(seed);
        for front in 0..LARGE + SMALL {
            let time = CHANGE + random.random_range(0.0..ORDER_SPREAD);
            simulation.change(simulation::at(time), Change::Rotate { front, by: 1 });
        }
        simulation.run_until(simulation::at(END));
        tally.add(&simulation, CHANGE, CHANGE + 2.0);
        assert_bound(&simulation);
    }
    tally.assert_at_most(0.05);
}

/// Guards against refusals after the pool died without notice.
#[test]
fn pool_change_death() {
    let mut tally = RefusalTally::default();
    for seed in SEEDS {
        let mut simulation = group(seed, 1..LARGE);
        let pause = simulation::secs(END);
        let change = Change::Freeze { front: 0, pause };
        simulation.change(simulation::at(CHANGE), change);
        simulation.run_until(simulation::at(END));
        tally.add(&simulation, CHANGE, CHANGE + 2.0);
        assert_bound(&simulation);
    }
    tally.assert_at_most(0.05);
}
