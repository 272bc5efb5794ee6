//! The requests, decisions and tickets of admission control.

use alderhaven_core::class::QueryClass;
use alderhaven_core::ids::{ServiceName, TeamId, TemplateName};
use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};

/// A query that asks for admission.
#[derive(Clone, Debug)]
pub struct AdmitRequest {
    /// Query id that the caller assigns; unique within the process.
    pub id: u64,
    /// Team whose limits and weight apply.
    pub team: TeamId,
    /// Service that the query fans out to.
    pub service: ServiceName,
    /// Query template; latencies are estimated for each template.
    pub template: TemplateName,
    /// Priority class that the query asks for.
    pub class: QueryClass,
    /// Number of shards that the query is sent to.
    pub fan_out: u32,
    /// Fingerprint of the template and the canonical parameters; equal queries have equal keys.
    pub key: u64,
    /// Time after which the answer is useless to the caller.
    pub deadline: TimePoint,
}

/// Proof of admission; hand it back with [`crate::admission::AdmissionGate::record_finished`].
#[derive(Clone, Debug)]
pub struct AdmitTicket {
    /// The request as it was offered.
    pub request: AdmitRequest,
    /// Start of the query's latency, which excludes its wait for admission.
    pub admitted_at: TimePoint,
    /// Priority class at the relays: the requested one, or a higher one if the query has aged.
    pub class: QueryClass,
    /// Time by which relays order queries of one class: the admission time, plus a penalty for a
    /// team or key above its fair share.
    ///
    /// The arrival time would let a flood that has waited here overtake others at the relays.
    pub order_at: TimePoint,
    /// Number of attempts that have ended so far.
    pub replied: u32,
}

/// Reason for which admission refused a query.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The team has exceeded its query rate.
    TeamRate,
    /// The team has reached its limit of queries in flight.
    TeamInFlight,
    /// The service is at its capacity, and the wait would be or was too long.
    Overloaded,
    /// The estimated wait and latency exceed the time until the deadline.
    Deadline,
}

/// Final answer to a query that was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Limit that the query ran into.
    pub reason: RefusalReason,
    /// Time after which the caller should retry, with jitter.
    pub retry_after: TimeSpan,
}

/// Decision on an arriving query.
#[derive(Clone, Debug)]
pub enum AdmitDecision {
    /// Run the query now.
    Admit(AdmitTicket),
    /// The query waits until [`crate::admission::AdmissionGate::next_ready`] returns it.
    Queue,
    /// Refuse the query for good.
    Refuse(Refusal),
}

/// Decision on a query that has waited.
#[derive(Clone, Debug)]
pub enum ReadyQuery {
    /// Run the query now.
    Admit(AdmitTicket),
    /// The query has waited for too long.
    Refuse {
        /// Query id as in [`AdmitRequest::id`].
        id: u64,
        /// Final answer to the caller.
        refusal: Refusal,
    },
}
