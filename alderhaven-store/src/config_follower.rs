//! Task that follows the configuration in the object API by one list and watch loop for all kinds.
//!
//! It lists, then watches from the list's revision. It lists again when the store has compacted the
//! changes since then, and at intervals, in case a watch missed a change. While the store is
//! unavailable, the node keeps the configuration that it has accepted.

use std::sync::Arc;

use alderhaven_core::config_object::ObjectKind;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::restored_store::RestoreGrace;
use serde::{Deserialize, Serialize};
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

use crate::config_handle::ConfigHandle;
use crate::object_store::{ObjectStore, StoreError, WatchOutcome};
use crate::retry_backoff::{BackoffOptions, RetryBackoff};

/// Default time that one watch call waits for a change. A watch that goes silent hides changes until the
/// call timeout after it, and changes must be in force within 9 s.
const DEFAULT_WATCH_TIMEOUT: TimeSpan = TimeSpan::from_secs(6);
/// Default time between two lists; 580 nodes make two lists per second.
const DEFAULT_RELIST_INTERVAL: TimeSpan = TimeSpan::from_secs(300);

/// Timing of a [`ConfigFollower`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FollowerOptions {
    /// How long one watch call waits for a change before it returns an empty result.
    #[serde(rename = "watch_wait")]
    pub watch_timeout: TimeSpan,
    /// The time after which the follower lists again although its watch works.
    #[serde(rename = "relist")]
    pub relist_interval: TimeSpan,
    /// The waits between calls while the store fails.
    pub backoff: BackoffOptions,
}

impl Default for FollowerOptions {
    fn default() -> Self {
        Self {
            watch_timeout: DEFAULT_WATCH_TIMEOUT,
            relist_interval: DEFAULT_RELIST_INTERVAL,
            backoff: BackoffOptions::default(),
        }
    }
}

/// Task that keeps a [`ConfigHandle`] up to date with the object store.
#[derive(Debug)]
pub struct ConfigFollower<S> {
    store: Arc<S>,
    options: FollowerOptions,
    handle: ConfigHandle,
    started_at: Instant,
    restore_grace: RestoreGrace,
    /// When to list next. Set to the current time when changes may have been missed.
    list_due: Instant,
}

/// Reason to wait before the next call.
enum FollowFailure {
    Store(StoreError),
    /// The store has compacted the changes. The next list waits for the backoff too, so that a store
    /// that compacts constantly isn't flooded with lists.
    Compacted,
    /// The store's state is older than the known one, so its result was not applied.
    StoreRegressed,
}

impl<S: ObjectStore> ConfigFollower<S> {
    /// Spawns a task that follows the store until `shutdown` is cancelled.
    ///
    /// Must be called within a tokio runtime. The returned handle starts with an empty configuration.
    pub fn start(
        store: Arc<S>,
        options: FollowerOptions,
        shutdown: CancellationToken,
    ) -> ConfigHandle {
        let handle = ConfigHandle::default();
        let follower = Self {
            store,
            options,
            handle: handle.clone(),
            started_at: Instant::now(),
            restore_grace: RestoreGrace::default(),
            list_due: Instant::now(),
        };
        tokio::spawn(shutdown.run_until_cancelled_owned(follower.run()));
        handle
    }

    async fn run(mut self) {
        let mut backoff = RetryBackoff::new(self.options.backoff);
        loop {
            let Err(failure) = self.list_or_watch().await else {
                backoff.reset();
                continue;
            };
            let wait = backoff.next_wait(rand::random());
            time::sleep(failure.retry_wait(wait).as_duration()).await;
        }
    }

    async fn list_or_watch(&mut self) -> Result<(), FollowFailure> {
        self.list_after_grace();
        match self.handle.complete_revision() {
            Some(after) if Instant::now() < self.list_due => self.watch(after).await,
            _ => self.list().await,
        }
    }

    /// Makes the next call a list if objects that the store lost were not written again in time.
    fn list_after_grace(&mut self) {
        let is_over = self.restore_grace.is_over(self.now());
        self.handle.set_grace_over(is_over);
        if is_over && self.handle.has_lost_objects() {
            self.list_due = Instant::now();
        }
    }

    fn now(&self) -> TimePoint {
        TimePoint::START + TimeSpan::from(self.started_at.elapsed())
    }

    /// Returns how long a watch call waits for a change, at most until the end of the grace.
    fn watch_timeout(&self) -> TimeSpan {
        let timeout = self.options.watch_timeout;
        self.restore_grace.bound_wait(timeout, self.now())
    }

    async fn list(&mut self) -> Result<(), FollowFailure> {
        let min_revision = self.handle.min_revision();
        let result = self.store.list(&ObjectKind::CONFIGURATION).await;
        let list = self
            .handle
            .record_result(result)
            .map_err(FollowFailure::Store)?;
        self.handle
            .apply(|state| state.apply_list(list, min_revision))
            .map_err(|_regression| FollowFailure::StoreRegressed)?;
        let era = self.handle.complete_revision().unwrap_or_default().era;
        self.restore_grace.record_list(era, self.now());
        self.list_due = Instant::now() + self.options.relist_interval.as_duration();
        Ok(())
    }

    async fn watch(&mut self, after: StoreVersion) -> Result<(), FollowFailure> {
        let min_revision = self.handle.min_revision();
        let wait = self.watch_timeout();
        let call = self.store.watch(&ObjectKind::CONFIGURATION, after, wait);
        let result = call.await;
        match self
            .handle
            .record_result(result)
            .map_err(FollowFailure::Store)?
        {
            WatchOutcome::Changes(changes) => self
                .handle
                .apply(|state| state.apply_changes(changes, min_revision))
                .map_err(|_regression| {
                    self.list_due = Instant::now();
                    FollowFailure::StoreRegressed
                }),
            WatchOutcome::Compacted => {
                self.list_due = Instant::now();
                Err(FollowFailure::Compacted)
            }
        }
    }
}

impl FollowFailure {
    /// Returns the time to wait before the next call: the backoff, or longer if the store asks for it.
    fn retry_wait(&self, backoff_wait: TimeSpan) -> TimeSpan {
        match self {
            Self::Store(StoreError::NotDone {
                retry_after: Some(retry_after),
                ..
            }) => backoff_wait.max(*retry_after),
            Self::Store(_) | Self::Compacted | Self::StoreRegressed => backoff_wait,
        }
    }
}
