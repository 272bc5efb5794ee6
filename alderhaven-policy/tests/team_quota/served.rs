//! What the limit allows is served, wherever the demand is.

use alderhaven_core::time::TimeSpan;

use crate::simulation::{self, BOUND, Change, Simulation};

/// Large hosts and small hosts of the simulated group.
const LARGE: usize = 6;
const SMALL: usize = 61;

/// The limit is 1.6 times the usual rate of the team.
const RATE: f64 = 19.0;
const USUAL: f64 = RATE / 1.6;

/// Time until all shares are delegated and the buckets are full.
const START: f64 = 6.0;
const END: f64 = 26.0;

/// The seconds between start and end.
const SECONDS: std::ops::Range<u32> = 6..26;

/// Part of what the limit allows that has to be served.
const SERVED_PART: f64 = 0.95;

fn shares() -> Vec<f64> {
    let large = std::iter::repeat_n(0.8 / LARGE as f64, LARGE);
    let small = std::iter::repeat_n(0.2 / SMALL as f64, SMALL);
    large.chain(small).collect()
}

fn group(teams: usize, seed: u64) -> Simulation {
    let limits = vec![simulation::limit(RATE, RATE); teams];
    Simulation::new(&shares(), &limits, BOUND, seed)
}

fn assert_served(simulation: &Simulation, team: usize, from: f64, to: f64, limit: f64) {
    let tally = &simulation.tallies[team];
    let ran = tally.count(from, to) as f64;
    let allowed = limit * (to - from);
    assert!(
        ran >= SERVED_PART * allowed,
        "{ran} of {allowed} ran, {} were over the limit, {} without credit",
        tally.over_limit,
        tally.unavailable
    );
    let busiest = tally.busiest_window(BOUND.window, simulation::at(from));
    let limit = simulation::limit(limit, limit);
    assert!(busiest as f64 <= simulation::allowed_in_window(&BOUND, limit));
}

/// Guards against equal shares, which serve a team through one front only in part.
#[test]
fn hot_team_one_front() {
    for (seed, times) in [(1, 5.0), (2, 8.0)] {
        for front in [0, LARGE + 3] {
            let mut simulation = group(1, seed);
            simulation.offer(0, front, USUAL * times, START, END);
            simulation.run_until(simulation::at(END));
            assert_served(&simulation, 0, START, END, RATE);
            let hot_queries = simulation.queries as f64 - 2.6 * 67.0 * END;
            let refused = simulation.tallies[0].over_limit as f64;
            assert!(
                hot_queries < refused,
                "{hot_queries} queries, {refused} refused"
            );
        }
    }
}

/// Guards against credit that is lost between many fronts with little demand each.
#[test]
fn hot_team_all_fronts() {
    for (seed, times) in [(3, 5.0), (4, 8.0)] {
        let mut simulation = group(1, seed);
        for front in 0..LARGE + SMALL {
            let rate = USUAL * times / (LARGE + SMALL) as f64;
            simulation.offer(0, front, rate, START, END);
        }
        simulation.run_until(simulation::at(END));
        assert_served(&simulation, 0, START, END, RATE);
    }
}

/// Guards against credit that stays at the front where the demand was.
#[test]
fn hot_team_moving() {
    for (seed, times) in [(5, 5.0), (6, 8.0)] {
        let mut simulation = group(1, seed);
        for (second, front) in SECONDS.zip((0..LARGE).cycle()) {
            let from = f64::from(second);
            simulation.offer(0, front, USUAL * times, from, from + 1.0);
        }
        simulation.run_until(simulation::at(END));
        assert_served(&simulation, 0, START, END, RATE);
    }
}

/// Guards against refusals of a team within its limit whose demand moves.
#[test]
fn usual_team_moving() {
    let mut simulation = group(1, 7);
    for (second, front) in SECONDS.zip((0..LARGE).cycle()) {
        let from = f64::from(second);
        simulation.offer(0, front, USUAL, from, from + 1.0);
    }
    simulation.run_until(simulation::at(END));
    let tally = &simulation.tallies[0];
    assert!(tally.runs.len() as f64 >= 0.99 * tally.offered as f64);
}

/// Guards against teams that take each other's credit.
#[test]
fn three_hot_teams() {
    let mut simulation = group(3, 8);
    for team in 0..3 {
        for front in 0..LARGE {
            let rate = USUAL * 6.0 / LARGE as f64;
            simulation.offer(team, front, rate, START, END);
        }
    }
    simulation.run_until(simulation::at(END));
    for team in 0..3 {
        assert_served(&simulation, team, START, END, RATE);
    }
}

/// Guards against a limit far below the demand that is not binding or not served.
#[test]
fn lowered_limit() {
    let mut simulation = group(1, 9);
    for front in 0..LARGE {
        let rate = USUAL * 8.0 / LARGE as f64;
        simulation.offer(0, front, rate, START, END);
    }
    let limit = simulation::limit(3.0, 3.0);
    simulation.change(
        simulation::at(START + 3.0),
        Change::Limit { team: 0, limit },
    );
    simulation.run_until(simulation::at(END));
    assert_served(&simulation, 0, START + 9.0, END, 3.0);
}

/// Guards against a side of a cut that serves nothing.
#[test]
fn cut_both_sides() {
    let mut simulation = group(1, 10);
    for front in 0..LARGE {
        simulation.offer(0, front, USUAL * 5.0 / LARGE as f64, START, END);
    }
    let sides = (0..LARGE + SMALL)
        .map(|front| u8::from(front % 3 == 0))
        .collect();
    simulation.change(simulation::at(START + 2.0), Change::Cut { sides });
    simulation.run_until(simulation::at(END));
    let tally = &simulation.tallies[0];
    let (from, to) = (START + 5.0, END);
    for side in [true, false] {
        let runs = tally.runs.iter();
        let on_side =
            runs.filter(|(time, front)| *time >= simulation::at(from) && (front % 3 == 0) == side);
        let ran = on_side.count() as f64;
        let part = if side { 1.0 / 3.0 } else { 2.0 / 3.0 };
        let allowed = RATE * part * (to - from);
        assert!(ran >= 0.8 * allowed, "{ran} of {allowed} ran on a side");
    }
    assert_served(&simulation, 0, from, to, RATE * 0.9);
}

/// Guards against a long time without credit after the pool is lost or stands still.
#[test]
fn pool_lost_or_frozen() {
    for is_lost in [true, false] {
        let mut simulation = group(1, 11);
        for front in 1..LARGE {
            simulation.offer(0, front, USUAL * 5.0 / 5.0, START, END);
        }
        let pause = TimeSpan::from_secs(8);
        let change = if is_lost {
            Change::Restart { front: 0, pause }
        } else {
            Change::Freeze { front: 0, pause }
        };
        simulation.change(simulation::at(START + 4.0), change);
        simulation.run_until(simulation::at(END));
        let tally = &simulation.tallies[0];
        let during = tally.count(START + 6.0, START + 12.0) as f64;
        let allowed = RATE * 6.0 * (1.0 - shares()[0]);
        assert!(
            during >= 0.9 * allowed,
            "{during} of {allowed} ran, is_lost {is_lost}"
        );
        let busiest = tally.busiest_window(BOUND.window, simulation::at(0.0));
        let limit = simulation::limit(RATE, RATE);
        assert!(busiest as f64 <= simulation::allowed_in_window(&BOUND, limit));
    }
}
