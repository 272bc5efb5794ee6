//! What a query brings to its admission, and what may be decided on it.

use alderhaven_core::class::QueryClass;
use alderhaven_core::ids::{ServiceName, TeamId, TemplateName};
use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};

/// An `AdmitRequest` is a query that asks for admission.
#[derive(Clone, Debug)]
pub struct AdmitRequest {
    /// The caller's number for the query, unique within the process.
    pub id: u64,
    /// The team.
    pub team: TeamId,
    /// The service.
    pub service: ServiceName,
    /// The template.
    pub template: TemplateName,
    /// The class.
    pub class: QueryClass,
    /// The number of shards that it asks.
    pub fan_out: u32,
    /// The fingerprint of template and canonical parameters.
    pub key: u64,
    /// When its answer is of no more use.
    pub deadline: TimePoint,
}

/// An `AdmitTicket` stands for an admitted query until it is handed back.
#[derive(Clone, Debug)]
pub struct AdmitTicket {
    /// The query.
    pub request: AdmitRequest,
    /// When it was admitted.
    pub admitted_at: TimePoint,
    /// The class that the relays order it by: its own, or a higher one after it has aged.
    pub class: QueryClass,
    /// The time by which the relays order it: its admission, or later for a team or key above its
    /// share. It counts from the admission, since a flood that has waited here would else be ahead
    /// of others at the relays.
    pub order_at: TimePoint,
    /// How many of its attempts have ended.
    pub replied: u32,
}

/// A `RefusalReason` says why a query was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The team's rate is used up.
    TeamRate,
    /// The team has as many queries in flight as it may.
    TeamInFlight,
    /// The service is full, and the wait would be too long.
    Overloaded,
    /// The query can't be answered before its deadline.
    Deadline,
}

/// A `Refusal` is the final answer to a query that did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// After which time the caller should come back.
    pub retry_after: TimeSpan,
}

/// An `AdmitDecision` says what becomes of a query on its arrival.
#[derive(Clone, Debug)]
pub enum AdmitDecision {
    /// It runs now.
    Admit(AdmitTicket),
    /// It waits; [`crate::admission::AdmissionGate::next_ready`] will name it.
    Queue,
    /// It is refused for good.
    Refuse(Refusal),
}

/// A `ReadyQuery` is a query that has waited and now has its decision.
#[derive(Clone, Debug)]
pub enum ReadyQuery {
    /// It runs now.
    Admit(AdmitTicket),
    /// It is given up on.
    Refuse {
        /// The query's number.
        id: u64,
        /// Its final answer.
        refusal: Refusal,
    },
}
