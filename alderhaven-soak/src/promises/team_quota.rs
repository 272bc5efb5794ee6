//! Checks that all fronts together run no more requests of a team in any window than its limit
//! allows.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_platform_standin::team_bounds::TeamBounds;

use crate::config_spread::ConfigSpread;
use crate::history_index::{self, HistoryIndex};
use crate::promises::{PromiseKind, Violation};
use crate::soak_history::DisruptionSubject;

/// The time within which an accepted configuration must be in force on fronts that reach the store or
/// their peers.
const APPLY_BOUND: TimeSpan = TimeSpan::from_secs(5);

/// A request that ran: when its caller sent it, and when it first arrived at a target that ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RunTimes {
    sent_at: TimePoint,
    arrived_at: TimePoint,
}

/// Checks the windows that begin with a request, for each team. Each team's worst window is reported.
#[must_use]
pub fn check(index: &HistoryIndex) -> Vec<Violation> {
    let Some(bounds) = &index.history.team_bounds else {
        return Vec::new();
    };
    let spread = ConfigSpread::new(index);
    let teams = index.history.configs.first();
    let teams = teams.into_iter().flat_map(|config| &config.teams);
    teams
        .filter_map(|team| check_team(index, &spread, bounds, &team.name))
        .collect()
}

fn check_team(
    index: &HistoryIndex,
    spread: &ConfigSpread,
    bounds: &TeamBounds,
    team: &str,
) -> Option<Violation> {
    let window = window_length(bounds);
    let runs = team_runs(index, team);
    let excesses = runs.iter().enumerate().filter_map(|(first, run)| {
        let end = run.sent_at + window;
        let max_runs = max_runs(index, spread, team, (run.sent_at, end), bounds)?;
        let in_window = runs[first..].iter().take_while(|run| run.sent_at <= end);
        let count = in_window.filter(|run| run.arrived_at <= end).count();
        let is_excess = count as f64 > max_runs
            && index.is_undisrupted(&DisruptionSubject::Machine, run.sent_at, end);
        is_excess.then_some((count, max_runs, run.sent_at))
    });
    let worst = excesses.max_by(|left, right| {
        let (left, right) = (left.0 as f64 - left.1, right.0 as f64 - right.1);
        left.total_cmp(&right)
    });
    let (count, max_runs, from) = worst?;
    let from = from.since(TimePoint::START);
    let observed = format!("{count} ran in the {window} from {from}, {max_runs:.1} may");
    Some(Violation::new(PromiseKind::TeamQuota, team, observed))
}

/// Returns the requests of a team that ran, by the time of sending. Those of open routes don't count.
fn team_runs(index: &HistoryIndex, team: &str) -> Vec<RunTimes> {
    let requests = index.history.requests.iter();
    let counted = requests
        .filter(|(_, request)| !request.kind.is_open() && index.team_of(request) == Some(team));
    let runs = counted.filter_map(|(id, request)| {
        let run = index.arrivals(id).iter().find(|arrival| arrival.is_run)?;
        Some(RunTimes {
            sent_at: request.sent_at,
            arrived_at: run.at,
        })
    });
    let mut runs: Vec<RunTimes> = runs.collect();
    runs.sort_unstable();
    runs
}

/// Returns the most requests of a team that may run in a window; `None` if a front may know no limit.
/// Only the newest configuration that binds by then, and those that were accepted since, apply.
fn max_runs(
    index: &HistoryIndex,
    spread: &ConfigSpread,
    team: &str,
    (from, until): (TimePoint, TimePoint),
    bounds: &TeamBounds,
) -> Option<f64> {
    let configs = &index.history.configs;
    // A configuration binds one window after all fronts have had it for the time in which they must
    // apply it.
    let lead = APPLY_BOUND + window_length(bounds);
    let held_from = history_index::time_before(from, lead);
    let binds = |number: &usize| {
        configs[*number].accepted_at <= held_from
            && spread.is_held_by_all(*number, held_from, until)
    };
    let first = (0..configs.len()).rev().find(binds).unwrap_or(0);
    let applicable = configs[first..]
        .iter()
        .filter(|config| config.accepted_at <= until);
    let mut limits =
        applicable.filter_map(|config| config.teams.iter().find(|limit| limit.name == team));
    limits.try_fold(0.0_f64, |most, limit| {
        limit.max_runs(bounds).map(|max_runs| most.max(max_runs))
    })
}

fn window_length(bounds: &TeamBounds) -> TimeSpan {
    TimeSpan::from_secs(1).mul_f64(bounds.quota_window_s)
}
