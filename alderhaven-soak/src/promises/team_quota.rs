//! Checks that all fronts together run no more requests of a team in any window than its limit
//! allows.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_platform_standin::team_bounds::TeamBounds;

use crate::history_index::HistoryIndex;
use crate::promises::{PromiseKind, Violation};
use crate::soak_history::{DisruptionRecord, DisruptionSubject, FREEZE_KIND};
use crate::soak_team::SoakTeam;

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
    let teams = index.history.configs.first();
    let teams = teams.into_iter().flat_map(|config| &config.teams);
    teams
        .filter_map(|team| check_team(index, bounds, &team.name))
        .collect()
}

fn check_team(index: &HistoryIndex, bounds: &TeamBounds, team: &str) -> Option<Violation> {
    let window = TimeSpan::from_secs(1).mul_f64(bounds.quota_window_s);
    let limits = LimitHistory::new(index, team, window);
    let runs = team_runs(index, team);
    let excesses = runs.iter().enumerate().filter_map(|(first, run)| {
        let end = run.sent_at + window;
        let max_runs = limits.max_runs(run.sent_at, end, bounds)?;
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

/// The limits of one team with the periods in which a front may apply each.
struct LimitHistory<'h> {
    /// When the store accepted the limit, the limit, and from when windows are bound by the next one.
    limits: Vec<(TimePoint, &'h SoakTeam, Option<TimePoint>)>,
}

impl<'h> LimitHistory<'h> {
    fn new(index: &HistoryIndex<'h>, team: &str, window: TimeSpan) -> Self {
        let configs = &index.history.configs;
        let limits = configs.iter().enumerate().filter_map(|(number, config)| {
            let limit = config.teams.iter().find(|limit| limit.name == team)?;
            let next = configs.get(number + 1);
            let until = next.map(|next| applied_at(index, next.accepted_at) + window);
            Some((config.accepted_at, limit, until))
        });
        Self {
            limits: limits.collect(),
        }
    }

    /// Returns the most requests that may run in a window; `None` if a front may know no limit.
    fn max_runs(&self, from: TimePoint, until: TimePoint, bounds: &TeamBounds) -> Option<f64> {
        let applicable = self.limits.iter().filter(|(accepted_at, _, replaced_at)| {
            *accepted_at <= until && replaced_at.is_none_or(|at| at >= from)
        });
        applicable
            .map(|(_, limit, _)| limit.max_runs(bounds))
            .try_fold(0.0_f64, |most, max_runs| {
                max_runs.map(|max_runs| most.max(max_runs))
            })
    }
}

/// Returns when all fronts have applied a configuration: [`APPLY_BOUND`] after it was accepted, or
/// after the end of disruptions before that. A front that is cut off from the store gets it from its
/// peers.
fn applied_at(index: &HistoryIndex, accepted_at: TimePoint) -> TimePoint {
    let delays_fronts = |record: &&DisruptionRecord| match record.subject {
        DisruptionSubject::Store | DisruptionSubject::Machine => true,
        DisruptionSubject::Front(_) => record.kind == FREEZE_KIND,
        DisruptionSubject::Target(_) => false,
    };
    let mut applied_at = accepted_at + APPLY_BOUND;
    let mut disruptions: Vec<_> = index.history.disruptions.iter().collect();
    disruptions.sort_by_key(|record| record.from);
    for record in disruptions.into_iter().filter(delays_fronts) {
        let end = record.until.unwrap_or(index.now);
        if end >= accepted_at && record.from <= applied_at {
            applied_at = applied_at.max(end + APPLY_BOUND);
        }
    }
    applied_at
}
