//! Checks that the repeats of all fronts together stay within the budget.

use std::collections::{BTreeMap, BTreeSet};

use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::history_index::{self, HistoryIndex};
use crate::promises::{PromiseKind, Violation};
use crate::soak_workload::{RequestKind, ShardSet};

/// The length of the window over which repeats and requests are counted.
const BUDGET_WINDOW: TimeSpan = TimeSpan::from_secs(10);
/// The allowed repeats for a service as a share of the requests for it.
const REPEAT_RATIO: f64 = 0.2;
/// The repeats that are allowed in each window in addition to that share.
pub const FREE_REPEATS_PER_WINDOW: u64 = 30;

/// Checks the repeated arrivals of requests at each service.
#[must_use]
pub fn check(index: &HistoryIndex) -> Vec<Violation> {
    let mut repeats: BTreeMap<&str, Vec<TimePoint>> = BTreeMap::new();
    let mut first_arrivals = BTreeSet::new();
    for arrival in &index.history.arrivals {
        if !first_arrivals.insert((&arrival.service, &arrival.request_id)) {
            let times = repeats.entry(&arrival.service).or_default();
            times.push(arrival.at);
        }
    }
    let services = repeats.into_iter();
    services
        .filter_map(|(service, times)| check_service(index, service, &times))
        .collect()
}

fn check_service(index: &HistoryIndex, service: &str, times: &[TimePoint]) -> Option<Violation> {
    let sent: Vec<TimePoint> = index
        .history
        .requests
        .values()
        .filter(|request| may_use_service(request.kind, service))
        .map(|request| request.sent_at)
        .collect();
    let excess = times.iter().find_map(|end| {
        let from = history_index::time_before(*end, BUDGET_WINDOW);
        let count = count_within(times, from, *end);
        let allowed =
            max_window_requests(&sent, *end) as f64 * REPEAT_RATIO + FREE_REPEATS_PER_WINDOW as f64;
        (count as f64 > allowed).then_some((count, allowed))
    });
    let (count, allowed) = excess?;
    let observed = format!("{count} repeats in a window, {allowed:.0} allowed");
    Some(Violation::new(PromiseKind::RepeatBudget, service, observed))
}

/// Returns the most requests in any of three windows, which end at `end`, half a window before and
/// a whole window before.
fn max_window_requests(sent: &[TimePoint], end: TimePoint) -> usize {
    let ends = [0.0, 0.5, 1.0]
        .map(|windows| history_index::time_before(end, BUDGET_WINDOW.mul_f64(windows)));
    let counts =
        ends.map(|end| count_within(sent, history_index::time_before(end, BUDGET_WINDOW), end));
    counts.into_iter().max().unwrap_or_default()
}

fn count_within(times: &[TimePoint], from: TimePoint, until: TimePoint) -> usize {
    times
        .iter()
        .filter(|at| **at >= from && **at <= until)
        .count()
}

fn may_use_service(kind: RequestKind, service: &str) -> bool {
    let sets = [ShardSet::Old, ShardSet::New];
    let mut services = sets.into_iter().flat_map(|set| kind.services(set));
    services.any(|name| name == service)
}
