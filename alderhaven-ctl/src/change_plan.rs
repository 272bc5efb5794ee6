//! What a publication would change, against the versions that the operator has seen.

use std::collections::BTreeMap;

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::{OperatorName, StoreVersion};
use alderhaven_store::object_store::{ObjectStore, StoreResult};
use serde::{Deserialize, Serialize};

use crate::field_change::FieldChange;
use crate::object_file::ObjectFile;
use crate::publication_id::PublicationId;
use crate::publish_outcome::PublishOutcome;
use crate::retry_options::RetryOptions;

/// A `ChangePlan` is an ordered set of changes.
///
/// Written to a file by `diff --plan` and read by `publish --plan`, it ties a publication to the
/// difference that its operator has looked at.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangePlan {
    /// The changes in the order in which they are published.
    pub changes: Vec<PlannedChange>,
}

/// A `PlannedChange` is one object with the content that was seen and the one to publish.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedChange {
    /// The object.
    pub key: ObjectKey,
    /// What the store held; none where it held nothing.
    #[serde(rename = "seen")]
    pub observed: Option<StoredObject>,
    /// The JSON text to publish; none to delete the object.
    pub body: Option<String>,
}

impl ChangePlan {
    /// Compares objects with what the store holds.
    ///
    /// Manifests come first and templates last, so that no template names a team which is not
    /// published yet.
    ///
    /// # Errors
    /// The store's error; nothing was written.
    pub async fn build<S: ObjectStore>(
        store: &S,
        objects: &[ObjectFile],
        options: RetryOptions,
    ) -> StoreResult<Self> {
        let listed = options.list(store, &ObjectKind::CONFIGURATION).await?;
        let mut stored: BTreeMap<ObjectKey, StoredObject> = listed
            .objects
            .into_iter()
            .map(|object| (object.key.clone(), object))
            .collect();
        let mut changes = Vec::with_capacity(objects.len());
        for object in objects {
            let body = Some(object.body.clone());
            let change = match stored.remove(&object.key) {
                Some(observed) => PlannedChange {
                    key: object.key.clone(),
                    observed: Some(observed),
                    body,
                },
                // A list leaves tombstones out.
                None => PlannedChange::build(store, object.key.clone(), body, options).await?,
            };
            changes.push(change);
        }
        changes.sort_by_key(|change| (publish_rank(change.key.kind), change.key.clone()));
        Ok(Self { changes })
    }

    /// Gets the changes that would replace another operator's latest publication.
    ///
    /// Their difference has to be looked at before they are published.
    #[must_use]
    pub fn replacing_other_operators(&self, operator: &OperatorName) -> Vec<&PlannedChange> {
        self.changes
            .iter()
            .filter(|change| !change.is_unchanged() && change.replaces_other_operator(operator))
            .collect()
    }
}

impl PlannedChange {
    /// Compares one content with what the store holds.
    ///
    /// # Errors
    /// The store's error; nothing was written.
    pub async fn build<S: ObjectStore>(
        store: &S,
        key: ObjectKey,
        body: Option<String>,
        options: RetryOptions,
    ) -> StoreResult<Self> {
        let observed = options.get(store, &key).await?;
        Ok(Self {
            key,
            observed,
            body,
        })
    }

    /// Gets the version that was seen, 0 for none; the write demands it.
    ///
    /// A tombstone's own version is demanded too: a late copy of the write could otherwise bring
    /// back an object that was created and deleted meanwhile.
    #[must_use]
    pub fn observed_version(&self) -> StoreVersion {
        self.observed
            .as_ref()
            .map(|observed| observed.version)
            .unwrap_or_default()
    }

    /// Returns true where the store holds the content already.
    #[must_use]
    pub fn is_unchanged(&self) -> bool {
        self.field_changes().is_empty() && self.observed_body().is_some() == self.body.is_some()
    }

    /// Gets the outcome of a change that met another content than the one that was seen.
    ///
    /// Where that is the very content to publish, nothing is left to do: a plan was published
    /// twice, or two operators made the same change.
    #[must_use]
    pub fn conflict_outcome(&self, current: Option<StoredObject>) -> PublishOutcome {
        let body = current.as_ref().and_then(|current| current.body.as_deref());
        let matches_plan = body.is_some() == self.body.is_some()
            && FieldChange::between(body, self.body.as_deref()).is_empty();
        match current {
            Some(current) if matches_plan => PublishOutcome::Unchanged {
                version: current.version,
            },
            current => PublishOutcome::Conflict { current },
        }
    }

    /// Gets the fields that differ between what was seen and what is published.
    #[must_use]
    pub fn field_changes(&self) -> Vec<FieldChange> {
        FieldChange::between(self.observed_body(), self.body.as_deref())
    }

    /// Gets the JSON text that was seen; none where the store held nothing or a tombstone.
    #[must_use]
    pub fn observed_body(&self) -> Option<&str> {
        self.observed.as_ref()?.body.as_deref()
    }

    fn replaces_other_operator(&self, operator: &OperatorName) -> bool {
        let Some(observed) = self
            .observed
            .as_ref()
            .filter(|observed| observed.body.is_some())
        else {
            return false;
        };
        let publication: Option<PublicationId> = observed.write_id.parse().ok();
        publication.is_none_or(|publication| publication.operator != *operator)
    }
}

const fn publish_rank(kind: ObjectKind) -> u8 {
    match kind {
        ObjectKind::Manifest => 0,
        ObjectKind::Team => 1,
        ObjectKind::Template => 2,
        ObjectKind::Drain
        | ObjectKind::Claims
        | ObjectKind::History
        | ObjectKind::Routing
        | ObjectKind::Target
        | ObjectKind::StoreContact
        | ObjectKind::CrashStrike
        | ObjectKind::Evacuation => 3,
    }
}
