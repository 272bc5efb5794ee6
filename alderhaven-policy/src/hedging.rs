//! Hedging: a second attempt at another replica if the first one takes unusually long.
//!
//! A query over many shards usually meets a rare slow attempt. A hedge is sent for idempotent
//! queries after a high quantile of the latency of its service and template (Dean and Barroso, "The
//! tail at scale", 2013), out of a token budget that bounds the extra load. No hedges are sent
//! while relays refuse most of them for lack of free slots or while queries wait for admission,
//! since they would take slots from first attempts.

use std::collections::HashMap;

use alderhaven_core::ids::{ServiceName, TemplateName};
use alderhaven_core::quantities::Share;
use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::latency_window::LatencyWindow;
use crate::policy_kind::PolicyKind;
use crate::running_mean::RunningMean;

/// Largest number of tracked groups, each of about 20 KB; all are reset when it is reached.
const MAX_GROUPS: usize = 256;
/// Weight of one hedge in the moving share of refused hedges.
const REFUSAL_SAMPLE_WEIGHT: f64 = 1.0 / 16.0;
/// Decay of that share for each first attempt, so that hedging resumes after a while.
const REFUSAL_DECAY_PER_ATTEMPT: f64 = 0.999;
/// Number of samples that a group's mean service time covers.
const MEAN_WINDOW: u32 = 256;

/// Settings of hedging.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HedgeOptions {
    /// Whether hedges are sent.
    pub enabled: bool,
    /// Quantile of the group's latency after which a hedge is sent.
    pub quantile: f64,
    /// Hedges that each first attempt adds to the budget; by default the share of attempts that are
    /// slower than `quantile`.
    pub budget: f64,
    /// Largest number of unused hedges that the budget holds; covers a query that loses all shards
    /// of one target at once.
    pub burst: f64,
    /// Shortest delay before a hedge.
    pub min_delay: TimeSpan,
    /// Share of hedges refused by relays above which no hedges are sent.
    #[serde(rename = "max_refused")]
    pub max_refused_share: f64,
}

impl Default for HedgeOptions {
    fn default() -> Self {
        Self {
            enabled: true,
            quantile: 0.95,
            budget: 0.05,
            burst: 32.0,
            min_delay: TimeSpan::from_millis(1),
            max_refused_share: 0.5,
        }
    }
}

/// Identifies the attempts whose latencies are comparable.
#[derive(Clone, Debug, Eq, PartialEq, Hash)]
pub struct HedgeGroup {
    /// Service that is queried.
    pub service: ServiceName,
    /// Query template.
    pub template: TemplateName,
}

#[derive(Clone, Debug, Default)]
struct GroupLatency {
    window: LatencyWindow,
    service_time: RunningMean,
}

/// Latencies of all groups and the hedge budget of one process.
#[derive(Clone, Debug)]
pub struct HedgePolicy {
    options: HedgeOptions,
    policy: PolicyKind,
    groups: HashMap<HedgeGroup, GroupLatency>,
    tokens: f64,
    refused_share: f64,
}

impl HedgePolicy {
    /// Creates a policy without latencies and with an empty budget.
    #[must_use]
    pub fn new(policy: PolicyKind, options: HedgeOptions) -> Self {
        Self {
            options,
            policy,
            groups: HashMap::new(),
            tokens: 0.0,
            refused_share: 0.0,
        }
    }

    /// Records first attempts that were sent, which add to the budget.
    pub fn record_sent(&mut self, attempts: u32) {
        let earned = f64::from(attempts) * self.options.budget;
        self.tokens = (self.tokens + earned).min(self.options.burst);
        self.refused_share *=
            REFUSAL_DECAY_PER_ATTEMPT.powi(i32::try_from(attempts).unwrap_or(i32::MAX));
    }

    /// Records the latency of an attempt from its sending to its reply, and its time at the target.
    pub fn record_answer(&mut self, group: &HedgeGroup, latency: TimeSpan, service_time: TimeSpan) {
        if !self.groups.contains_key(group) {
            if self.groups.len() >= MAX_GROUPS {
                self.groups.clear();
            }
            self.groups.insert(group.clone(), GroupLatency::default());
        }
        if let Some(latencies) = self.groups.get_mut(group) {
            latencies.window.add(latency);
            latencies.service_time.add(service_time, MEAN_WINDOW);
        }
    }

    /// Returns the time after its sending at which an attempt should be hedged, or `None` if it
    /// should not be or too few latencies are known.
    #[must_use]
    pub fn hedge_delay(&self, group: &HedgeGroup, is_idempotent: bool) -> Option<TimeSpan> {
        let is_enabled = self.options.enabled && self.policy == PolicyKind::Current;
        if !is_enabled || !is_idempotent {
            return None;
        }
        let quantile = self
            .groups
            .get(group)?
            .window
            .quantile(self.options.quantile)?;
        Some(quantile.max(self.options.min_delay))
    }

    /// Takes a token for one hedge; returns false if none may be sent now.
    ///
    /// `is_overloaded` means that queries wait for admission to the service.
    pub fn take(&mut self, is_overloaded: bool) -> bool {
        let is_refused = self.refused_share > self.options.max_refused_share;
        if is_overloaded || is_refused || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Records whether a relay refused a hedge for lack of a free slot.
    pub fn record_hedge_end(&mut self, is_refused: bool) {
        let sample = f64::from(u8::from(is_refused));
        self.refused_share += (sample - self.refused_share) * REFUSAL_SAMPLE_WEIGHT;
        if is_refused {
            // A refused hedge has put no load on a target.
            self.tokens = (self.tokens + 1.0).min(self.options.burst);
        }
    }

    /// Returns the mean service time of a group over all targets, or `None` before its first
    /// sample.
    #[must_use]
    pub fn expected_service_time(&self, group: &HedgeGroup) -> Option<TimeSpan> {
        self.groups.get(group)?.service_time.get()
    }

    /// Returns the share of recent hedges that relays refused.
    #[must_use]
    pub fn refused_share(&self) -> Share {
        Share::try_from(self.refused_share.clamp(0.0, 1.0)).unwrap_or_default()
    }
}
