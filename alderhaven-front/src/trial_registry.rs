//! Trials of suspected requests that run on this front, one at a time for each request.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::fingerprint::RequestFingerprint;
use tokio::sync::watch;

/// The running trials. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct TrialRegistry {
    running: Arc<Mutex<HashMap<RequestFingerprint, watch::Sender<()>>>>,
}

/// The right to run a request on trial; dropping it ends the trial.
#[derive(Debug)]
pub struct TrialGuard {
    registry: TrialRegistry,
    fingerprint: RequestFingerprint,
}

/// A trial of the same request that runs already.
#[derive(Debug)]
pub struct OtherTrial {
    ended: watch::Receiver<()>,
}

impl TrialRegistry {
    /// Begins the trial of a request.
    ///
    /// # Errors
    /// The trial of the request that runs already.
    pub fn begin(&self, fingerprint: RequestFingerprint) -> Result<Arc<TrialGuard>, OtherTrial> {
        let mut running = self.lock();
        if let Some(sender) = running.get(&fingerprint) {
            let ended = sender.subscribe();
            return Err(OtherTrial { ended });
        }
        running.insert(fingerprint, watch::Sender::new(()));
        Ok(Arc::new(TrialGuard {
            registry: self.clone(),
            fingerprint,
        }))
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestFingerprint, watch::Sender<()>>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OtherTrial {
    /// Waits until the trial has ended.
    pub async fn ended(mut self) {
        // The sender is dropped at the end of the trial.
        while self.ended.changed().await.is_ok() {}
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        self.registry.lock().remove(&self.fingerprint);
    }
}
