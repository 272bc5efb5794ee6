//! Hedging: a second attempt at another replica where the first takes unusually long.
//!
//! Load pattern: a query waits for its slowest shard. A target that pauses, or turned slow a moment
//! ago, holds up every query that has an attempt there, before any average has noticed.
//!
//! Without it: of queries over 130 shards, nearly three in four meet what happens to one attempt in
//! a hundred, so that the rare slow attempt is the usual latency.
//!
//! The rules (after Dean and Barroso, "The tail at scale", 2013): a hedge is sent after the running
//! 95th percentile of the latency of its group (service and template), for idempotent queries only,
//! out of a token budget of 5% of the attempts, and the relay runs it only where a slot is free. The
//! loser is cancelled. While relays refuse most hedges for want of free slots, or admission says
//! that the service is full, none are sent: they would take slots from first attempts.
//!
//! Grounds for the figures: after the 95th percentile one attempt in 20 is hedged, which is the
//! budget; a bucket of 32 tokens covers a query that loses a whole target's shards at once. When
//! half of the last 16 or so hedges were refused, free slots are rare.

use std::collections::HashMap;

use alderhaven_core::ids::{ServiceName, TemplateName};
use alderhaven_core::quantities::Share;
use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::latency_window::LatencyWindow;
use crate::policy_kind::PolicyKind;
use crate::running_mean::RunningMean;

/// The most groups that are remembered, each in about 20 KB; beyond it all are learnt anew.
const MAX_GROUPS: usize = 256;
/// The weight of one hedge's fate in the share of refused ones.
const REFUSAL_SAMPLE_WEIGHT: f64 = 1.0 / 16.0;
/// How fast the share of refused hedges fades per first attempt, so that hedging is tried again.
const REFUSAL_DECAY_PER_ATTEMPT: f64 = 0.999;
/// The number of samples that the mean service time of a group covers.
const MEAN_WINDOW: u32 = 256;

/// A `HedgeOptions` holds the settings of hedging.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HedgeOptions {
    /// Whether hedges are sent at all.
    pub enabled: bool,
    /// The quantile of the group's latency after which a hedge is sent.
    pub quantile: f64,
    /// The share of the attempts that may be hedged.
    pub budget: f64,
    /// The most hedges that may be sent at once out of what was saved up.
    pub burst: f64,
    /// The least delay.
    pub min_delay: TimeSpan,
    /// The share of refused hedges above which none are sent.
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

/// A `HedgeGroup` names the attempts whose latencies are compared.
#[derive(Clone, Debug, Eq, PartialEq, Hash)]
pub struct HedgeGroup {
    /// The service.
    pub service: ServiceName,
    /// The template.
    pub template: TemplateName,
}

#[derive(Clone, Debug, Default)]
struct GroupLatency {
    window: LatencyWindow,
    service_time: RunningMean,
}

/// A `HedgePolicy` says when an attempt is hedged.
#[derive(Clone, Debug)]
pub struct HedgePolicy {
    options: HedgeOptions,
    policy: PolicyKind,
    groups: HashMap<HedgeGroup, GroupLatency>,
    tokens: f64,
    refused_share: f64,
}

impl HedgePolicy {
    /// Returns a policy that has learnt nothing yet.
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

    /// Notes first attempts that were sent: each adds its share to the budget.
    pub fn record_sent(&mut self, attempts: u32) {
        let earned = f64::from(attempts) * self.options.budget;
        self.tokens = (self.tokens + earned).min(self.options.burst);
        self.refused_share *=
            REFUSAL_DECAY_PER_ATTEMPT.powi(i32::try_from(attempts).unwrap_or(i32::MAX));
    }

    /// Adds the latency of an attempt from its sending to its reply, and its time at the target.
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

    /// Gets the time after its sending at which an attempt of the group should be hedged, or none
    /// where it should not be.
    #[must_use]
    pub fn hedge_delay(&self, group: &HedgeGroup, is_idempotent: bool) -> Option<TimeSpan> {
        let is_on = self.options.enabled && self.policy == PolicyKind::Current;
        if !is_on || !is_idempotent {
            return None;
        }
        let quantile = self
            .groups
            .get(group)?
            .window
            .quantile(self.options.quantile)?;
        Some(quantile.max(self.options.min_delay))
    }

    /// Takes a token for one hedge; returns false where none should be sent now.
    ///
    /// `is_overloaded` says that admission has queries waiting for the service.
    pub fn take(&mut self, is_overloaded: bool) -> bool {
        let is_refused = self.refused_share > self.options.max_refused_share;
        if is_overloaded || is_refused || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Notes the fate of a hedge: whether a relay refused it for want of a free slot.
    pub fn record_hedge_end(&mut self, is_refused: bool) {
        let sample = f64::from(u8::from(is_refused));
        self.refused_share += (sample - self.refused_share) * REFUSAL_SAMPLE_WEIGHT;
        if is_refused {
            // It has cost no target anything.
            self.tokens = (self.tokens + 1.0).min(self.options.burst);
        }
    }

    /// Gets the mean service time of a group over all targets, or none before its first sample.
    #[must_use]
    pub fn expected_service_time(&self, group: &HedgeGroup) -> Option<TimeSpan> {
        self.groups.get(group)?.service_time.get()
    }

    /// Gets the share of late hedges that relays refused.
    #[must_use]
    pub fn refused_share(&self) -> Share {
        Share::try_from(self.refused_share.clamp(0.0, 1.0)).unwrap_or_default()
    }
}
