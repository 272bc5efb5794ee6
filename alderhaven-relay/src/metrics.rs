//! Metrics of a relay.

use alderhaven_core::outcome::AttemptOutcome;
use prometheus_client::encoding::text;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Labels of the attempts' metrics, with a fixed set of values.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct AttemptLabels {
    outcome: OutcomeLabel,
}

#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
enum OutcomeLabel {
    Answered,
    NotRun,
    Failed,
    VersionGone,
    Unknown,
}

/// Counters of attempts; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct AttemptCounters {
    by_outcome: Family<AttemptLabels, Counter>,
    /// Crashes of targets with attempts in flight.
    pub target_crashes: Counter,
    /// Attempts whose connection was silent while a new one worked.
    pub silent_connections: Counter,
}

/// All metrics of a relay and the registry that encodes them.
#[derive(Debug)]
pub struct RelayMetrics {
    registry: Registry,
    /// Counters of the attempts at targets.
    pub attempts: AttemptCounters,
    /// Connections from entries that were refused because the limit was reached.
    pub refused_connections: Counter,
}

impl AttemptCounters {
    /// Counts an attempt by its outcome.
    pub fn record_outcome(&self, outcome: AttemptOutcome) {
        let outcome = match outcome {
            AttemptOutcome::Answered => OutcomeLabel::Answered,
            AttemptOutcome::NotRun(_) => OutcomeLabel::NotRun,
            AttemptOutcome::Failed => OutcomeLabel::Failed,
            AttemptOutcome::VersionGone => OutcomeLabel::VersionGone,
            AttemptOutcome::Unknown => OutcomeLabel::Unknown,
        };
        self.by_outcome
            .get_or_create(&AttemptLabels { outcome })
            .inc();
    }
}

impl Default for RelayMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("alderhaven_relay");
        let attempts = AttemptCounters::default();
        registry.register(
            "attempts",
            "Attempts at targets by outcome",
            attempts.by_outcome.clone(),
        );
        registry.register(
            "target_crashes",
            "Deaths of targets' processes with attempts in flight",
            attempts.target_crashes.clone(),
        );
        registry.register(
            "silent_connections",
            "Attempts whose connection was silent while a new one worked",
            attempts.silent_connections.clone(),
        );
        let refused_connections = Counter::default();
        registry.register(
            "refused_connections",
            "Connections refused at the limit",
            refused_connections.clone(),
        );
        Self {
            registry,
            attempts,
            refused_connections,
        }
    }
}

impl RelayMetrics {
    /// Returns the metrics in the `OpenMetrics` text format.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut body = String::new();
        // Writing to a string can't fail.
        let _written = text::encode(&mut body, &self.registry);
        body
    }
}
