//! What callers, targets and the operator of a run saw, in the order in which they saw it.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_platform_standin::store_fixtures;
use alderhaven_platform_standin::store_standin::StoreStandin;
use bytes::Bytes;
use serde::Serialize;
use serde_json::json;

use crate::soak_workload::{RequestKind, ShardSet};

/// A `SoakHistory` is all that was seen in a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SoakHistory {
    /// Callers' requests by their ids.
    pub requests: BTreeMap<String, RequestRecord>,
    /// Requests that reached targets.
    pub arrivals: Vec<ArrivalRecord>,
    /// Configurations that the store accepted.
    pub configs: Vec<ConfigRecord>,
    /// Targets that said that they leave, with the time at which the store accepted it.
    #[serde(rename = "leavings")]
    pub leaving_targets: Vec<(String, TimePoint)>,
    /// The failure domains that the operator evacuated.
    pub evacuations: Vec<EvacuationRecord>,
    /// What was disturbed, and when.
    #[serde(rename = "troubles")]
    pub disruptions: Vec<DisruptionRecord>,
    /// The fronts' processes.
    #[serde(rename = "lives")]
    pub processes: Vec<ProcessRecord>,
}

/// A `RequestRecord` is a caller's request and what became of it.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct RequestRecord {
    /// What was asked.
    pub kind: RequestKind,
    /// The host of the front that was asked.
    pub front: IpAddr,
    /// When it was sent.
    #[serde(rename = "sent")]
    pub sent_at: TimePoint,
    /// How long its caller waits.
    #[serde(rename = "patience")]
    pub timeout: TimeSpan,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The body, which is left out of the logs.
    #[serde(skip)]
    pub body: Bytes,
    /// Its end; none while it is under way.
    pub end: Option<RequestEnd>,
}

/// A `RequestEnd` is when and how a request ended for its caller.
#[derive(Clone, Debug, Serialize)]
pub struct RequestEnd {
    /// When.
    pub at: TimePoint,
    /// How.
    pub outcome: RequestOutcome,
}

/// A `RequestOutcome` is what a caller saw at the end of a request.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// A whole answer.
    Answered(AnswerRecord),
    /// The connection ended without one.
    Closed,
    /// The caller closed the connection early.
    #[serde(rename = "left")]
    Abandoned,
    /// Nothing came for longer than the caller waits.
    Unanswered,
}

/// An `AnswerRecord` is a whole answer.
#[derive(Clone, Debug, Serialize)]
pub struct AnswerRecord {
    /// The status.
    pub status: u16,
    /// Whether it promises that the request has not run and never will.
    pub is_refusal: bool,
    /// The digests of the parts of a merged answer.
    pub part_proofs: Vec<String>,
    /// The digest of an answer that was passed through.
    pub proof: String,
    /// The shards that are left out.
    pub missing: usize,
    /// The body, which is left out of the logs.
    #[serde(skip)]
    pub body: Bytes,
}

impl AnswerRecord {
    /// Returns true where it is a success.
    #[must_use]
    pub const fn is_success(&self) -> bool {
        self.status >= 200 && self.status < 300
    }
}

/// An `ArrivalRecord` is a request that reached a target.
#[derive(Clone, Debug, Serialize)]
pub struct ArrivalRecord {
    /// When.
    pub at: TimePoint,
    /// The target.
    pub target: String,
    /// Its service.
    pub service: String,
    /// The caller's id.
    pub request_id: String,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The body, which is left out of the logs.
    #[serde(skip)]
    pub body: Bytes,
    /// How much longer the sender waits.
    pub time_left: Option<TimeSpan>,
    /// Whether the target ran it.
    pub is_run: bool,
    /// Whether the target answers it whole.
    pub is_answered: bool,
}

/// A `ConfigRecord` is a configuration that the store accepted.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigRecord {
    /// Its version.
    pub version: u64,
    /// When it was accepted.
    #[serde(rename = "acked")]
    pub accepted_at: TimePoint,
    /// The shards that are asked.
    pub shards: ShardSet,
    /// The versions whose own routes it holds.
    #[serde(rename = "marks")]
    pub version_routes: Vec<u64>,
}

/// An `EvacuationRecord` is a failure domain whose targets were to get nothing new.
#[derive(Clone, Debug, Serialize)]
pub struct EvacuationRecord {
    /// The failure domain.
    pub domain: String,
    /// When the store accepted it.
    #[serde(rename = "acked")]
    pub accepted_at: TimePoint,
    /// When it was taken back; none while it is in force.
    #[serde(rename = "taken_back")]
    pub revoked_at: Option<TimePoint>,
}

/// A `TroubleSubject` is what a disturbance touches.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DisruptionSubject {
    /// The process of a front, or its way to the store.
    Front(IpAddr),
    /// The store.
    Store,
    /// A target or the way to it.
    Target(String),
    /// The machine that runs all of this did not keep up.
    Machine,
}

/// A `TroubleRecord` is one disturbance.
#[derive(Clone, Debug, Serialize)]
pub struct DisruptionRecord {
    /// What is disturbed.
    pub subject: DisruptionSubject,
    /// What is done to it.
    #[serde(rename = "what")]
    pub kind: String,
    /// From when.
    pub from: TimePoint,
    /// Until when; none while it goes on.
    pub until: Option<TimePoint>,
}

/// A `FrontLife` is one process of a front.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessRecord {
    /// The host.
    pub front: IpAddr,
    /// When it was started.
    #[serde(rename = "started")]
    pub started_at: TimePoint,
    /// When it was asked to stop.
    #[serde(rename = "asked_to_stop")]
    pub stop_requested_at: Option<TimePoint>,
    /// Whether it was killed.
    pub is_killed: bool,
    /// When it ended.
    #[serde(rename = "ended")]
    pub ended_at: Option<TimePoint>,
}

/// A `HistoryLog` is the history of a run that goes on; its clones share it.
#[derive(Clone, Debug, Default)]
pub struct HistoryLog {
    clock: ProcessClock,
    history: Arc<Mutex<SoakHistory>>,
}

impl HistoryLog {
    /// Gets the time now.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Gets the history so far, to read or to add to.
    pub fn lock(&self) -> MutexGuard<'_, SoakHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a disturbance begins; gets its place for [`Self::end_trouble`].
    #[must_use]
    pub fn begin_disruption(&self, subject: DisruptionSubject, kind: &str) -> usize {
        let from = self.now();
        let mut history = self.lock();
        history.disruptions.push(DisruptionRecord {
            subject,
            kind: kind.to_owned(),
            from,
            until: None,
        });
        history.disruptions.len() - 1
    }

    /// Notes that a disturbance is over.
    pub fn end_disruption(&self, index: usize) {
        let now = self.now();
        if let Some(disruption) = self.lock().disruptions.get_mut(index) {
            disruption.until = Some(now);
        }
    }

    /// Has a failure domain evacuated; gets its place for [`Self::end_evacuation`].
    #[must_use]
    pub fn begin_evacuation(&self, store: &StoreStandin, domain: &str) -> usize {
        // The lock is held while the store takes it, as for a configuration.
        let mut history = self.lock();
        store.put(store_fixtures::EVACUATION_KIND, domain, json!({}));
        history.evacuations.push(EvacuationRecord {
            domain: domain.to_owned(),
            accepted_at: self.now(),
            revoked_at: None,
        });
        history.evacuations.len() - 1
    }

    /// Takes an evacuation back.
    pub fn end_evacuation(&self, store: &StoreStandin, index: usize) {
        let mut history = self.lock();
        let now = self.now();
        if let Some(evacuation) = history.evacuations.get_mut(index) {
            evacuation.revoked_at = Some(now);
            store.remove(store_fixtures::EVACUATION_KIND, &evacuation.domain);
        }
    }

    /// Notes a disturbance of a moment.
    pub fn record_disruption(&self, subject: DisruptionSubject, kind: &str) {
        let index = self.begin_disruption(subject, kind);
        self.end_disruption(index);
    }
}
