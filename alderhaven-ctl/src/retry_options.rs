//! How often and how patiently calls to the store are tried again.

use std::time::Duration;

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::time::TimeSpan;
use alderhaven_store::object_store::{ObjectList, ObjectStore, StoreError, StoreResult};

/// How often a call is tried before it is given up: with the delays below, after 1.5 s.
pub const DEFAULT_ATTEMPTS: u32 = 6;
/// The wait after the first failed call; it doubles with each further one.
pub const DEFAULT_INITIAL_DELAY: TimeSpan = TimeSpan::from_millis(50);
/// The longest wait between calls.
pub const DEFAULT_MAX_DELAY: TimeSpan = TimeSpan::from_secs(2);

/// The `RetryOptions` bound how long calls to the store are tried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryOptions {
    /// How often each call is tried, 1 or more.
    pub attempts: u32,
    /// The wait after the first failed call.
    pub initial_delay: TimeSpan,
    /// The longest wait between calls.
    pub max_delay: TimeSpan,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            attempts: DEFAULT_ATTEMPTS,
            initial_delay: DEFAULT_INITIAL_DELAY,
            max_delay: DEFAULT_MAX_DELAY,
        }
    }
}

impl RetryOptions {
    /// Gets an object, with further tries where one fails.
    ///
    /// # Errors
    /// The error of the last try.
    pub async fn get<S: ObjectStore>(
        &self,
        store: &S,
        key: &ObjectKey,
    ) -> StoreResult<Option<StoredObject>> {
        let mut round = 0;
        loop {
            match store.get(key).await {
                Err(error) if round + 1 < self.attempts => self.back_off(round, &error).await,
                answer => return answer,
            }
            round += 1;
        }
    }

    /// Lists all objects of the kinds, with further tries where one fails.
    ///
    /// # Errors
    /// The error of the last try.
    pub async fn list<S: ObjectStore>(
        &self,
        store: &S,
        kinds: &[ObjectKind],
    ) -> StoreResult<ObjectList> {
        let mut round = 0;
        loop {
            match store.list(kinds).await {
                Err(error) if round + 1 < self.attempts => self.back_off(round, &error).await,
                answer => return answer,
            }
            round += 1;
        }
    }

    /// Waits after a failed call: longer with each round, and as long as the store asks for.
    pub async fn back_off(&self, round: u32, error: &StoreError) {
        let backoff = self
            .initial_delay
            .mul_f64(f64::from(1_u32 << round.min(16)));
        let requested = match error {
            StoreError::NotDone { retry_after, .. } => retry_after.unwrap_or_default(),
            StoreError::Unknown { .. } => TimeSpan::ZERO,
        };
        let delay: Duration = backoff.max(requested).min(self.max_delay).as_duration();
        tokio::time::sleep(delay).await;
    }
}
