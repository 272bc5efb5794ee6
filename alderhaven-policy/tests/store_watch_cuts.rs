//! Nodes that follow the store while some hosts lose it at any moment.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::group_front::GroupFront;
use alderhaven_policy::store_watch_plan;
use alderhaven_policy::store_watch_plan::WatchOptions;
use alderhaven_policy::watch_timing::WatchTiming;

#[path = "common/watch_fronts.rs"]
mod watch_fronts;
#[path = "common/watch_simulation.rs"]
mod watch_simulation;

use watch_fronts::fronts_and_directories;
use watch_simulation::{HostTrouble, WatchSimulation};

/// A change before the trouble, at which all watches begin anew.
const FIRST_CHANGE: TimePoint = TimePoint::from_micros(4_000_000);

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

fn options(bound: TimeSpan, hosts: f64) -> WatchOptions {
    WatchOptions {
        watchers: store_watch_plan::watcher_count(hosts, 0),
        timing: WatchTiming::new(bound),
        ..WatchOptions::default()
    }
}

fn host_names(fronts: &[GroupFront]) -> Vec<String> {
    let mut hosts: Vec<String> = fronts.iter().map(|front| front.host.to_string()).collect();
    hosts.sort_unstable();
    hosts.dedup();
    hosts
}

/// The delays of gossip that are simulated, as a part of the bound.
const DELAY_SHARE: f64 = 0.05;

struct Case {
    bound: TimeSpan,
    hosts: Vec<String>,
    cut_after: TimeSpan,
    change_after: TimeSpan,
    is_frozen: bool,
}

/// Plays a change, the trouble of some hosts after it and another change. Returns how long the second one
/// was unknown to a node without trouble.
fn play(fronts: &[GroupFront], case: &Case) -> TimeSpan {
    let cut_at = FIRST_CHANGE + case.cut_after;
    let changed_at = cut_at + case.change_after;
    let trouble = HostTrouble {
        hosts: case.hosts.clone(),
        from: cut_at,
        until: cut_at + case.bound.mul_f64(3.0),
        is_frozen: case.is_frozen,
    };
    let mut simulation = WatchSimulation::new(
        fronts,
        options(case.bound, 2.0),
        case.bound.mul_f64(DELAY_SHARE),
        vec![FIRST_CHANGE, changed_at],
        vec![trouble],
    );
    simulation.run_until(changed_at + case.bound);
    simulation.longest_delay()
}

/// Guards against changes that are late while two hosts, whichever they are, are cut off from the store or
/// stand still at any moment after another change.
#[test]
fn change_is_known_in_time_whichever_two_hosts_lose_the_store() {
    let fronts = fronts_and_directories(2, 4);
    let hosts = host_names(&fronts);
    for millis in [2_000, 3_000, 5_000] {
        let bound = TimeSpan::from_millis(millis);
        for (index, first) in hosts.iter().enumerate() {
            for second in &hosts[index + 1..] {
                for (cut, change) in [(0.0, 0.01), (0.1, 0.05), (0.2, 0.3), (0.45, 0.01)] {
                    for is_frozen in [false, true] {
                        let case = Case {
                            bound,
                            hosts: vec![first.clone(), second.clone()],
                            cut_after: bound.mul_f64(cut),
                            change_after: bound.mul_f64(change),
                            is_frozen,
                        };
                        let delay = play(&fronts, &case);
                        assert!(
                            delay < bound.mul_f64(0.9),
                            "{delay} of {bound}: {:?} after {cut} and {change}",
                            case.hosts
                        );
                    }
                }
            }
        }
    }
}

/// Guards against changes that are late while all watching hosts are cut off or stand still, which is more
/// than their number allows for.
#[test]
fn change_is_known_in_time_while_all_watching_hosts_lose_the_store() {
    for (domains, hosts_per_domain) in [(4, 2), (4, 8)] {
        let fronts = fronts_and_directories(domains, hosts_per_domain);
        for millis in [2_000, 3_000, 5_000] {
            let bound = TimeSpan::from_millis(millis);
            let delay = bound.mul_f64(DELAY_SHARE);
            for is_frozen in [false, true] {
                for cut in [0.01, 0.1, 0.4] {
                    let options = options(bound, 2.0);
                    let changes = vec![FIRST_CHANGE];
                    let mut simulation =
                        WatchSimulation::new(&fronts, options, delay, changes, Vec::new());
                    simulation.run_until(FIRST_CHANGE + bound.mul_f64(cut));
                    simulation.run_until(simulation.now() + bound.mul_f64(0.2));
                    let watching = simulation.watching_hosts();
                    assert_eq!(watching.len(), 3, "{watching:?}");
                    simulation.add_trouble(HostTrouble {
                        hosts: watching,
                        from: simulation.now(),
                        until: simulation.now() + bound.mul_f64(3.0),
                        is_frozen,
                    });
                    let changed_at = simulation.now() + TimeSpan::from_millis(50);
                    simulation.add_change(changed_at);
                    simulation.run_until(changed_at + bound);
                    let late = simulation.longest_delay();
                    assert!(
                        late < bound,
                        "{late} of {bound}, frozen {is_frozen}, cut {cut}"
                    );
                }
            }
        }
    }
}

/// Guards against changes that are late while one host after the other loses the store, each before the
/// silent watch of the one before is noticed, and again for as long as reports are held.
#[test]
fn changes_are_known_in_time_while_hosts_lose_the_store_in_turn() {
    let fronts = fronts_and_directories(4, 3);
    let hosts = host_names(&fronts);
    for millis in [2_000, 3_000, 5_000] {
        let bound = TimeSpan::from_millis(millis);
        for first in 0..hosts.len() {
            let changes = (0..40).map(|number| at(4_000 + 350 * number)).collect();
            let trouble = |number: usize| {
                let from = at(4_100) + bound.mul_f64(0.4 * number as f64);
                HostTrouble {
                    hosts: vec![hosts[(first + number) % hosts.len()].clone()],
                    from,
                    until: from + bound.mul_f64(0.8),
                    is_frozen: false,
                }
            };
            let troubles = (0..6).map(trouble).collect();
            let mut simulation = WatchSimulation::new(
                &fronts,
                options(bound, 2.0),
                bound.mul_f64(DELAY_SHARE),
                changes,
                troubles,
            );
            simulation.run_until(at(4_000 + 350 * 40) + bound);
            let delay = simulation.longest_delay();
            assert!(delay < bound, "{delay} of {bound}, from {first}");
        }
    }
}

/// Guards against store calls that grow with the group while nothing happens.
#[test]
fn calls_do_not_grow_with_the_group() {
    for (domains, hosts_per_domain) in [(4, 2), (4, 8), (7, 6)] {
        let fronts = fronts_and_directories(domains, hosts_per_domain);
        let bound = TimeSpan::from_secs(3);
        let delay = bound.mul_f64(DELAY_SHARE);
        let mut simulation =
            WatchSimulation::new(&fronts, options(bound, 2.0), delay, Vec::new(), Vec::new());
        simulation.run_until(at(13_500));
        // Three watches that wait for 0.45 of the bound.
        assert!(
            (27..=33).contains(&simulation.calls),
            "{}",
            simulation.calls
        );
    }
}
