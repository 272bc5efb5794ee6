//! Metrics of an entry.

use alderhaven_core::class::QueryClass;
use alderhaven_core::outcome::QueryOutcome;
use alderhaven_intake::intake_metrics::IntakeMetrics;
use prometheus_client::encoding::text;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use crate::answer::ErrorCode;
use crate::claim_metrics::ClaimMetrics;

/// Upper bounds of the latency histogram's buckets, in seconds; 0.37 s is the goal for p99.
const LATENCY_BUCKETS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.37, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// Labels of the query metrics. All values come from closed sets.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct QueryLabels {
    class: ClassLabel,
    outcome: OutcomeLabel,
}

#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
enum ClassLabel {
    Urgent,
    Ordinary,
    Bulk,
}

#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
enum OutcomeLabel {
    Complete,
    Partial,
    Refused,
    Failed,
    Unknown,
}

/// Label of the error counter, from a closed set.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ErrorLabels {
    code: ErrorCode,
}

/// Counters, gauges and histograms of an entry.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    queries: Family<QueryLabels, Counter>,
    latency: Family<QueryLabels, Histogram>,
    errors: Family<ErrorLabels, Counter>,
    /// Caller connections refused because the limit was reached.
    pub refused_connections: Counter,
    /// Queries that have arrived and aren't answered yet.
    pub in_flight: Gauge,
    /// Attempts started, including hedges and retries.
    pub attempts: Counter,
    /// Attempts started as hedges.
    pub hedges: Counter,
    /// Attempts started as retries, after an earlier attempt at the same shard ended.
    pub retries: Counter,
    /// Ejections of targets after consecutive failures.
    pub ejections: Counter,
    /// Replies that matched no attempt in flight.
    pub stray_replies: Counter,
    /// Queries refused because their request crashed targets.
    pub quarantined_queries: Counter,
    /// Relay connections replaced because they were silent.
    pub silent_links: Counter,
    /// Queries restarted on a newer snapshot.
    pub snapshot_restarts: Counter,
    /// The bytes held for callers, and their connections.
    pub intake: IntakeMetrics,
    /// Metrics of the claim ledger.
    pub claims: ClaimMetrics,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("alderhaven_entry");
        let queries = Family::default();
        let latency = Family::<QueryLabels, Histogram>::new_with_constructor(|| {
            Histogram::new(LATENCY_BUCKETS)
        });
        registry.register("queries", "Queries by class and outcome", queries.clone());
        registry.register_with_unit(
            "query_latency",
            "Time from a query's arrival to its answer",
            Unit::Seconds,
            latency.clone(),
        );
        let metrics = Self {
            registry: Registry::default(),
            queries,
            latency,
            errors: Family::default(),
            refused_connections: Counter::default(),
            in_flight: Gauge::default(),
            attempts: Counter::default(),
            hedges: Counter::default(),
            retries: Counter::default(),
            ejections: Counter::default(),
            stray_replies: Counter::default(),
            quarantined_queries: Counter::default(),
            silent_links: Counter::default(),
            snapshot_restarts: Counter::default(),
            intake: IntakeMetrics::default(),
            claims: ClaimMetrics::default(),
        };
        let intake = registry.sub_registry_with_prefix("intake");
        metrics.intake.register(intake);
        registry.register(
            "queries_in_flight",
            "Queries between arrival and answer",
            metrics.in_flight.clone(),
        );
        registry.register(
            "errors",
            "Requests answered with an error, by its code",
            metrics.errors.clone(),
        );
        let counters = [
            (
                "refused_connections",
                "Connections refused at the limit",
                &metrics.refused_connections,
            ),
            ("attempts", "Attempts begun", &metrics.attempts),
            ("hedges", "Attempts begun as hedges", &metrics.hedges),
            ("retries", "Attempts begun as retries", &metrics.retries),
            ("ejections", "Targets ejected", &metrics.ejections),
            (
                "stray_replies",
                "Replies that belonged to no attempt under way",
                &metrics.stray_replies,
            ),
            (
                "quarantined_queries",
                "Queries refused because they crashed targets",
                &metrics.quarantined_queries,
            ),
            (
                "silent_links",
                "Links to relays replaced because they were silent",
                &metrics.silent_links,
            ),
            (
                "snapshot_restarts",
                "Queries restarted on a newer snapshot",
                &metrics.snapshot_restarts,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        metrics.claims.register(&mut registry);
        Self {
            registry,
            ..metrics
        }
    }
}

impl EntryMetrics {
    /// Counts a finished query and records its latency in seconds.
    pub fn observe_query(&self, class: QueryClass, outcome: QueryOutcome, seconds: f64) {
        let labels = QueryLabels {
            class: class.into(),
            outcome: outcome.into(),
        };
        self.queries.get_or_create(&labels).inc();
        self.latency.get_or_create(&labels).observe(seconds);
    }

    /// Counts a request that was answered with an error.
    pub fn observe_error(&self, code: ErrorCode) {
        self.errors.get_or_create(&ErrorLabels { code }).inc();
    }

    /// Encodes the metrics in the `OpenMetrics` text format.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut body = String::new();
        // Writing to a `String` can't fail.
        let _written = text::encode(&mut body, &self.registry);
        body
    }
}

impl From<QueryClass> for ClassLabel {
    fn from(class: QueryClass) -> Self {
        match class {
            QueryClass::Urgent => Self::Urgent,
            QueryClass::Ordinary => Self::Ordinary,
            QueryClass::Bulk => Self::Bulk,
        }
    }
}

impl From<QueryOutcome> for OutcomeLabel {
    fn from(outcome: QueryOutcome) -> Self {
        match outcome {
            QueryOutcome::Complete => Self::Complete,
            QueryOutcome::Partial => Self::Partial,
            QueryOutcome::Refused => Self::Refused,
            QueryOutcome::Failed => Self::Failed,
            QueryOutcome::Unknown => Self::Unknown,
        }
    }
}
