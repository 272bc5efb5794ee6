//! The metrics of a front.

use std::sync::atomic::Ordering;

use alderhaven_core::config_object::ObjectKind;
use alderhaven_core::time::TimeSpan;
use alderhaven_peer::peer_traffic::{MessageKind, PeerTraffic};
use prometheus_client::encoding::text;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::front_answer::RefusalReason;
use crate::front_event::RequestOutcome;

/// The upper bounds of the latency buckets in seconds: from a lookup in the same domain to the longest
/// patience of a caller.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.02, 0.04, 0.06, 0.1, 0.15, 0.25, 0.5, 1.5, 6.0];

/// A `FrontMetrics` counts what a front does; its clones share the counts.
#[derive(Clone, Debug)]
pub struct FrontMetrics {
    requests: Family<RequestLabels, Counter>,
    request_seconds: Family<ShapeLabels, Histogram>,
    attempts: Family<AttemptLabels, Counter>,
    unanswered_attempts: Family<UnansweredLabels, Counter>,
    store_calls: Family<StoreCallLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    peer_messages: Family<PeerMessageLabels, Counter>,
    peer_bytes: Family<PeerByteLabels, Counter>,
    /// The shards that answers left out.
    pub missing_parts: Counter,
    /// The repeats that the budget refused.
    pub refused_repeats: Counter,
    /// The asks of fronts of other failure domains that were carried out.
    pub served_group_requests: Counter,
    /// The version of the configuration in force.
    pub config_version: Gauge,
    /// The nodes of the group that are alive.
    pub nodes: Gauge,
    /// The failure domains that are evacuated.
    pub evacuated_domains: Gauge,
    /// The log lines that were left out because there were too many of their kind.
    pub omitted_lines: Counter,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RequestLabels {
    end: RequestOutcome,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ShapeLabels {
    shape: QueryShape,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct AttemptLabels {
    kind: AttemptKind,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct UnansweredLabels {
    fate: UnansweredReason,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RefusalLabels {
    reason: RefusalReason,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct PeerMessageLabels {
    kind: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct PeerByteLabels {
    kind: String,
    reach: PeerReach,
}

/// A `PeerReach` says whether a message to a peer stays in the failure domain.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
enum PeerReach {
    Near,
    Far,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct StoreCallLabels {
    kind: String,
    result: StoreCallResult,
}

/// A `QueryShape` says how many services a request went to.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
pub enum QueryShape {
    /// To one.
    Single,
    /// To one for each shard.
    Gathered,
}

/// A `SendKind` says why an attempt was sent.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
pub enum AttemptKind {
    /// It is the first for its shard.
    First,
    /// It is the first for its shard, through a front of another failure domain.
    Relayed,
    /// The first was late.
    Hedge,
    /// An attempt failed.
    Retry,
}

/// An `AttemptFate` is what became of an attempt that brought no answer.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UnansweredReason {
    /// The target ran it and failed.
    Failed,
    /// The target refused without running it.
    NotRun,
    /// Another target has the address.
    WrongTarget,
    /// The target could not be reached.
    Unreachable,
    /// It may have run, and no whole reply came.
    Lost,
    /// The connection to the front that carried it was lost.
    LinkLost,
    /// It was given up since its target's failure domain is silent.
    Silent,
    /// It was still out when the request ended.
    Open,
}

#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
enum StoreCallResult {
    Answered,
    Failed,
}

impl Default for FrontMetrics {
    fn default() -> Self {
        Self {
            requests: Family::default(),
            request_seconds: Family::new_with_constructor(|| Histogram::new(LATENCY_BUCKETS)),
            attempts: Family::default(),
            unanswered_attempts: Family::default(),
            store_calls: Family::default(),
            refusals: Family::default(),
            peer_messages: Family::default(),
            peer_bytes: Family::default(),
            missing_parts: Counter::default(),
            refused_repeats: Counter::default(),
            served_group_requests: Counter::default(),
            config_version: Gauge::default(),
            nodes: Gauge::default(),
            evacuated_domains: Gauge::default(),
            omitted_lines: Counter::default(),
        }
    }
}

impl FrontMetrics {
    /// Counts a request that ended.
    pub fn observe_request(&self, shape: QueryShape, end: RequestOutcome, took: TimeSpan) {
        self.requests.get_or_create(&RequestLabels { end }).inc();
        let seconds = self.request_seconds.get_or_create(&ShapeLabels { shape });
        seconds.observe(took.as_secs_f64());
    }

    /// Counts an attempt that was sent.
    pub fn observe_attempt(&self, kind: AttemptKind) {
        self.attempts.get_or_create(&AttemptLabels { kind }).inc();
    }

    /// Counts an attempt that brought no answer.
    pub fn observe_unanswered_attempt(&self, fate: UnansweredReason) {
        self.unanswered_attempts
            .get_or_create(&UnansweredLabels { fate })
            .inc();
    }

    /// Counts a request that was refused before any target was asked.
    pub fn observe_refusal(&self, reason: RefusalReason) {
        self.refusals.get_or_create(&RefusalLabels { reason }).inc();
    }

    /// Counts a call of the store for objects of a kind.
    pub fn observe_store_call(&self, kind: ObjectKind, is_answered: bool) {
        let result = if is_answered {
            StoreCallResult::Answered
        } else {
            StoreCallResult::Failed
        };
        let kind = kind.to_string();
        let labels = StoreCallLabels { kind, result };
        self.store_calls.get_or_create(&labels).inc();
    }

    /// Takes over what was sent to peers since the start of the process.
    pub fn set_peer_traffic(&self, traffic: &PeerTraffic) {
        for kind in MessageKind::ALL {
            let count = traffic.sent_of(kind);
            let labels = PeerMessageLabels {
                kind: kind.to_string(),
            };
            let messages = self.peer_messages.get_or_create(&labels);
            messages.inner().store(count.messages, Ordering::Relaxed);
            let by_reach = [
                (PeerReach::Near, count.near_bytes),
                (PeerReach::Far, count.far_bytes),
            ];
            for (reach, bytes) in by_reach {
                let labels = PeerByteLabels {
                    kind: kind.to_string(),
                    reach,
                };
                let counter = self.peer_bytes.get_or_create(&labels);
                counter.inner().store(bytes, Ordering::Relaxed);
            }
        }
    }

    /// Writes all metrics in the text format.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing into a string can't fail.
        let _written = text::encode(&mut text, &self.registry());
        text
    }

    /// Registers all metrics. Done for each reading: that is rare, and the counts are shared.
    fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("alderhaven_front");
        let own = self.clone();
        registry.register("requests", "Requests by their end", own.requests);
        registry.register("request_seconds", "Time to the answer", own.request_seconds);
        registry.register("attempts", "Attempts sent, by reason", own.attempts);
        registry.register(
            "lost_attempts",
            "Attempts without answer, by fate",
            own.unanswered_attempts,
        );
        registry.register(
            "store_calls",
            "Calls of the store by kind of object and result",
            own.store_calls,
        );
        registry.register(
            "refusals",
            "Requests refused before any target was asked",
            own.refusals,
        );
        registry.register(
            "peer_messages",
            "Messages sent to peers, by kind",
            own.peer_messages,
        );
        registry.register(
            "peer_bytes",
            "Bytes sent to peers, by kind and by whether they stay in the failure domain",
            own.peer_bytes,
        );
        registry.register(
            "missing_parts",
            "Shards left out of answers",
            own.missing_parts,
        );
        registry.register(
            "refused_repeats",
            "Repeats above the budget",
            own.refused_repeats,
        );
        registry.register(
            "carried_asks",
            "Asks of other fronts carried out",
            own.served_group_requests,
        );
        registry.register(
            "config_version",
            "Configuration in force",
            own.config_version,
        );
        registry.register("nodes", "Nodes of the group that are alive", own.nodes);
        registry.register(
            "evacuated_domains",
            "Failure domains whose targets get no new work",
            own.evacuated_domains,
        );
        registry.register("omitted_log_lines", "Log lines left out", own.omitted_lines);
        registry
    }
}
