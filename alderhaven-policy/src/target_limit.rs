//! The concurrency limit of one target: how many attempts it is given at a time.
//!
//! Load pattern: a target sheds below its declared slots, slows down under its load, or comes back
//! cold. Several relays may send to it, and its own reports lag or mislead.
//!
//! Without it (fixed at the declared slots): a target that sheds is offered the same again at once,
//! each attempt costs a round trip and a retry elsewhere; a cold target gets its full load, misses
//! its deadlines, and the missed work is sent again to the others.
//!
//! The rules: the limit begins at the declared slots, falls by a quarter (one slot at least) on a
//! shed reply or when the service time has grown to [`TargetLimitOptions::growth_factor`] times
//! what is expected, and is probed up by one slot after a quiet time that doubles while probes
//! fail. A cold target begins at one slot. What was sent from here is counted here; a report of the
//! target is believed only where it says more, and only while it is fresh.
//!
//! Grounds for the figures: a target has 2 to 4 slots, so one slot is the least step; a probe a
//! second costs at most one shed reply in some hundred attempts; growth by three stands clear of
//! the spread of a smoothed exponential service time (a factor of 1.5 at eight samples).

use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};

use crate::policy_kind::PolicyKind;

/// A `TargetLimitOptions` holds the settings of the targets' limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetLimitOptions {
    /// What the limit is multiplied with when it falls.
    #[serde(rename = "fall_factor")]
    pub decrease_factor: f64,
    /// The growth of the service time over the expected one at which the limit falls.
    #[serde(rename = "growth_factor")]
    pub slowdown_factor: f64,
    /// The least time between two falls, so that one event counts once.
    #[serde(rename = "fall_gap")]
    pub min_decrease_interval: TimeSpan,
    /// The quiet time before the limit is probed up by one slot.
    #[serde(rename = "probe_gap")]
    pub probe_interval: TimeSpan,
    /// The longest quiet time, after probes that failed.
    #[serde(rename = "max_probe_gap")]
    pub max_probe_interval: TimeSpan,
    /// The time in which a cold target's limit rises from one slot to all.
    #[serde(rename = "slow_start")]
    pub slow_start_window: TimeSpan,
    /// Whether the target's own report of used slots counts where it says more than was sent.
    #[serde(rename = "reported_slots")]
    pub uses_reported_slots: bool,
    /// How long a report counts.
    #[serde(rename = "report_life")]
    pub report_ttl: TimeSpan,
}

impl Default for TargetLimitOptions {
    fn default() -> Self {
        Self {
            decrease_factor: 0.75,
            slowdown_factor: 3.0,
            min_decrease_interval: TimeSpan::from_millis(250),
            probe_interval: TimeSpan::from_secs(1),
            max_probe_interval: TimeSpan::from_secs(16),
            slow_start_window: TimeSpan::from_secs(4),
            uses_reported_slots: false,
            report_ttl: TimeSpan::from_millis(50),
        }
    }
}

/// An `AttemptSignal` is what an ended attempt says about the target's load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptSignal {
    /// The target ran it.
    Ran {
        /// The time at the target.
        service_time: TimeSpan,
        /// The time that was expected before this one.
        expected_service_time: TimeSpan,
    },
    /// The target shed it before it ran.
    Shed,
    /// Nothing was learnt, for example because it was cancelled or its connection was lost.
    Uninformative,
}

/// The number of attempts over which the growth of the service time is smoothed.
const SLOWDOWN_WINDOW_ATTEMPTS: f64 = 8.0;

/// A `TargetLimit` counts what runs at one target and says how many more it may be given.
#[derive(Clone, Debug)]
pub struct TargetLimit {
    options: TargetLimitOptions,
    policy: PolicyKind,
    slots: u32,
    limit: f64,
    in_flight: u32,
    reported_used: Option<(u32, TimePoint)>,
    slowdown: f64,
    last_decrease: Option<TimePoint>,
    last_probe: Option<TimePoint>,
    last_change: TimePoint,
    probe_interval: TimeSpan,
    cold_since: Option<TimePoint>,
}

impl TargetLimit {
    /// Returns the limit of a target with this many declared slots.
    #[must_use]
    pub fn new(policy: PolicyKind, options: TargetLimitOptions, slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            probe_interval: options.probe_interval,
            options,
            policy,
            slots,
            limit: f64::from(slots),
            in_flight: 0,
            reported_used: None,
            slowdown: 1.0,
            last_decrease: None,
            last_probe: None,
            last_change: TimePoint::START,
            cold_since: None,
        }
    }

    /// Notes that the target is cold: it is new, was restarted, or comes back from being away.
    pub fn mark_cold(&mut self, now: TimePoint) {
        self.cold_since = Some(now);
        self.slowdown = 1.0;
        self.probe_interval = self.options.probe_interval;
        self.limit = f64::from(self.slots);
    }

    /// Takes over a changed number of declared slots.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        if slots != self.slots {
            self.slots = slots;
            self.limit = f64::from(slots);
        }
    }

    /// Counts an attempt that was sent.
    pub fn record_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Takes back an attempt that was sent and adapts to what it says.
    pub fn record_finished(&mut self, signal: AttemptSignal, now: TimePoint) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.policy == PolicyKind::Baseline {
            return;
        }
        match signal {
            AttemptSignal::Ran {
                service_time: service,
                expected_service_time: expected,
            } => self.record_service_time(service, expected, now),
            AttemptSignal::Shed => self.decrease(now),
            AttemptSignal::Uninformative => {}
        }
        self.probe(now);
    }

    /// Notes how many slots the target says are used; the report may lag or mislead.
    pub fn record_report(&mut self, used: u32, now: TimePoint) {
        self.reported_used = Some((used, now));
    }

    /// Gets how many attempts may run at a time now.
    #[must_use]
    pub fn limit(&self, now: TimePoint) -> u32 {
        if self.policy == PolicyKind::Baseline {
            return self.slots;
        }
        let limit = whole_slots(self.limit).clamp(1, self.slots);
        limit.min(self.slow_start_limit(now))
    }

    /// Gets how many more attempts may be sent now.
    #[must_use]
    pub fn free_slots(&self, now: TimePoint) -> u32 {
        let used = match self.reported_used {
            Some((used, at))
                if self.options.uses_reported_slots && now.since(at) <= self.options.report_ttl =>
            {
                used.max(self.in_flight)
            }
            _ => self.in_flight,
        };
        self.limit(now).saturating_sub(used)
    }

    /// Gets how many attempts run now.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    fn record_service_time(
        &mut self,
        service_time: TimeSpan,
        expected_service_time: TimeSpan,
        now: TimePoint,
    ) {
        if expected_service_time == TimeSpan::ZERO {
            return;
        }
        let ratio = service_time.as_micros() as f64 / expected_service_time.as_micros() as f64;
        self.slowdown += (ratio - self.slowdown) / SLOWDOWN_WINDOW_ATTEMPTS;
        if self.slowdown > self.options.slowdown_factor {
            self.slowdown = 1.0;
            self.decrease(now);
        }
    }

    fn decrease(&mut self, now: TimePoint) {
        let is_same_event = self
            .last_decrease
            .is_some_and(|at| now.since(at) < self.options.min_decrease_interval);
        if is_same_event {
            return;
        }
        // A fall soon after the limit rose means that the probe failed: wait longer for the next.
        let is_failed_probe = self
            .last_probe
            .is_some_and(|at| now.since(at) < self.options.probe_interval);
        self.probe_interval = if is_failed_probe {
            self.probe_interval
                .mul_f64(2.0)
                .min(self.options.max_probe_interval)
        } else {
            self.options.probe_interval
        };
        let reduced = (self.limit - 1.0).min(self.limit * self.options.decrease_factor);
        self.limit = reduced.max(1.0);
        self.last_decrease = Some(now);
        self.last_change = now;
    }

    fn probe(&mut self, now: TimePoint) {
        let ceiling = f64::from(self.slots);
        if self.limit >= ceiling || now.since(self.last_change) < self.probe_interval {
            return;
        }
        self.limit = (self.limit + 1.0).min(ceiling);
        self.last_change = now;
        self.last_probe = Some(now);
    }

    fn slow_start_limit(&self, now: TimePoint) -> u32 {
        let Some(since) = self.cold_since else {
            return self.slots;
        };
        let span = self.options.slow_start_window.as_micros().max(1) as f64;
        let progress = (now.since(since).as_micros() as f64 / span).min(1.0);
        1 + whole_slots(f64::from(self.slots - 1) * progress)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a limit is a small number above zero, and the cast saturates"
)]
fn whole_slots(limit: f64) -> u32 {
    limit as u32
}
