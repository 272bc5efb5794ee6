//! Adaptive limit on the attempts that run at one target at a time.
//!
//! The limit starts at the declared slots. It decreases when the target sheds an attempt or when
//! the service time has grown to [`TargetLimitOptions::slowdown_factor`] times the expected one,
//! and it is probed up by one slot after a quiet interval that doubles while probes fail. After a
//! restart it rises from one slot (slow start). Attempts in flight are counted here; a target's own
//! report, if enabled, can only raise that count, and only while it is fresh.

use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};

use crate::policy_kind::PolicyKind;

/// Settings of the targets' limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetLimitOptions {
    /// Factor on the limit when it decreases, by at least one slot.
    #[serde(rename = "fall_factor")]
    pub decrease_factor: f64,
    /// Smoothed ratio of actual to expected service time above which the limit decreases. It must
    /// be clear of the spread of exponential service times, a factor of 1.5 over 8 attempts.
    #[serde(rename = "growth_factor")]
    pub slowdown_factor: f64,
    /// Shortest time between two decreases, so that one event counts once.
    #[serde(rename = "fall_gap")]
    pub min_decrease_interval: TimeSpan,
    /// Time without a change of the limit after which it is probed up by one slot. At one second,
    /// probes cost at most one shed reply in some hundred attempts.
    #[serde(rename = "probe_gap")]
    pub probe_interval: TimeSpan,
    /// Longest probe interval, after probes that failed.
    #[serde(rename = "max_probe_gap")]
    pub max_probe_interval: TimeSpan,
    /// Time in which a cold target's limit rises from one slot to all.
    #[serde(rename = "slow_start")]
    pub slow_start_window: TimeSpan,
    /// Whether the target's report of used slots counts if it exceeds the attempts in flight.
    #[serde(rename = "reported_slots")]
    pub uses_reported_slots: bool,
    /// Time for which a report is valid.
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

/// What an ended attempt reveals about the target's load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptSignal {
    /// The target ran the attempt.
    Ran {
        /// Time at the target.
        service_time: TimeSpan,
        /// Expected time at the target before this attempt.
        expected_service_time: TimeSpan,
    },
    /// The target shed the attempt before it ran.
    Shed,
    /// The attempt reveals nothing, for example because it was cancelled or its connection was
    /// lost.
    Uninformative,
}

/// Number of attempts over which the slowdown is smoothed.
const SLOWDOWN_WINDOW_ATTEMPTS: f64 = 8.0;

/// Attempts in flight at one target and the current limit.
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
    /// Creates the limit of a target with this many declared slots.
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

    /// Starts the slow start of a target that is new, was restarted or was away.
    pub fn mark_cold(&mut self, now: TimePoint) {
        self.cold_since = Some(now);
        self.slowdown = 1.0;
        self.probe_interval = self.options.probe_interval;
        self.limit = f64::from(self.slots);
    }

    /// Sets the number of declared slots and, if it changed, resets the limit to it.
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

    /// Releases an attempt and adapts the limit to its signal.
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

    /// Records the number of used slots that the target reports.
    pub fn record_report(&mut self, used: u32, now: TimePoint) {
        self.reported_used = Some((used, now));
    }

    /// Returns the number of attempts that may run at a time now.
    #[must_use]
    pub fn limit(&self, now: TimePoint) -> u32 {
        if self.policy == PolicyKind::Baseline {
            return self.slots;
        }
        let limit = whole_slots(self.limit).clamp(1, self.slots);
        limit.min(self.slow_start_limit(now))
    }

    /// Returns the number of attempts that may be sent now.
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

    /// Returns the number of attempts in flight.
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
        // A decrease soon after a probe means that the probe failed, and the next one is delayed.
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
