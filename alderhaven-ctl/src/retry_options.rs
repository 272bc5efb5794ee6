//! Retries of failed calls to the store, with exponential backoff.

use std::time::Duration;

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::time::TimeSpan;
use alderhaven_store::object_store::{ObjectList, ObjectStore, StoreError, StoreResult};

/// The default of [`RetryOptions::attempts`]. With the default delays the last one starts after
/// about 1.5 s.
pub const DEFAULT_ATTEMPTS: u32 = 6;
/// The default of [`RetryOptions::initial_delay`].
pub const DEFAULT_INITIAL_DELAY: TimeSpan = TimeSpan::from_millis(50);
/// The default of [`RetryOptions::max_delay`].
pub const DEFAULT_MAX_DELAY: TimeSpan = TimeSpan::from_secs(2);

/// The limits of retries of a call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryOptions {
    /// The number of attempts including the first, 1 or more.
    pub attempts: u32,
    /// The wait after the first failed attempt; it doubles after each further one.
    pub initial_delay: TimeSpan,
    /// The longest wait between attempts, also if the store asks for a longer one.
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
    /// Gets an object, retrying failed calls.
    ///
    /// # Errors
    /// The error of the last attempt.
    pub async fn get<S: ObjectStore>(
        &self,
        store: &S,
        key: &ObjectKey,
    ) -> StoreResult<Option<StoredObject>> {
        let mut attempt = 0;
        loop {
            match store.get(key).await {
                Err(error) if attempt + 1 < self.attempts => self.back_off(attempt, &error).await,
                answer => return answer,
            }
            attempt += 1;
        }
    }

    /// Lists all objects of the kinds, retrying failed calls.
    ///
    /// # Errors
    /// The error of the last attempt.
    pub async fn list<S: ObjectStore>(
        &self,
        store: &S,
        kinds: &[ObjectKind],
    ) -> StoreResult<ObjectList> {
        let mut attempt = 0;
        loop {
            match store.list(kinds).await {
                Err(error) if attempt + 1 < self.attempts => self.back_off(attempt, &error).await,
                answer => return answer,
            }
            attempt += 1;
        }
    }

    /// Waits after the failed attempt number `attempt`, counted from 0: for the backoff or, if
    /// longer, for the time that the store asks for, at most `max_delay`.
    pub async fn back_off(&self, attempt: u32, error: &StoreError) {
        let backoff = self
            .initial_delay
            .mul_f64(f64::from(1_u32 << attempt.min(16)));
        let requested = match error {
            StoreError::NotDone { retry_after, .. } => retry_after.unwrap_or_default(),
            StoreError::Unknown { .. } => TimeSpan::ZERO,
        };
        let delay: Duration = backoff.max(requested).min(self.max_delay).as_duration();
        tokio::time::sleep(delay).await;
    }
}
