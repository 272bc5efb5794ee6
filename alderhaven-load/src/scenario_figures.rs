//! Figures of single scenarios: results of the unaffected queries, recovery of the latency, crashes
//! and leaving targets.

use std::collections::{BTreeMap, BTreeSet};

use alderhaven_core::ids::{ServiceName, SnapshotId, TeamId};
use alderhaven_core::time::TimeSpan;
use alderhaven_standin::fleet_services::LeavingRecord;
use alderhaven_standin::run_log::RunRecord;
use alderhaven_standin::target_faults::POISON_MARKER;

use crate::load_plan;
use crate::load_query::{LoadQuery, QueryGroup};
use crate::query_reply::{ParsedReply, QueryReply};
use crate::run_line::rounded;
use crate::run_options::RunOptions;
use crate::scenario::ScenarioKind;

/// Length and step of the sliding window for latency percentiles.
const WINDOW_LENGTH_AND_STEP: (TimeSpan, TimeSpan) =
    (TimeSpan::from_secs(1), TimeSpan::from_millis(100));
/// A 99th percentile within this factor of the steady one counts as recovered.
const RECOVERED_FACTOR: f64 = 1.25;

/// Figures by name; one that can't be computed is `null`.
pub type FigureMap = BTreeMap<String, Option<f64>>;

/// Collects what the scenario's figures are computed from.
#[derive(Debug)]
pub struct FigureTally<'a> {
    options: &'a RunOptions,
    hot_team: TeamId,
    /// Due times and latencies of the base load's answered queries.
    answered_latencies: Vec<(TimeSpan, TimeSpan)>,
    others: GroupTally,
    long_jobs: GroupTally,
    snapshots: BTreeSet<(ServiceName, SnapshotId)>,
}

#[derive(Debug, Default)]
struct GroupTally {
    offered: u64,
    answered: u64,
    coverage_sum: f64,
    latencies: Vec<TimeSpan>,
}

impl<'a> FigureTally<'a> {
    /// Creates an empty tally.
    #[must_use]
    pub fn new(options: &'a RunOptions) -> Self {
        Self {
            options,
            hot_team: load_plan::hot_team(options.deployment),
            answered_latencies: Vec::new(),
            others: GroupTally::default(),
            long_jobs: GroupTally::default(),
            snapshots: BTreeSet::new(),
        }
    }

    /// Adds a query with its reply, if it was due in the measured time.
    pub fn add(&mut self, query: &LoadQuery, reply: &QueryReply) {
        let begin = self.options.warm_up;
        if !(begin..begin + self.options.measured_time).contains(&query.due_at) {
            return;
        }
        let latency = reply.ended_at.saturating_sub(query.due_at);
        let coverage = match reply.parse() {
            ParsedReply::Answer(answer) => {
                let service = query.workload_template.template.service.clone();
                self.snapshots.insert((service, answer.snapshot));
                Some(answer.coverage.covered_share())
            }
            ParsedReply::Error(_) | ParsedReply::Unreadable => None,
        };
        if query.group == QueryGroup::Base && coverage.is_some() {
            self.answered_latencies.push((query.due_at, latency));
        }
        let is_hot = self.options.scenario == ScenarioKind::HotTeam && query.team == self.hot_team;
        let group = match query.group {
            QueryGroup::Base if !is_hot => &mut self.others,
            QueryGroup::LongJob => &mut self.long_jobs,
            _ => return,
        };
        group.offered += 1;
        if let Some(coverage) = coverage {
            group.answered += 1;
            group.coverage_sum += coverage;
            group.latencies.push(latency);
        }
    }

    /// Computes the figures of the scenario.
    #[must_use]
    pub fn figures(&self, records: &[RunRecord], leaving_targets: &[LeavingRecord]) -> FigureMap {
        let mut figures = FigureMap::new();
        match self.options.scenario {
            ScenarioKind::Steady | ScenarioKind::SlowTarget | ScenarioKind::Overload => {}
            ScenarioKind::HotTeam | ScenarioKind::HotKey => self.add_other_queries(&mut figures),
            ScenarioKind::LongAmongShort => {
                self.add_other_queries(&mut figures);
                insert_figure(&mut figures, "long_offered", self.long_jobs.offered as f64);
                insert_figure(
                    &mut figures,
                    "long_answered",
                    self.long_jobs.answered as f64,
                );
            }
            ScenarioKind::Poison => {
                self.add_other_queries(&mut figures);
                add_crashes(&mut figures, records);
            }
            ScenarioKind::Burst => {
                self.add_recovery(&mut figures, load_plan::burst_end(self.options));
            }
            ScenarioKind::TargetLeaving => {
                self.add_recovery(&mut figures, self.options.event_at());
                add_leaving_targets(&mut figures, records, leaving_targets);
            }
            ScenarioKind::SnapshotChange => {
                self.add_recovery(&mut figures, self.options.event_at());
                let count = self.snapshots.len() as f64;
                insert_figure(&mut figures, "snapshots_answered", count);
            }
            ScenarioKind::SilentConnections
            | ScenarioKind::ColdStart
            | ScenarioKind::DomainLoss
            | ScenarioKind::RelayCrash
            | ScenarioKind::StoreOutage
            | ScenarioKind::PublishRace => {
                self.add_recovery(&mut figures, self.options.event_at());
            }
        }
        figures
    }

    fn add_other_queries(&self, figures: &mut FigureMap) {
        let others = &self.others;
        let p99 = p99_ms(others.latencies.clone());
        figures.insert("others_p99_ms".to_owned(), p99);
        let share = others.answered as f64 / (others.offered.max(1) as f64);
        insert_figure(figures, "others_answered", share);
        let coverage = others.coverage_sum / (others.offered.max(1) as f64);
        insert_figure(figures, "others_coverage", coverage);
    }

    /// Adds the 99th percentile before the event, the worst one of any window after `end`, and the
    /// time from `end` to the first recovered window after the worst.
    fn add_recovery(&self, figures: &mut FigureMap, end: TimeSpan) {
        let steady = self.p99_between(self.options.warm_up, self.options.event_at());
        let windows = self.windows_after(end);
        // Takes the first of equally bad windows.
        let mut worst: Option<(TimeSpan, f64)> = None;
        for (begin, p99) in &windows {
            if worst.is_none_or(|(_, max_p99)| *p99 > max_p99) {
                worst = Some((*begin, *p99));
            }
        }
        let is_near_steady =
            |p99: f64| steady.is_some_and(|steady| p99 <= steady * RECOVERED_FACTOR);
        // If the worst window is near the steady value, the first window counts as recovered.
        let is_recovered = |(begin, p99): &&(TimeSpan, f64)| {
            worst.is_some_and(|(start, max_p99)| *begin >= start || is_near_steady(max_p99))
                && is_near_steady(*p99)
        };
        let recovered_ms = windows.iter().find(is_recovered);
        let recovered_ms =
            recovered_ms.map(|(begin, _)| rounded(begin.saturating_sub(end).as_secs_f64() * 1e3));
        figures.insert("steady_p99_ms".to_owned(), steady);
        figures.insert("worst_window_p99_ms".to_owned(), worst.map(|(_, p99)| p99));
        figures.insert("back_to_steady_ms".to_owned(), recovered_ms);
    }

    /// Returns the 99th percentiles of the windows from `end` on, with their starts.
    fn windows_after(&self, end: TimeSpan) -> Vec<(TimeSpan, f64)> {
        let (length, step) = WINDOW_LENGTH_AND_STEP;
        let last = self.options.warm_up + self.options.measured_time;
        let mut windows = Vec::new();
        let mut begin = end;
        while begin + length <= last {
            windows.extend(
                self.p99_between(begin, begin + length)
                    .map(|p99| (begin, p99)),
            );
            begin = begin + step;
        }
        windows
    }

    fn p99_between(&self, begin: TimeSpan, end: TimeSpan) -> Option<f64> {
        let due = self
            .answered_latencies
            .iter()
            .filter(|(due, _)| (begin..end).contains(due));
        p99_ms(due.map(|(_, latency)| *latency).collect())
    }
}

fn add_crashes(figures: &mut FigureMap, records: &[RunRecord]) {
    let mut crashes: BTreeMap<&str, u64> = BTreeMap::new();
    for record in records {
        if record.parameters.contains(POISON_MARKER) {
            *crashes.entry(&record.parameters).or_default() += 1;
        }
    }
    let most = crashes.values().max().copied().unwrap_or(0);
    insert_figure(figures, "poison_requests_run", crashes.len() as f64);
    insert_figure(figures, "crashes", crashes.values().sum::<u64>() as f64);
    insert_figure(figures, "most_crashes_per_poison", most as f64);
}

fn add_leaving_targets(
    figures: &mut FigureMap,
    records: &[RunRecord],
    leaving_targets: &[LeavingRecord],
) {
    let after = |record: &RunRecord| {
        leaving_targets
            .iter()
            .filter(|leaving| leaving.target == record.target)
            .filter_map(|leaving| record.started_us.checked_sub(leaving.leaving_since_us))
            .max()
    };
    let latest = records.iter().filter_map(after).max();
    insert_figure(figures, "leaving_targets", leaving_targets.len() as f64);
    let latest = latest.map(|span| rounded(span as f64 / 1e3));
    figures.insert("last_run_after_leaving_ms".to_owned(), latest);
}

/// Adds a figure, rounded.
pub fn insert_figure(figures: &mut FigureMap, name: &str, figure: f64) {
    figures.insert(name.to_owned(), Some(rounded(figure)));
}

/// Returns the 99th percentile in milliseconds; none without latencies.
fn p99_ms(mut latencies: Vec<TimeSpan>) -> Option<f64> {
    latencies.sort_unstable();
    let rank = (latencies.len() * 99).div_ceil(100);
    let latency = latencies.get(rank.checked_sub(1)?)?;
    Some(rounded(latency.as_secs_f64() * 1e3))
}
