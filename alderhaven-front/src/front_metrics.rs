//! Prometheus metrics of a front.

use std::sync::atomic::Ordering;

use alderhaven_core::config_object::ObjectKind;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_intake::intake_metrics::IntakeMetrics;
use alderhaven_peer::peer_traffic::{MessageKind, PeerTraffic};
use prometheus_client::encoding::text;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::credit_metrics::CreditMetrics;
use crate::front_answer::RefusalReason;
use crate::front_event::RequestOutcome;
use crate::team_metrics::TeamMetrics;

/// The upper bounds of the latency buckets in seconds, from a lookup within a failure domain to
/// the longest request deadline.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.02, 0.04, 0.06, 0.1, 0.15, 0.25, 0.5, 1.5, 6.0];

/// Largest rank with a series of its own, which bounds the number of series.
const MAX_RANK_LABEL: u32 = 7;

/// The metrics of a process; clones share their values.
#[derive(Clone, Debug)]
pub struct FrontMetrics {
    requests: Family<RequestLabels, Counter>,
    request_seconds: Family<ShapeLabels, Histogram>,
    attempts: Family<AttemptLabels, Counter>,
    unanswered_attempts: Family<UnansweredLabels, Counter>,
    store_calls: Family<StoreCallLabels, Counter>,
    store_revision: Family<ObjectKindLabels, Gauge>,
    older_objects: Family<ObjectKindLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    admissions: Family<AdmissionLabels, Counter>,
    peer_messages: Family<PeerMessageLabels, Counter>,
    peer_bytes: Family<PeerByteLabels, Counter>,
    /// Requests and refusals by team.
    pub teams: TeamMetrics,
    /// Shards without a reply in answers.
    pub missing_parts: Counter,
    /// Hedges and retries that the budget refused.
    pub refused_repeats: Counter,
    /// Group requests of other fronts that were served.
    pub served_group_requests: Counter,
    /// The configuration version in force.
    pub config_version: Gauge,
    /// The latest era of the store that this process has seen.
    pub store_era: Gauge,
    /// The live nodes of the group.
    pub nodes: Gauge,
    /// The evacuated failure domains.
    pub evacuated_domains: Gauge,
    /// The age of the proof of the configuration in milliseconds; -1 without one.
    pub lease_proof_age: Gauge,
    /// Queries for proofs that were sent to other fronts.
    pub lease_queries: Counter,
    /// Replies to these queries.
    pub lease_answers: Counter,
    /// Queries of other fronts that were answered.
    pub lease_replies: Counter,
    /// Lists of the store for the lease.
    pub lease_lists: Counter,
    /// The limits of teams.
    pub credit: CreditMetrics,
    /// The bytes held and the open connections.
    pub intake: IntakeMetrics,
    /// Log lines that the rate limit suppressed.
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
struct AdmissionLabels {
    rank: u32,
    result: AdmissionResult,
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

/// Whether a peer message stays within the failure domain.
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

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ObjectKindLabels {
    kind: String,
}

/// How many services a request queries.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
pub enum QueryShape {
    /// One service.
    Single,
    /// One service for each shard.
    Gathered,
}

/// What admission decided on a query.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
pub enum AdmissionResult {
    /// Admitted on arrival.
    Admitted,
    /// Admitted after a wait.
    Waited,
    /// Refused: the wait would be too long.
    NoRoom,
    /// Refused: a query of a better rank took its place.
    Outranked,
    /// Refused: it waited for the longest time allowed.
    WaitOver,
}

/// Why an attempt was sent.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
pub enum AttemptKind {
    /// First attempt for its shard, sent directly.
    First,
    /// First attempt for its shard, sent through a front in another failure domain.
    Relayed,
    /// Sent because the first attempt is late.
    Hedge,
    /// Sent after an attempt failed.
    Retry,
}

/// Why an attempt brought no answer.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UnansweredReason {
    /// The target ran it and failed.
    Failed,
    /// The target refused without running it.
    NotRun,
    /// Another target has the address.
    WrongTarget,
    /// The target was unreachable.
    Unreachable,
    /// It may have run, but no complete reply arrived.
    Lost,
    /// The connection to the relaying front broke.
    LinkLost,
    /// It was abandoned, because its target's failure domain is silent.
    Silent,
    /// It was in flight when the request ended.
    Open,
    /// The relaying front refused it, because the request is quarantined.
    Quarantined,
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
            store_revision: Family::default(),
            older_objects: Family::default(),
            refusals: Family::default(),
            admissions: Family::default(),
            peer_messages: Family::default(),
            peer_bytes: Family::default(),
            teams: TeamMetrics::default(),
            missing_parts: Counter::default(),
            refused_repeats: Counter::default(),
            served_group_requests: Counter::default(),
            config_version: Gauge::default(),
            store_era: Gauge::default(),
            nodes: Gauge::default(),
            evacuated_domains: Gauge::default(),
            lease_proof_age: Gauge::default(),
            lease_queries: Counter::default(),
            lease_answers: Counter::default(),
            lease_replies: Counter::default(),
            lease_lists: Counter::default(),
            credit: CreditMetrics::default(),
            intake: IntakeMetrics::default(),
            omitted_lines: Counter::default(),
        }
    }
}

impl FrontMetrics {
    /// Counts a finished request and records its latency.
    pub fn observe_request(&self, shape: QueryShape, end: RequestOutcome, took: TimeSpan) {
        self.requests.get_or_create(&RequestLabels { end }).inc();
        let seconds = self.request_seconds.get_or_create(&ShapeLabels { shape });
        seconds.observe(took.as_secs_f64());
    }

    /// Counts a sent attempt.
    pub fn observe_attempt(&self, kind: AttemptKind) {
        self.attempts.get_or_create(&AttemptLabels { kind }).inc();
    }

    /// Counts an attempt without an answer.
    pub fn observe_unanswered_attempt(&self, fate: UnansweredReason) {
        self.unanswered_attempts
            .get_or_create(&UnansweredLabels { fate })
            .inc();
    }

    /// Counts a request that was refused before any target was tried.
    pub fn observe_refusal(&self, reason: RefusalReason) {
        self.refusals.get_or_create(&RefusalLabels { reason }).inc();
    }

    /// Counts a decision of admission. Ranks from 7 on are counted together.
    pub fn observe_admission(&self, rank: u32, result: AdmissionResult) {
        let rank = rank.min(MAX_RANK_LABEL);
        let labels = AdmissionLabels { rank, result };
        self.admissions.get_or_create(&labels).inc();
    }

    /// Counts a store call by kind of object.
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

    /// Records the state of the store in an answer, and how many of its objects were ignored because
    /// newer ones are known.
    pub fn observe_store_answer(
        &self,
        kind: ObjectKind,
        revision: StoreVersion,
        older_objects: usize,
    ) {
        let kind = kind.to_string();
        let labels = ObjectKindLabels { kind };
        self.store_era.set(gauge_value(revision.era.0));
        let gauge = self.store_revision.get_or_create(&labels);
        gauge.set(gauge_value(revision.revision));
        let counter = self.older_objects.get_or_create(&labels);
        counter.inc_by(older_objects as u64);
    }

    /// Sets the peer counters to the totals since the start of the process.
    pub fn set_peer_traffic(&self, traffic: &PeerTraffic) {
        for kind in MessageKind::ALL {
            let count = traffic.sent_traffic(kind);
            let labels = PeerMessageLabels {
                kind: kind.to_string(),
            };
            let messages = self.peer_messages.get_or_create(&labels);
            messages.inner().store(count.messages, Ordering::Relaxed);
            let by_reach = [
                (PeerReach::Near, count.own_domain_bytes),
                (PeerReach::Far, count.cross_domain_bytes),
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

    /// Encodes all metrics in the Prometheus text format.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing into a string can't fail.
        let _written = text::encode(&mut text, &self.registry());
        text
    }

    /// Registers all metrics in a new registry, as needed for each scrape.
    fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("alderhaven_front");
        let own = self.clone();
        own.credit.register(&mut registry);
        own.intake.register(&mut registry);
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
            "store_revision",
            "Revision of the store in its latest answer, by kind of object",
            own.store_revision,
        );
        registry.register(
            "older_objects",
            "Objects of the store that were ignored because newer ones are known",
            own.older_objects,
        );
        registry.register("store_era", "Latest era of the store", own.store_era);
        registry.register(
            "refusals",
            "Requests refused before any target was asked",
            own.refusals,
        );
        own.teams.register(&mut registry);
        registry.register(
            "admissions",
            "Decisions of admission by rank and result",
            own.admissions,
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
        self.register_lease(&mut registry);
        registry
    }

    fn register_lease(&self, registry: &mut Registry) {
        let own = self.clone();
        registry.register(
            "lease_proof_age_ms",
            "Age of the proof that the configuration is the newest; -1 without one",
            own.lease_proof_age,
        );
        registry.register(
            "lease_queries",
            "Queries for proofs, sent to other fronts",
            own.lease_queries,
        );
        registry.register(
            "lease_answers",
            "Queries for proofs that other fronts answered",
            own.lease_answers,
        );
        registry.register(
            "lease_replies",
            "Queries of other fronts that were answered",
            own.lease_replies,
        );
        registry.register(
            "lease_lists",
            "Lists of the store for the lease",
            own.lease_lists,
        );
    }
}

/// Converts a number for a gauge; numbers beyond its range become its maximum.
fn gauge_value(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
