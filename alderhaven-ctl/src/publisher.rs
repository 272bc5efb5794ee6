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
    may_have_landed: bool,
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

    /// Publishes one change against the version that its plan has seen.
    pub async fn publish(&self, change: &PlannedChange) -> PublishOutcome {
        if change.is_unchanged() {
            let version = change.seen_version();
            return PublishOutcome::Unchanged { version };
        }
        if let Some(seen) = &change.seen
            && let Err(reason) = self.record(seen).await
        {
            let reason = format!("the earlier content could not be kept: {reason}");
            return PublishOutcome::NotPublished { reason };
        }
        let id = PublicationId {
            operator: self.operator.clone(),
            id: Uuid::now_v7(),
            base: change.seen_version(),
        };
        let write = ConditionalWrite {
            key: change.key.clone(),
            expected: change.seen_version(),
            write_id: id.to_string(),
            body: change.body.clone(),
        };
        let attempt = WriteAttempt {
            change,
            id,
            write,
            may_have_landed: false,
        };
        self.write(attempt).await
    }

    /// Tries the write until its fate is known or the tries are used up.
    ///
    /// A write whose answer was lost may also arrive late, after a read that does not show it. It
    /// is therefore tried again under the same write id and the same expected version: of all
    /// copies of it at most one can take effect, whichever arrives first.
    async fn write(&self, mut attempt: WriteAttempt<'_>) -> PublishOutcome {
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
            attempt.may_have_landed |= matches!(error, StoreError::Unknown { .. });
            reason = error.to_string();
            self.options.pause(round, &error).await;
            if attempt.may_have_landed
                && let Ok(current) = self.store.get(&attempt.write.key).await
                && !attempt.shows_seen(current.as_ref())
            {
                return self.resolve_conflict(attempt, current).await;
            }
        }
        if attempt.may_have_landed {
            let id = attempt.id;
            PublishOutcome::Unknown { id, reason }
        } else {
            PublishOutcome::NotPublished { reason }
        }
    }

    /// Judges a content that is not the one that was seen.
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
        if !attempt.may_have_landed {
            return attempt.change.outcome_of_conflict(current);
        }
        let Some(by) = current else {
            let reason = "the answer was lost, and the object is gone".to_owned();
            return PublishOutcome::Unknown { id, reason };
        };
        let history = match self.read_history(&by).await {
            Ok(history) => history,
            Err(reason) => return PublishOutcome::Unknown { id, reason },
        };
        if let Some(own) = history.entry_written_as(&attempt.write.write_id) {
            let version = own.version;
            return PublishOutcome::Superseded { version, id, by };
        }
        if leads_back_to(&history, &by, attempt.change) {
            return PublishOutcome::Conflict { current: Some(by) };
        }
        let reason = "the answer was lost, and the history does not reach back".to_owned();
        PublishOutcome::Unknown { id, reason }
    }

    async fn read_history(&self, object: &StoredObject) -> Result<ObjectHistory, String> {
        let key = ObjectHistory::key_of(&object.key);
        let read = self.options.get(self.store, &key).await;
        let stored = read.map_err(|error| error.to_string())?;
        ObjectHistory::read(stored.as_ref()).map_err(|error| error.to_string())
    }

    /// Records a content in its object's history, before it is replaced.
    async fn record(&self, seen: &StoredObject) -> Result<(), String> {
        let key = ObjectHistory::key_of(&seen.key);
        let mut reason = String::new();
        for round in 0..self.options.attempts {
            match self.try_record(&key, seen).await {
                Ok(true) => return Ok(()),
                Ok(false) => "other publishers write the history".clone_into(&mut reason),
                Err(error) => {
                    reason = error.to_string();
                    self.options.pause(round, &error).await;
                }
            }
        }
        Err(reason)
    }

    /// Tries once to record a content; false where another publisher came between.
    async fn try_record(&self, key: &ObjectKey, seen: &StoredObject) -> Result<bool, StoreError> {
        let stored = self.store.get(key).await?;
        let mut history = ObjectHistory::read(stored.as_ref()).map_err(StoreError::not_done)?;
        if history.entry_of(seen.version).is_some() {
            return Ok(true);
        }
        history.record(seen);
        let expected = stored.map(|stored| stored.version).unwrap_or_default();
        let write = ConditionalWrite {
            key: key.clone(),
            expected,
            write_id: format!("{}/{}", self.operator, Uuid::now_v7()),
            body: Some(history.to_body()),
        };
        let outcome = self.store.write(write).await?;
        Ok(matches!(outcome, WriteOutcome::Written(_)))
    }
}

impl WriteAttempt<'_> {
    /// Returns true where the store still holds what the plan has seen.
    fn shows_seen(&self, current: Option<&StoredObject>) -> bool {
        match current {
            Some(current) => current.version == self.change.seen_version(),
            None => self.change.seen.is_none(),
        }
    }
}

/// Returns true where the publications that led to `current` began at the version that was seen.
///
/// Each names the version that it replaced. If the first of them replaced the very version that
/// ours demanded, ours can't have taken effect before it, and will not after it.
fn leads_back_to(history: &ObjectHistory, current: &StoredObject, change: &PlannedChange) -> bool {
    let mut version = current.version;
    let mut write_id = current.write_id.clone();
    while let Ok(publication) = write_id.parse::<PublicationId>() {
        if publication.base == change.seen_version() {
            return true;
        }
        // Bases only fall; anything else was not written by a publisher.
        if publication.base >= version {
            return false;
        }
        let Some(entry) = history.entry_of(publication.base) else {
            return false;
        };
        version = entry.version;
        write_id.clone_from(&entry.write_id);
    }
    false
}
