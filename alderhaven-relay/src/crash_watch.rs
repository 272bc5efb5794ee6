//! Tracking of the attempts that are in flight at a target when it crashes.

use std::collections::HashMap;

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::{AttemptId, ShardId};
use smallvec::SmallVec;

/// Attempts in flight at one target, and its latest crash incident.
///
/// When a target's process crashes, all attempts there lose their connections at about the same
/// time. The first loss records every attempt in flight, and later losses of those attempts belong
/// to the same incident. Otherwise the last one would seem to have run alone.
#[derive(Debug, Default)]
pub struct CrashWatch {
    running: HashMap<AttemptId, (RequestFingerprint, ShardId)>,
    incident: Option<CrashIncident>,
}

/// One loss of a target, with the attempts that were in flight.
#[derive(Clone, Debug)]
pub struct CrashIncident {
    /// Random number that identifies the incident to other processes.
    pub id: u64,
    /// Attempts that were in flight.
    pub attempts: SmallVec<[AttemptId; 4]>,
    /// Request and shard of each of those attempts.
    pub in_flight: SmallVec<[(RequestFingerprint, ShardId); 4]>,
}

impl CrashWatch {
    /// Adds an attempt that is sent to the target.
    pub fn record_started(
        &mut self,
        attempt: AttemptId,
        fingerprint: RequestFingerprint,
        shard: ShardId,
    ) {
        self.running.insert(attempt, (fingerprint, shard));
    }

    /// Removes an attempt that has ended, whatever its outcome.
    pub fn record_finished(&mut self, attempt: AttemptId) {
        self.running.remove(&attempt);
    }

    /// Returns the incident that an attempt's loss belongs to; a new one gets `incident_id`.
    pub fn record_loss(&mut self, attempt: AttemptId, incident_id: u64) -> CrashIncident {
        if let Some(incident) = &self.incident
            && incident.attempts.contains(&attempt)
        {
            return incident.clone();
        }
        let incident = CrashIncident {
            id: incident_id,
            attempts: self.running.keys().copied().collect(),
            in_flight: self.running.values().copied().collect(),
        };
        self.incident = Some(incident.clone());
        incident
    }
}
