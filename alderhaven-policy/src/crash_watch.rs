//! Tracking of the attempts that are in flight at a target when it crashes.

use std::collections::HashMap;
use std::hash::Hash;

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::ShardId;
use alderhaven_core::time::{TimePoint, TimeSpan};
use smallvec::SmallVec;

/// How long an attempt may still run at a target after it was given up without a reply.
const ABANDONED_RUN_TIME: TimeSpan = TimeSpan::from_secs(1);
/// Abandoned attempts kept for a target; the oldest are dropped.
const MAX_ABANDONED: usize = 32;

/// Attempts in flight at one target, and its latest crash incident. `K` identifies an attempt.
///
/// When a target's process crashes, all attempts there lose their connections at about the same
/// time. The first loss records every attempt in flight, and later losses of those attempts belong
/// to the same incident. Otherwise the last one would seem to have run alone.
#[derive(Debug)]
pub struct CrashWatch<K> {
    running: HashMap<K, WatchedAttempt>,
    abandoned: SmallVec<[(WatchedAttempt, TimePoint); 2]>,
    incident: Option<CrashIncident<K>>,
}

/// The request and shard of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatchedAttempt {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The shard that it was sent to.
    pub shard: ShardId,
    /// Whether the request runs on trial.
    pub is_trial: bool,
}

/// One loss of a target, with the attempts that were in flight.
#[derive(Clone, Debug)]
pub struct CrashIncident<K> {
    /// Number that identifies the incident to other processes.
    pub id: u64,
    /// Attempts that were in flight.
    pub attempts: SmallVec<[K; 4]>,
    /// Request and shard of each of those attempts.
    pub in_flight: SmallVec<[(RequestFingerprint, ShardId); 4]>,
    /// The requests among them that ran on trial.
    pub trials: SmallVec<[RequestFingerprint; 1]>,
}

impl<K> Default for CrashWatch<K> {
    fn default() -> Self {
        Self {
            running: HashMap::new(),
            abandoned: SmallVec::new(),
            incident: None,
        }
    }
}

impl<K: Copy + Eq + Hash> CrashWatch<K> {
    /// Adds an attempt that is sent to the target.
    pub fn record_started(&mut self, id: K, attempt: WatchedAttempt) {
        self.running.insert(id, attempt);
    }

    /// Returns `true` if a request runs on trial at the target.
    #[must_use]
    pub fn has_trial(&self) -> bool {
        self.running.values().any(|attempt| attempt.is_trial)
    }

    /// Removes an attempt that has ended, whatever its outcome.
    pub fn record_finished(&mut self, id: K) {
        self.running.remove(&id);
    }

    /// Removes an attempt that was given up without a reply. The target may still run it for a while.
    pub fn record_abandoned(&mut self, id: K, now: TimePoint) {
        self.forget_abandoned(now);
        let Some(attempt) = self.running.remove(&id) else {
            return;
        };
        if self.abandoned.len() == MAX_ABANDONED {
            self.abandoned.remove(0);
        }
        self.abandoned.push((attempt, now));
    }

    /// Returns the incident that an attempt's loss belongs to, and whether it is a new one; a new one
    /// gets `incident_id`.
    pub fn record_loss(
        &mut self,
        id: K,
        incident_id: u64,
        now: TimePoint,
    ) -> (CrashIncident<K>, bool) {
        if let Some(incident) = &self.incident
            && incident.attempts.contains(&id)
        {
            return (incident.clone(), false);
        }
        (self.begin_incident(incident_id, now), true)
    }

    /// Returns a new incident if the target refuses connections and attempts were in flight or
    /// abandoned shortly before. Those of the latest incident are known already.
    pub fn record_refused_connection(
        &mut self,
        incident_id: u64,
        now: TimePoint,
    ) -> Option<CrashIncident<K>> {
        self.forget_abandoned(now);
        let is_known = self.incident.is_some();
        if is_known || self.running.is_empty() && self.abandoned.is_empty() {
            return None;
        }
        Some(self.begin_incident(incident_id, now))
    }

    /// Forgets the latest incident: the target's process is alive.
    pub fn dismiss_incident(&mut self) {
        self.incident = None;
    }

    fn begin_incident(&mut self, id: u64, now: TimePoint) -> CrashIncident<K> {
        self.forget_abandoned(now);
        let abandoned = self.abandoned.drain(..).map(|(attempt, _)| attempt);
        let mut attempts: Vec<WatchedAttempt> = abandoned.collect();
        attempts.extend(self.running.values());
        let trials = attempts.iter().filter(|attempt| attempt.is_trial);
        let incident = CrashIncident {
            id,
            attempts: self.running.keys().copied().collect(),
            in_flight: attempts
                .iter()
                .map(|attempt| (attempt.fingerprint, attempt.shard))
                .collect(),
            trials: trials.map(|attempt| attempt.fingerprint).collect(),
        };
        self.incident = Some(incident.clone());
        incident
    }

    fn forget_abandoned(&mut self, now: TimePoint) {
        self.abandoned
            .retain(|(_, since)| now.since(*since) < ABANDONED_RUN_TIME);
    }
}
