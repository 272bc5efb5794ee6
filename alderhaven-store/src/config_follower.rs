//! The task that follows the configuration in the object API: one watch for all kinds.
//!
//! It lists, then watches from the list's revision on. Where the store no longer has the changes
//! since then, it lists again; it also does so now and then, since a watch that left out a change
//! would not show it. While the store is down the node goes on with what it has accepted.

use std::sync::Arc;

use alderhaven_core::config_object::ObjectKind;
use alderhaven_core::ids::StoreVersion;
use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

use crate::config_handle::ConfigHandle;
use crate::object_store::{ObjectStore, StoreError, WatchOutcome};
use crate::retry_backoff::{BackoffOptions, RetryBackoff};

/// The default wait of one watch call: a tenth of a read a second for each node.
const DEFAULT_WATCH_WAIT: TimeSpan = TimeSpan::from_secs(10);
/// The default time between two lists: 580 nodes make two lists a second.
const DEFAULT_RELIST: TimeSpan = TimeSpan::from_secs(300);

/// `FollowerOptions` set the follower's waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FollowerOptions {
    /// How long one watch call waits for a change.
    pub watch_wait: TimeSpan,
    /// How long a list is good for.
    pub relist: TimeSpan,
    /// The waits while the store fails.
    pub backoff: BackoffOptions,
}

impl Default for FollowerOptions {
    fn default() -> Self {
        Self {
            watch_wait: DEFAULT_WATCH_WAIT,
            relist: DEFAULT_RELIST,
            backoff: BackoffOptions::default(),
        }
    }
}

/// A `ConfigFollower` keeps a [`ConfigHandle`] up to date.
#[derive(Debug)]
pub struct ConfigFollower<S> {
    store: Arc<S>,
    options: FollowerOptions,
    handle: ConfigHandle,
    /// When the next list is due; now, where the changes since the last one are not all known.
    list_due: Instant,
}

/// A `FollowFailure` says why the follower has to wait before its next call.
enum FollowFailure {
    Store(StoreError),
    /// The store no longer has the changes: list again, but not at the rate of the answers.
    Gap,
    /// The store went backwards: list again later.
    Backwards,
}

impl<S: ObjectStore> ConfigFollower<S> {
    /// Starts to follow the store until `shutdown` is cancelled.
    ///
    /// Must be called within a tokio runtime. The handle begins with an empty configuration.
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
            list_due: Instant::now(),
        };
        tokio::spawn(shutdown.run_until_cancelled_owned(follower.run()));
        handle
    }

    async fn run(mut self) {
        let mut backoff = RetryBackoff::new(self.options.backoff);
        loop {
            let Err(failure) = self.step().await else {
                backoff.reset();
                continue;
            };
            let wait = backoff.next(rand::random());
            time::sleep(failure.wait_at_least(wait).as_duration()).await;
        }
    }

    async fn step(&mut self) -> Result<(), FollowFailure> {
        match self.handle.complete_at() {
            Some(after) if Instant::now() < self.list_due => self.watch(after).await,
            _ => self.list().await,
        }
    }

    async fn list(&mut self) -> Result<(), FollowFailure> {
        let floor = self.handle.floor();
        let answer = self.store.list(&ObjectKind::CONFIGURATION).await;
        let list = self.handle.note(answer).map_err(FollowFailure::Store)?;
        self.handle
            .apply(|state| state.take_list(list, floor))
            .map_err(|_regression| FollowFailure::Backwards)?;
        self.list_due = Instant::now() + self.options.relist.as_duration();
        Ok(())
    }

    async fn watch(&mut self, after: StoreVersion) -> Result<(), FollowFailure> {
        let floor = self.handle.floor();
        let wait = self.options.watch_wait;
        let call = self.store.watch(&ObjectKind::CONFIGURATION, after, wait);
        let answer = call.await;
        match self.handle.note(answer).map_err(FollowFailure::Store)? {
            WatchOutcome::Changes(changes) => self
                .handle
                .apply(|state| state.take_changes(changes, floor))
                .map_err(|_regression| {
                    self.list_due = Instant::now();
                    FollowFailure::Backwards
                }),
            WatchOutcome::Gap => {
                self.list_due = Instant::now();
                Err(FollowFailure::Gap)
            }
        }
    }
}

impl FollowFailure {
    fn wait_at_least(&self, wait: TimeSpan) -> TimeSpan {
        match self {
            Self::Store(StoreError::NotDone {
                retry_after: Some(retry_after),
                ..
            }) => wait.max(*retry_after),
            Self::Store(_) | Self::Gap | Self::Backwards => wait,
        }
    }
}
