//! What was in flight at a target at the moment that it was lost.

use std::collections::HashMap;

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::{AttemptId, ShardId};
use smallvec::SmallVec;

/// A `CrashWatch` knows the attempts at one target.
///
/// All attempts at a target lose their connections at about the same time when its process dies.
/// The first loss fixes what was in flight, and the losses of those attempts belong to it, so that
/// the last one to be noticed does not look as if it had been alone.
#[derive(Debug, Default)]
pub struct CrashWatch {
    running: HashMap<AttemptId, (RequestFingerprint, ShardId)>,
    incident: Option<CrashIncident>,
}

/// A `CrashIncident` is one loss of a target, with everything that was in flight.
#[derive(Clone, Debug)]
pub struct CrashIncident {
    /// The random number that names it.
    pub id: u64,
    /// The attempts.
    pub attempts: SmallVec<[AttemptId; 4]>,
    /// Their requests and shards.
    pub in_flight: SmallVec<[(RequestFingerprint, ShardId); 4]>,
}

impl CrashWatch {
    /// Notes an attempt that is sent to the target.
    pub fn record_started(
        &mut self,
        attempt: AttemptId,
        fingerprint: RequestFingerprint,
        shard: ShardId,
    ) {
        self.running.insert(attempt, (fingerprint, shard));
    }

    /// Notes that an attempt is over and was answered.
    pub fn record_finished(&mut self, attempt: AttemptId) {
        self.running.remove(&attempt);
    }

    /// Gets the incident that an attempt's loss belongs to; `number` names a new one.
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
