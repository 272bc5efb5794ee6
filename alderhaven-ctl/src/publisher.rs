//! Publication of changes by conditional update, with lost replies resolved by reading back.

use alderhaven_core::config_object::{ObjectKey, StoredObject};
use alderhaven_core::ids::OperatorName;
use alderhaven_store::object_store::{ConditionalWrite, ObjectStore, StoreError, WriteOutcome};
use uuid::Uuid;

use crate::change_plan::PlannedChange;
use crate::object_history::ObjectHistory;
use crate::publication_id::PublicationId;
use crate::publish_outcome::PublishOutcome;
use crate::retry_options::RetryOptions;

/// An `ObjectPublisher` publishes changes on behalf of one operator.
pub struct ObjectPublisher<'a, S> {
    store: &'a S,
    operator: OperatorName,
    options: RetryOptions,
}

/// A `WriteAttempt` is the write of one publication with what is known of its earlier tries.
struct WriteAttempt<'a> {
    change: &'a PlannedChange,
    id: PublicationId,
    write: ConditionalWrite,
    /// Whether a try's answer was lost, so that the write may have taken effect.
    may_have_taken_effect: bool,
}

impl<'a, S: ObjectStore> ObjectPublisher<'a, S> {
    /// Returns a publisher for `operator`.
    pub const fn new(store: &'a S, operator: OperatorName, options: RetryOptions) -> Self {
        Self {
            store,
            operator,
            options,
        }
    }

    /// Publishes one change against the version that its plan has observed.
    pub async fn publish(&self, change: &PlannedChange) -> PublishOutcome {
        if change.is_unchanged() {
            let version = change.observed_version();
            return PublishOutcome::Unchanged { version };
        }
        if let Some(observed) = &change.observed
            && let Err(reason) = self.record_in_history(observed).await
        {
            let reason = format!("the earlier content could not be kept: {reason}");
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
        let attempt = WriteAttempt {
            change,
            id,
            write,
            may_have_taken_effect: false,
        };
        self.write_with_retries(attempt).await
    }

    /// Tries the write until its fate is known or the tries are used up.
    ///
    /// A write whose answer was lost may also arrive late, after a read that does not show it. It
    /// is therefore tried again under the same write id and the same expected version: of all
    /// copies of it at most one can take effect, whichever arrives first.
    async fn write_with_retries(&self, mut attempt: WriteAttempt<'_>) -> PublishOutcome {
        let mut reason = String::new();
        for round in 0..self.options.attempts {
            let error = match self.store.write(attempt.write.clone()).await {
                Ok(WriteOutcome::Written(version)) => {
                    let id = attempt.id;
                    return PublishOutcome::Published { version, id };
                }
                Ok(WriteOutcome::Conflict(current)) => {
                    return self.resolve_conflict(attempt, current).await;
                }
                Err(error) => error,
            };
            attempt.may_have_taken_effect |= matches!(error, StoreError::Unknown { .. });
            reason = error.to_string();
            self.options.back_off(round, &error).await;
            if attempt.may_have_taken_effect
                && let Ok(current) = self.store.get(&attempt.write.key).await
                && !attempt.is_still_observed(current.as_ref())
            {
                return self.resolve_conflict(attempt, current).await;
            }
        }
        if attempt.may_have_taken_effect {
            let id = attempt.id;
            PublishOutcome::Unknown { id, reason }
        } else {
            PublishOutcome::NotPublished { reason }
        }
    }

    /// Judges a content that is not the one that was observed.
    ///
    /// It may be one's own write whose answer was lost, and reporting a conflict with that would be
    /// false. It may also be a later write over one's own: the history names every content that a
    /// publisher replaced. Without a lost answer, nothing of ours can have taken effect.
    async fn resolve_conflict(
        &self,
        attempt: WriteAttempt<'_>,
        current: Option<StoredObject>,
    ) -> PublishOutcome {
        let id = attempt.id;
        if let Some(current) = &current
            && current.write_id == attempt.write.write_id
        {
            let version = current.version;
            return PublishOutcome::Published { version, id };
        }
        if !attempt.may_have_taken_effect {
            return attempt.change.conflict_outcome(current);
        }
        let Some(by) = current else {
            let reason = "the answer was lost, and the object is gone".to_owned();
            return PublishOutcome::Unknown { id, reason };
        };
        let history = match self.read_history(&by).await {
            Ok(history) => history,
            Err(reason) => return PublishOutcome::Unknown { id, reason },
        };
        if let Some(own) = history.entry_for_write_id(&attempt.write.write_id) {
            let version = own.version;
            return PublishOutcome::Superseded { version, id, by };
        }
        if descends_from_observed(&history, &by, attempt.change) {
            return PublishOutcome::Conflict { current: Some(by) };
        }
        let reason = "the answer was lost, and the history does not reach back".to_owned();
        PublishOutcome::Unknown { id, reason }
    }

    async fn read_history(&self, object: &StoredObject) -> Result<ObjectHistory, String> {
        let key = ObjectHistory::history_key(&object.key);
        let read = self.options.get(self.store, &key).await;
        let stored = read.map_err(|error| error.to_string())?;
        ObjectHistory::read(stored.as_ref()).map_err(|error| error.to_string())
    }

    /// Records a content in its object's history, before it is replaced.
    async fn record_in_history(&self, observed: &StoredObject) -> Result<(), String> {
        let key = ObjectHistory::history_key(&observed.key);
        let mut reason = String::new();
        for round in 0..self.options.attempts {
            match self.try_record_in_history(&key, observed).await {
                Ok(true) => return Ok(()),
                Ok(false) => "other publishers write the history".clone_into(&mut reason),
                Err(error) => {
                    reason = error.to_string();
                    self.options.back_off(round, &error).await;
                }
            }
        }
        Err(reason)
    }

    /// Tries once to record a content; false where another publisher came between.
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

impl WriteAttempt<'_> {
    /// Returns true where the store still holds what the plan has observed.
    fn is_still_observed(&self, current: Option<&StoredObject>) -> bool {
        match current {
            Some(current) => current.version == self.change.observed_version(),
            None => self.change.observed.is_none(),
        }
    }
}

/// Returns true where the publications that led to `current` began at the version that was observed.
///
/// Each names the version that it replaced. If the first of them replaced the very version that
/// ours demanded, ours can't have taken effect before it, and will not after it.
fn descends_from_observed(
    history: &ObjectHistory,
    current: &StoredObject,
    change: &PlannedChange,
) -> bool {
    let mut version = current.version;
    let mut write_id = current.write_id.clone();
    while let Ok(publication) = write_id.parse::<PublicationId>() {
        if publication.base == change.observed_version() {
            return true;
        }
        // Bases only fall; anything else was not written by a publisher.
        if publication.base >= version {
            return false;
        }
        let Some(entry) = history.entry_for_version(publication.base) else {
            return false;
        };
        version = entry.version;
        write_id.clone_from(&entry.write_id);
    }
    false
}
