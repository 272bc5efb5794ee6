//! Shares among the store followers of a process whether the store answers.
//!
//! While the store is down one follower probes it and the others wait, because a failed
//! call costs as much as an answered one.

use std::time::Duration;

use alderhaven_core::config_object::ObjectKind;
use tokio::sync::watch;
use tokio::time;

/// How long a follower waits for the probe of another one. The store may fail for one kind only,
/// so the wait is bounded.
const MAX_PROBE_WAIT: Duration = Duration::from_millis(1_500);

/// Store availability as seen by the followers of one process.
#[derive(Debug, Default)]
pub struct StoreAvailability {
    /// The kind whose follower probes the store; `None` if the last call was answered.
    probing_kind: watch::Sender<Option<ObjectKind>>,
}

impl StoreAvailability {
    /// Records an answered call, which releases waiting followers.
    pub fn record_success(&self) {
        self.probing_kind
            .send_if_modified(|probing| probing.take().is_some());
    }

    /// Records a failed call; the first follower to fail becomes the prober.
    pub fn record_failure(&self, kind: ObjectKind) {
        self.probing_kind.send_if_modified(|probing| {
            let is_first = probing.is_none();
            probing.get_or_insert(kind);
            is_first
        });
    }

    /// Waits while the follower of another kind probes the store.
    pub async fn wait_while_probed(&self, kind: ObjectKind) {
        let mut probing = self.probing_kind.subscribe();
        let is_free = probing.wait_for(|probing| probing.is_none_or(|prober| prober == kind));
        // After the timeout the call is tried anyway: the store may answer for this kind.
        let _is_over = time::timeout(MAX_PROBE_WAIT, is_free).await.is_err();
    }
}
