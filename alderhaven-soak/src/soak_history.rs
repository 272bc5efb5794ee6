//! The history of a run: events as callers, targets, the operator and the fault injection recorded
//! them.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_platform_standin::store_fixtures;
use alderhaven_platform_standin::store_standin::StoreStandin;
use alderhaven_platform_standin::team_bounds::TeamBounds;
use bytes::Bytes;
use serde::Serialize;
use serde_json::json;

use crate::caller_credential::CallerCredential;
use crate::soak_team::SoakTeam;
use crate::soak_workload::{RequestKind, ShardSet};

/// The kind of disruption in which the store comes back from an older copy.
pub const RESTORE_KIND: &str = "restored";

/// All recorded events of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SoakHistory {
    /// Callers' requests by request id.
    pub requests: BTreeMap<String, RequestRecord>,
    /// Requests that reached targets, in order of arrival.
    pub arrivals: Vec<ArrivalRecord>,
    /// Configurations that the store accepted, oldest first.
    pub configs: Vec<ConfigRecord>,
    /// The ids of targets that reported that they are leaving, with the time when the store
    /// accepted it.
    #[serde(rename = "leavings")]
    pub leaving_targets: Vec<(String, TimePoint)>,
    /// Evacuations of failure domains.
    pub evacuations: Vec<EvacuationRecord>,
    /// Disruptions by injected faults and stalls of the machine.
    #[serde(rename = "troubles")]
    pub disruptions: Vec<DisruptionRecord>,
    /// The processes of all fronts, in order of their start.
    #[serde(rename = "lives")]
    pub processes: Vec<ProcessRecord>,
    /// The settings that concern teams; `None` in a run without teams.
    pub team_bounds: Option<TeamBounds>,
    /// The index of the team whose requests nearly all callers send at present.
    #[serde(skip)]
    pub surging_team: Option<usize>,
}

/// A caller's request and its outcome.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct RequestRecord {
    /// The kind of request.
    pub kind: RequestKind,
    /// The address of the front's host.
    pub front: IpAddr,
    /// When the caller sent it.
    #[serde(rename = "sent")]
    pub sent_at: TimePoint,
    /// The timeout that the caller announced.
    #[serde(rename = "patience")]
    pub timeout: TimeSpan,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The body; not serialized.
    #[serde(skip)]
    pub body: Bytes,
    /// What the caller stated about itself.
    pub credential: CallerCredential,
    /// The outcome; `None` while the request is in flight.
    pub end: Option<RequestEnd>,
}

/// The time and outcome of a request's end, as its caller saw it.
#[derive(Clone, Debug, Serialize)]
pub struct RequestEnd {
    /// When the request ended.
    pub at: TimePoint,
    /// How the request ended.
    pub outcome: RequestOutcome,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The caller received a whole answer.
    Answered(AnswerRecord),
    /// The connection was closed before a whole answer arrived.
    Closed,
    /// The caller closed the connection early.
    #[serde(rename = "left")]
    Abandoned,
    /// No answer arrived within the timeout and the extra time that the caller waits for late
    /// answers.
    Unanswered,
}

/// An answer that a caller received whole.
#[derive(Clone, Debug, Serialize)]
pub struct AnswerRecord {
    /// The HTTP status.
    pub status: u16,
    /// Whether it states that the request has not run and never will.
    pub is_refusal: bool,
    /// The proofs of the parts of a merged answer, one per shard.
    pub part_proofs: Vec<String>,
    /// The proof of an answer that was forwarded unmerged; empty if there is none.
    pub proof: String,
    /// The number of shards that the answer declares missing.
    pub missing: usize,
    /// When the caller may send the request again, if the answer says so.
    pub retry_after: Option<TimeSpan>,
    /// The body; not serialized.
    #[serde(skip)]
    pub body: Bytes,
}

impl RequestRecord {
    /// Returns the status of the answer, if there was one.
    #[must_use]
    pub fn status(&self) -> Option<u16> {
        match &self.end.as_ref()?.outcome {
            RequestOutcome::Answered(answer) => Some(answer.status),
            RequestOutcome::Closed | RequestOutcome::Abandoned | RequestOutcome::Unanswered => None,
        }
    }
}

impl ConfigRecord {
    /// Returns the team that a key identifies under this configuration.
    #[must_use]
    pub fn team_of(&self, key: &str) -> Option<&SoakTeam> {
        let holds_key = |team: &&SoakTeam| team.keys.iter().any(|held| held == key);
        self.teams.iter().find(holds_key)
    }
}

impl AnswerRecord {
    /// Returns true if the status is 2xx.
    #[must_use]
    pub const fn is_success(&self) -> bool {
        self.status >= 200 && self.status < 300
    }
}

/// A request that reached a target.
#[derive(Clone, Debug, Serialize)]
pub struct ArrivalRecord {
    /// When it arrived.
    pub at: TimePoint,
    /// The target's id.
    pub target: String,
    /// The target's service.
    pub service: String,
    /// The id that the caller gave to the request.
    pub request_id: String,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The body; not serialized.
    #[serde(skip)]
    pub body: Bytes,
    /// The values of the team headers.
    pub teams: Vec<String>,
    /// Whether any header had a key, or there was an `Authorization` header.
    pub has_key: bool,
    /// The remaining time that the front told the target; `None` if it told none.
    pub time_left: Option<TimeSpan>,
    /// Whether the target runs the request.
    pub is_run: bool,
    /// Whether the target sends a whole answer.
    pub is_answered: bool,
}

/// A configuration that the store accepted.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigRecord {
    /// The version; versions grow, with gaps.
    pub version: u64,
    /// When the store accepted it.
    #[serde(rename = "acked")]
    pub accepted_at: TimePoint,
    /// The shards over which queries fan out.
    pub shards: ShardSet,
    /// The versions whose routes it contains.
    #[serde(rename = "marks")]
    pub version_routes: Vec<u64>,
    /// The teams.
    pub teams: Vec<SoakTeam>,
}

/// An evacuation of a failure domain, whose targets must get no new requests.
#[derive(Clone, Debug, Serialize)]
pub struct EvacuationRecord {
    /// The failure domain.
    pub domain: String,
    /// When the store accepted it.
    #[serde(rename = "acked")]
    pub accepted_at: TimePoint,
    /// When it was revoked; `None` while it is in force.
    #[serde(rename = "taken_back")]
    pub revoked_at: Option<TimePoint>,
}

/// The part of the system that a disruption affects.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DisruptionSubject {
    /// The front on this host: its process or its link to the store.
    Front(IpAddr),
    /// The store for all of its clients.
    Store,
    /// The target with this id, or the link to it.
    Target(String),
    /// The whole machine, which stalled.
    Machine,
}

/// A period of disruption.
#[derive(Clone, Debug, Serialize)]
pub struct DisruptionRecord {
    /// The affected part of the system.
    pub subject: DisruptionSubject,
    /// A short description of the disruption.
    #[serde(rename = "what")]
    pub kind: String,
    /// When it began.
    pub from: TimePoint,
    /// When it ended; `None` while it lasts.
    pub until: Option<TimePoint>,
}

/// The lifetime of one process of a front.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessRecord {
    /// The address of the front's host.
    pub front: IpAddr,
    /// When it was started.
    #[serde(rename = "started")]
    pub started_at: TimePoint,
    /// When it was first sent SIGTERM.
    #[serde(rename = "asked_to_stop")]
    pub stop_requested_at: Option<TimePoint>,
    /// Whether it was sent SIGKILL.
    pub is_killed: bool,
    /// When its end was noticed.
    #[serde(rename = "ended")]
    pub ended_at: Option<TimePoint>,
}

/// The history of a run in progress. Clones share the history and its clock.
#[derive(Clone, Debug, Default)]
pub struct HistoryLog {
    clock: ProcessClock,
    history: Arc<Mutex<SoakHistory>>,
}

impl HistoryLog {
    /// Returns the time since the log was created, as a point on the history's clock.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Locks the history for reading or appending.
    pub fn lock(&self) -> MutexGuard<'_, SoakHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of a disruption; returns its index for [`Self::end_disruption`].
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

    /// Records the end of a disruption.
    pub fn end_disruption(&self, index: usize) {
        let now = self.now();
        if let Some(disruption) = self.lock().disruptions.get_mut(index) {
            disruption.until = Some(now);
        }
    }

    /// Evacuates a failure domain through the store; returns the index for
    /// [`Self::end_evacuation`].
    #[must_use]
    pub fn begin_evacuation(&self, store: &StoreStandin, domain: &str) -> usize {
        // Locked across the write, so that no effect is recorded before the evacuation itself.
        let mut history = self.lock();
        store.put(store_fixtures::EVACUATION_KIND, domain, json!({}));
        history.evacuations.push(EvacuationRecord {
            domain: domain.to_owned(),
            accepted_at: self.now(),
            revoked_at: None,
        });
        history.evacuations.len() - 1
    }

    /// Revokes an evacuation through the store.
    pub fn end_evacuation(&self, store: &StoreStandin, index: usize) {
        let mut history = self.lock();
        let now = self.now();
        if let Some(evacuation) = history.evacuations.get_mut(index) {
            evacuation.revoked_at = Some(now);
            store.remove(store_fixtures::EVACUATION_KIND, &evacuation.domain);
        }
    }

    /// Records a momentary disruption.
    pub fn record_disruption(&self, subject: DisruptionSubject, kind: &str) {
        let index = self.begin_disruption(subject, kind);
        self.end_disruption(index);
    }
}
