//! The schedule of faults, derived from the seed alone.

use std::time::Duration;

use alderhaven_core::time::TimeSpan;
use alderhaven_platform_standin::store_fault::StoreFault;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::link_proxy::LinkMode;
use crate::soak_fault::{SoakFault, TargetFault};
use crate::team_plan::TeamPlan;

/// The fault-free time at the start, in which callers connect.
pub const FAULT_FREE_START: TimeSpan = TimeSpan::from_millis(1_000);
/// The fault-free time at the end. All processes restart and recover in it before served requests
/// are counted.
pub const FAULT_FREE_END: TimeSpan = TimeSpan::from_millis(7_000);
/// The longest time between two fault starts. Most faults last longer, so that they overlap.
const MAX_FAULT_INTERVAL_MS: u64 = 900;
/// The range of fault durations: from below a timeout to above the time after which peers declare a
/// process dead.
const FAULT_DURATION_MS: std::ops::Range<u64> = 100..4_000;
/// The range of evacuation durations; each exceeds the time after which the evacuation is checked.
const EVACUATION_DURATION_MS: std::ops::Range<u64> = 5_600..9_000;
/// The upper bound of the age of a copy.
pub const MAX_COPY_AGE_MS: u64 = 6_000;
/// The range of the ages of copies from which the store comes back.
const COPY_AGE_MS: std::ops::Range<u64> = 300..MAX_COPY_AGE_MS;
/// The range of durations for which the store is away before it comes back.
const AWAY_DURATION_MS: std::ops::Range<u64> = 50..2_500;
/// The range of the pauses between a change, the cut of the fronts that watch the store, and the changes
/// that these must not hide.
const CUT_PAUSE_MS: std::ops::Range<u64> = 20..600;
/// The range of durations for which such fronts are cut off; most exceed the bounds for changes.
const CUT_DURATION_MS: std::ops::Range<u64> = 2_000..7_000;
/// The most fronts that are cut off at once.
const MAX_CUT_FRONTS: usize = 2;
/// The probability that the previous fault is injected again on the same subject, often before it
/// has recovered.
const REPEAT_PROBABILITY: f64 = 0.2;

/// The faults of a run, ordered by time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SoakPlan {
    /// The scheduled faults.
    pub steps: Vec<SoakStep>,
    /// The length of the run.
    pub span: TimeSpan,
    /// The teams, if the run has any.
    pub teams: Option<TeamPlan>,
}

/// A fault with its scheduled time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SoakStep {
    /// The time since the callers started.
    pub at: TimeSpan,
    /// The fault to inject.
    pub fault: SoakFault,
}

impl SoakPlan {
    /// Draws the faults for a run of length `span`; equal arguments give equal plans.
    #[must_use]
    pub fn new(seed: u64, span: TimeSpan) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let faults_end = span.saturating_sub(FAULT_FREE_END);
        let mut steps: Vec<SoakStep> = Vec::new();
        let mut at = FAULT_FREE_START;
        while at < faults_end {
            let previous = steps.last().map(|step| step.fault);
            let repeated = previous.filter(|_| rng.random_bool(REPEAT_PROBABILITY));
            let fault = repeated.unwrap_or_else(|| draw_fault(&mut rng));
            steps.push(SoakStep { at, fault });
            at = at + TimeSpan::from_millis(rng.random_range(0..MAX_FAULT_INTERVAL_MS));
        }
        Self {
            steps,
            span,
            teams: None,
        }
    }

    /// Adds consecutive evacuations, without changing the faults that [`Self::new`] drew from the
    /// seed.
    #[must_use]
    pub fn with_evacuations(mut self, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(!seed);
        let faults_end = self.span.saturating_sub(FAULT_FREE_END);
        let mut at = FAULT_FREE_START;
        loop {
            let span = TimeSpan::from_millis(rng.random_range(EVACUATION_DURATION_MS));
            let index = rng.random_range(0..usize::MAX >> 1);
            if at + span > faults_end {
                break;
            }
            let fault = SoakFault::Evacuate(index, span);
            self.steps.push(SoakStep { at, fault });
            at = at + span + TimeSpan::from_millis(rng.random_range(0..MAX_FAULT_INTERVAL_MS));
        }
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Adds restores of the store from older copies, without changing the other faults.
    #[must_use]
    pub fn with_restores(mut self, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed.rotate_left(1));
        let faults_end = self.span.saturating_sub(FAULT_FREE_END);
        let mut at = FAULT_FREE_START;
        loop {
            let age = TimeSpan::from_millis(rng.random_range(COPY_AGE_MS));
            let away = TimeSpan::from_millis(rng.random_range(AWAY_DURATION_MS));
            if at + age + away > faults_end {
                break;
            }
            let fault = SoakFault::RestoreStore(age, away);
            self.steps.push(SoakStep { at, fault });
            at =
                at + age + away + TimeSpan::from_millis(rng.random_range(0..MAX_FAULT_INTERVAL_MS));
        }
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Adds targets that spoil answers or send bytes without end, without changing the other faults.
    #[must_use]
    pub fn with_spoiled_answers(mut self, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed.rotate_left(2));
        let faults_end = self.span.saturating_sub(FAULT_FREE_END);
        let mut at = FAULT_FREE_START;
        loop {
            let span = TimeSpan::from_millis(rng.random_range(FAULT_DURATION_MS));
            let index = rng.random_range(0..usize::MAX >> 1);
            let fault = if rng.random_bool(0.5) {
                TargetFault::SpoilsAnswers
            } else {
                TargetFault::EndlessAnswers
            };
            if at + span > faults_end {
                break;
            }
            let fault = SoakFault::TargetFault(index, fault, span);
            self.steps.push(SoakStep { at, fault });
            at = at + TimeSpan::from_millis(rng.random_range(0..MAX_FAULT_INTERVAL_MS));
        }
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Adds cuts of the fronts that watch the store, each between two changes, without changing the other
    /// faults.
    #[must_use]
    pub fn with_watcher_cuts(mut self, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed.rotate_left(3));
        let faults_end = self.span.saturating_sub(FAULT_FREE_END);
        let mut at = FAULT_FREE_START;
        loop {
            let mut pause = || TimeSpan::from_millis(rng.random_range(CUT_PAUSE_MS));
            let (cut_at, config_at) = (at + pause(), at + pause() + pause());
            let drain_at = config_at + pause();
            let span = TimeSpan::from_millis(rng.random_range(CUT_DURATION_MS));
            let count = rng.random_range(1..=MAX_CUT_FRONTS);
            let target = rng.random_range(0..usize::MAX >> 1);
            if cut_at + span > faults_end {
                break;
            }
            self.steps.extend([
                SoakStep {
                    at,
                    fault: SoakFault::ChangeConfig,
                },
                SoakStep {
                    at: cut_at,
                    fault: SoakFault::CutWatchers(count, span),
                },
                SoakStep {
                    at: config_at,
                    fault: SoakFault::ChangeConfig,
                },
                SoakStep {
                    at: drain_at,
                    fault: SoakFault::DrainTarget(target),
                },
            ]);
            at = cut_at + span + TimeSpan::from_millis(rng.random_range(0..MAX_FAULT_INTERVAL_MS));
        }
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Adds teams, changes of them and faults that outlast their bounds, without changing the other
    /// faults.
    #[must_use]
    pub fn with_teams(mut self, seed: u64) -> Self {
        let faults_end = self.span.saturating_sub(FAULT_FREE_END);
        self.steps.extend(TeamPlan::steps(seed, faults_end));
        self.steps.sort_by_key(|step| step.at);
        self.teams = Some(TeamPlan::new(seed));
        self
    }
}

fn draw_fault(rng: &mut StdRng) -> SoakFault {
    let index = rng.random_range(0..usize::MAX >> 1);
    let duration = TimeSpan::from_millis(rng.random_range(FAULT_DURATION_MS));
    match rng.random_range(0..100) {
        0..8 => SoakFault::StopFront(index),
        8..10 => SoakFault::StopAll(TimeSpan::from_millis(rng.random_range(100..1_500))),
        10..16 => SoakFault::KillFront(index),
        16..18 => SoakFault::KillAll,
        18..25 => SoakFault::FreezeFront(index, duration),
        25..29 => SoakFault::ReloadFront(index),
        29..36 => SoakFault::StoreLink(index, draw_link_mode(rng), duration),
        36..42 => SoakFault::StoreFault(draw_store_fault(rng), duration),
        42..45 => SoakFault::StoreCompaction,
        45..53 => SoakFault::CrashTarget(index, duration),
        53..61 => SoakFault::DrainTarget(index),
        61..69 => SoakFault::TargetLink(index, draw_link_mode(rng), duration),
        69..83 => SoakFault::TargetFault(index, draw_target_fault(rng), duration),
        83..96 => SoakFault::ChangeConfig,
        _ => SoakFault::Reshard,
    }
}

fn draw_link_mode(rng: &mut StdRng) -> LinkMode {
    match rng.random_range(0..5) {
        0 => LinkMode::Delayed(Duration::from_millis(rng.random_range(5..400))),
        1 => LinkMode::UpstreamBlocked,
        2 => LinkMode::DownstreamBlocked,
        3 => LinkMode::Blocked,
        _ => LinkMode::Reset,
    }
}

fn draw_store_fault(rng: &mut StdRng) -> StoreFault {
    match rng.random_range(0..4) {
        0 => StoreFault::Silent,
        1 => StoreFault::Down,
        2 => StoreFault::RateLimited,
        _ => StoreFault::Slow(Duration::from_millis(rng.random_range(20..800))),
    }
}

fn draw_target_fault(rng: &mut StdRng) -> TargetFault {
    match rng.random_range(0..7) {
        0 => TargetFault::Slow,
        1 => TargetFault::NoReply,
        2 => TargetFault::Fails,
        3 => TargetFault::Refuses,
        4 => TargetFault::Disconnects,
        5 => TargetFault::TruncatesAnswers,
        _ => TargetFault::AnswersTwice,
    }
}
