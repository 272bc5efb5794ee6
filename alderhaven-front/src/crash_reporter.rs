//! Finds out whether targets that lost attempts have crashed, and tells the other nodes.
//!
//! The front that sent an attempt examines its loss, whichever front asked for it, and also after
//! the request was answered.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use alderhaven_core::ids::ShardId;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::wall_clock;
use alderhaven_policy::crash_strike::TargetCrash;
use alderhaven_policy::crash_watch::CrashIncident;
use alderhaven_policy::hashing;
use log::Level;
use tokio::time;

use crate::catalog::Catalog;
use crate::front_event::FrontEvent;
use crate::target_entry::TargetEntry;
use crate::target_handle::TargetHandle;
use crate::trial_registry::TrialGuard;

/// Timeout of a probe. A host whose process is gone refuses the connection almost at once.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// How long the connection of a probe must stay open to show that the process is alive.
const PROBE_SPAN: Duration = Duration::from_millis(20);

/// The probes of a target that accepts connections and closes them.
const MAX_PROBES: usize = 3;

/// How long strikes are collected before they are published, so that those of a query that lost
/// many shards travel together.
const PUBLISH_DELAY: Duration = Duration::from_millis(5);

/// Examines lost attempts. Clones share all state.
#[derive(Clone, Debug)]
pub struct CrashReporter {
    catalog: Arc<Catalog>,
    clock: ProcessClock,
}

impl CrashReporter {
    /// Creates a reporter.
    #[must_use]
    pub const fn new(catalog: Arc<Catalog>, clock: ProcessClock) -> Self {
        Self { catalog, clock }
    }

    /// Examines in the background whether a target has crashed that lost an attempt. The trial of
    /// its request, if any, lasts until that is known.
    pub fn examine_loss(
        &self,
        target: &Arc<TargetHandle>,
        attempt: u64,
        trial: Option<Arc<TrialGuard>>,
    ) {
        let now = self.clock.now();
        let incident_id = crash_id(&target.entry());
        let (incident, is_new) = target.crash_watch().record_loss(attempt, incident_id, now);
        let (reporter, target) = (self.clone(), Arc::clone(target));
        tokio::spawn(async move {
            // Later losses of the incident only wait for the probe of the first.
            let _probing = target.probe_lock.lock().await;
            if is_new {
                reporter.probe(&target, incident).await;
            }
            drop(trial);
        });
    }

    /// Adds what this front had in flight to the crashes that other nodes publish. Never returns.
    ///
    /// A front whose attempts at the target have all timed out loses none of them in the crash.
    pub async fn follow_learned_crashes(self) {
        loop {
            let crashes = self.catalog.crashes().learned_crashes().await;
            let view = self.catalog.view();
            for crash in crashes {
                let target = view.targets.get(crash.target.as_str());
                // News of an earlier process may arrive after the target has started again.
                let is_present =
                    |target: &&Arc<TargetHandle>| crash_id(&target.entry()) == crash.crash_id;
                if let Some(target) = target.filter(is_present) {
                    self.record_refused_connection(target);
                }
            }
        }
    }

    /// Records the crash of a target that refuses connections, if requests may have run there
    /// shortly before.
    pub fn record_refused_connection(&self, target: &TargetHandle) {
        let incident_id = crash_id(&target.entry());
        let incident = target
            .crash_watch()
            .record_refused_connection(incident_id, self.clock.now());
        if let Some(incident) = incident {
            self.record_crash(target, incident);
        }
    }

    async fn probe(&self, target: &TargetHandle, incident: CrashIncident<u64>) {
        if is_process_gone(target).await {
            self.record_crash(target, incident);
        } else {
            target.crash_watch().dismiss_incident();
        }
    }

    fn record_crash(&self, target: &TargetHandle, incident: CrashIncident<u64>) {
        let entry = target.entry();
        let (Ok(id), Some(domain)) = (entry.id.parse(), entry.domain.clone()) else {
            // Strikes need the names of target and domain, which the registration lacks.
            return;
        };
        let fingerprints = incident.in_flight.iter();
        let fingerprints = fingerprints.map(|(fingerprint, _)| fingerprint.to_string());
        FrontEvent::TargetCrashed {
            target: entry.id.clone(),
            service: entry.service.clone(),
            fingerprints: fingerprints.collect(),
            trials: incident.trials.len(),
        }
        .emit(Level::Warn);
        self.catalog.crashes().record_crash(&TargetCrash {
            id: incident.id,
            target: id,
            domain,
            in_flight: incident.in_flight,
            trials: incident.trials,
        });
        self.publish_soon();
    }

    /// Publishes the strikes that changed, together with those that follow within a moment.
    pub fn publish_soon(&self) {
        let crashes = self.catalog.crashes();
        if !crashes.begin_publishing() {
            return;
        }
        let catalog = Arc::clone(&self.catalog);
        tokio::spawn(async move {
            time::sleep(PUBLISH_DELAY).await;
            let wall_millis = wall_clock::unix_millis();
            for (fingerprint, body) in catalog.crashes().take_unpublished(wall_millis) {
                catalog.publish_strikes(&fingerprint, body, wall_millis);
            }
        });
    }
}

/// Returns `true` if the host refuses connections, which means that the target's process is gone.
async fn is_process_gone(target: &TargetHandle) -> bool {
    for _ in 0..MAX_PROBES {
        match time::timeout(PROBE_TIMEOUT, target.pool.probe(PROBE_SPAN)).await {
            // The process may be ending.
            Ok(Ok(false)) => {}
            Ok(Err(error)) => return error.kind() == io::ErrorKind::ConnectionRefused,
            Ok(Ok(true)) | Err(_) => return false,
        }
    }
    false
}

/// Returns the shard that a service stands for in strikes: the position of a service in a query
/// differs between routes and versions.
#[must_use]
pub fn shard_of_service(service: &str) -> ShardId {
    let hash = hashing::hash_name(service) >> 32;
    ShardId(u32::try_from(hash).unwrap_or(u32::MAX))
}

/// Returns the number of a crash, which all nodes compute alike: a process crashes once.
fn crash_id(entry: &TargetEntry) -> u64 {
    hashing::mix_hashes(hashing::hash_name(&entry.id), entry.started)
}
