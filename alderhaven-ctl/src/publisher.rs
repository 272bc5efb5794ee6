//! Publishes changes by conditional writes and determines the outcome of writes whose reply was
//! lost.

use alderhaven_core::config_object::{ObjectKey, StoredObject};
use alderhaven_core::ids::OperatorName;
use alderhaven_core::publication_id::PublicationId;
use alderhaven_store::object_store::{ConditionalWrite, ObjectStore, StoreError, WriteOutcome};
use uuid::Uuid;

use crate::change_plan::PlannedChange;
use crate::object_history::ObjectHistory;
use crate::publish_outcome::PublishOutcome;
use crate::retry_options::RetryOptions;

/// Publishes changes on behalf of one operator.
pub struct ObjectPublisher<'a, S> {
    store: &'a S,
    operator: OperatorName,
    options: RetryOptions,
}

/// The write of one publication over all its attempts.
struct PendingWrite<'a> {
    change: &'a PlannedChange,
    id: PublicationId,
    write: ConditionalWrite,
    /// Set once the reply to an attempt was lost.
    may_have_taken_effect: bool,
}

impl<'a, S: ObjectStore> ObjectPublisher<'a, S> {
    /// Returns a publisher that writes under the name of `operator`.
    pub const fn new(store: &'a S, operator: OperatorName, options: RetryOptions) -> Self {
        Self {
            store,
            operator,
            options,
        }
    }

    /// Publishes one change, provided that the object is still at the observed version.
    ///
    /// The observed content is recorded in the object's history first.
    pub async fn publish(&self, change: &PlannedChange) -> PublishOutcome {
        if change.is_unchanged() {
            let version = change.observed_version();
            return PublishOutcome::Unchanged { version };
        }
        if let Some(observed) = &change.observed
            && let Err(reason) = self.record_in_history(observed).await
        {
            let reason = format!("recording the earlier content failed: {reason}");
            return PublishOutcome::NotPublished { reason };
        }
        let id = PublicationId {
            operator: self.operator.clone(),
            id: Uuid::now_v7(),
            base: change.observed_version(),
        };
        let write = ConditionalWrite {
            key: change.key.clone(),
            expected: change.observed_version(),
            write_id: id.to_string(),
            body: change.body.clone(),
        };
        let pending = PendingWrite {
            change,
            id,
            write,
            may_have_taken_effect: false,
        };
        self.write_with_retries(pending).await
    }

    /// Writes until the outcome is known or the attempts are exhausted.
    ///
    /// A write whose reply was lost may still reach the store after a read that does not show it.
    /// All attempts therefore use the same write id and expected version, so that at most one of
    /// them takes effect.
    async fn write_with_retries(&self, mut pending: PendingWrite<'_>) -> PublishOutcome {
        let mut reason = String::new();
        for attempt in 0..self.options.attempts {
            let error = match self.store.write(pending.write.clone()).await {
                Ok(WriteOutcome::Written(version)) => {
                    let id = pending.id;
                    return PublishOutcome::Published { version, id };
                }
                Ok(WriteOutcome::Conflict(current)) => {
                    return self.resolve_conflict(pending, current).await;
                }
                Err(error) => error,
            };
            pending.may_have_taken_effect |= matches!(error, StoreError::Unknown { .. });
            reason = error.to_string();
            self.options.back_off(attempt, &error).await;
            if pending.may_have_taken_effect
                && let Ok(current) = self.store.get(&pending.write.key).await
                && !pending.is_still_observed(current.as_ref())
            {
                return self.resolve_conflict(pending, current).await;
            }
        }
        if pending.may_have_taken_effect {
            let id = pending.id;
            PublishOutcome::Unknown { id, reason }
        } else {
            PublishOutcome::NotPublished { reason }
        }
    }

    /// Determines the outcome when the stored object is not the observed one.
    ///
    /// After a lost reply, the stored object may be this write itself or a later one that replaced
    /// it, which the history shows. Without a lost reply, this write has not taken effect.
    async fn resolve_conflict(
        &self,
        pending: PendingWrite<'_>,
        current: Option<StoredObject>,
    ) -> PublishOutcome {
        let id = pending.id;
        if let Some(current) = &current
            && current.write_id == pending.write.write_id
        {
            let version = current.version;
            return PublishOutcome::Published { version, id };
        }
        if !pending.may_have_taken_effect {
            return pending.change.conflict_outcome(current);
        }
        let Some(by) = current else {
            let reason = "the reply was lost, and the object no longer exists".to_owned();
            return PublishOutcome::Unknown { id, reason };
        };
        let history = match self.read_history(&by).await {
            Ok(history) => history,
            Err(reason) => return PublishOutcome::Unknown { id, reason },
        };
        if let Some(own) = history.entry_for_write_id(&pending.write.write_id) {
            let version = own.version;
            return PublishOutcome::Superseded { version, id, by };
        }
        if descends_from_observed(&history, &by, pending.change) {
            return PublishOutcome::Conflict { current: Some(by) };
        }
        let reason =
            "the reply was lost, and the history does not reach back far enough".to_owned();
        PublishOutcome::Unknown { id, reason }
    }

    async fn read_history(&self, object: &StoredObject) -> Result<ObjectHistory, String> {
        let key = ObjectHistory::history_key(&object.key);
        let read = self.options.get(self.store, &key).await;
        let stored = read.map_err(|error| error.to_string())?;
        ObjectHistory::read(stored.as_ref()).map_err(|error| error.to_string())
    }

    /// Records a content in the history of its object, with retries.
    async fn record_in_history(&self, observed: &StoredObject) -> Result<(), String> {
        let key = ObjectHistory::history_key(&observed.key);
        let mut reason = String::new();
        for attempt in 0..self.options.attempts {
            match self.try_record_in_history(&key, observed).await {
                Ok(true) => return Ok(()),
                Ok(false) => "other publishers keep changing the history".clone_into(&mut reason),
                Err(error) => {
                    reason = error.to_string();
                    self.options.back_off(attempt, &error).await;
                }
            }
        }
        Err(reason)
    }

    /// Tries once to record a content; returns `false` after a conflict with another publisher.
    async fn try_record_in_history(
        &self,
        key: &ObjectKey,
        observed: &StoredObject,
    ) -> Result<bool, StoreError> {
        let stored = self.store.get(key).await?;
        let mut history = ObjectHistory::read(stored.as_ref()).map_err(StoreError::not_done)?;
        if history.entry_for_version(observed.version).is_some() {
            return Ok(true);
        }
        history.record(observed);
        let expected = stored.map(|stored| stored.version).unwrap_or_default();
        let write = ConditionalWrite {
            key: key.clone(),
            expected,
            write_id: format!("{}/{}", self.operator, Uuid::now_v7()),
            body: Some(history.to_json()),
        };
        let outcome = self.store.write(write).await?;
        Ok(matches!(outcome, WriteOutcome::Written(_)))
    }
}

impl PendingWrite<'_> {
    /// Returns `true` if the store still holds the observed version.
    fn is_still_observed(&self, current: Option<&StoredObject>) -> bool {
        match current {
            Some(current) => current.version == self.change.observed_version(),
            None => self.change.observed.is_none(),
        }
    }
}

/// Returns `true` if a chain of publications leads from the observed version to `current`.
///
/// The chain follows the base of each publication through the history. If another publication
/// replaced the observed version, a write that expects that version has not taken effect and can't
/// do so later.
fn descends_from_observed(
    history: &ObjectHistory,
    current: &StoredObject,
    change: &PlannedChange,
) -> bool {
    let observed = change.observed_version().revision;
    let mut revision = current.version.revision;
    let mut write_id = current.write_id.clone();
    while let Ok(publication) = write_id.parse::<PublicationId>() {
        let base = publication.base.revision;
        if base == observed {
            return true;
        }
        // A publisher's base is below the version that it creates; the check ends any other chain.
        if base >= revision {
            return false;
        }
        let Some(entry) = history.entry_for_version(publication.base) else {
            return false;
        };
        revision = entry.version.revision;
        write_id.clone_from(&entry.write_id);
    }
    false
}
