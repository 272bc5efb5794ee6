//! Whether the store answers this process, shared by its followers.
//!
//! While it does not, one follower asks again and the others wait for it: each call to a store that is
//! down is paid for like any other.

use std::time::Duration;

use alderhaven_core::config_object::ObjectKind;
use tokio::sync::watch;
use tokio::time;

/// How long a follower waits for another one that asks again. A store may refuse one kind alone.
const MAX_PROBE_WAIT: Duration = Duration::from_millis(1_500);

/// A `StoreReach` is shared by the followers of one process.
#[derive(Debug, Default)]
pub struct StoreAvailability {
    /// The kind whose follower asks again; none where the last call was answered.
    probing_kind: watch::Sender<Option<ObjectKind>>,
}

impl StoreAvailability {
    /// Notes an answer.
    pub fn record_success(&self) {
        self.probing_kind
            .send_if_modified(|probing| probing.take().is_some());
    }

    /// Notes a call of a kind's follower that was not answered.
    pub fn record_failure(&self, kind: ObjectKind) {
        self.probing_kind.send_if_modified(|probing| {
            let is_first = probing.is_none();
            probing.get_or_insert(kind);
            is_first
        });
    }

    /// Waits while the follower of another kind asks again.
    pub async fn wait_while_probed(&self, kind: ObjectKind) {
        let mut probing = self.probing_kind.subscribe();
        let is_free = probing.wait_for(|probing| probing.is_none_or(|prober| prober == kind));
        // Where the time is up, this kind may be answered though the other is not.
        let _is_over = time::timeout(MAX_PROBE_WAIT, is_free).await.is_err();
    }
}
