//! The difference between configuration files and the store, as a plan for a publication.
//!
//! A plan contains the stored versions that it was made from, so that publishing it can't overwrite
//! later changes.

use std::collections::BTreeMap;

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::OperatorName;
use alderhaven_core::publication_id::PublicationId;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_store::object_store::{ObjectStore, StoreResult};
use serde::{Deserialize, Serialize};

use crate::field_change::FieldChange;
use crate::object_file::ObjectFile;
use crate::publish_outcome::PublishOutcome;
use crate::retry_options::RetryOptions;

/// Changes in the order of their publication.
///
/// `diff --plan` writes it to a file and `publish --plan` reads it, so that exactly the reviewed
/// difference is published.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangePlan {
    /// Sorted by kind: manifests, teams, templates, then all other kinds.
    pub changes: Vec<PlannedChange>,
}

/// The change of one object, from the stored content to the content to publish.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedChange {
    /// The object to write.
    pub key: ObjectKey,
    /// The object as read from the store, possibly a tombstone; `None` if it was absent.
    #[serde(rename = "seen")]
    pub observed: Option<StoredObject>,
    /// The JSON text to publish; `None` deletes the object.
    pub body: Option<String>,
}

impl ChangePlan {
    /// Compares objects with the store.
    ///
    /// Teams are ordered before templates, so that no template names a team that is not published
    /// yet.
    ///
    /// # Errors
    /// The error of the failed read; nothing is written.
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
                // Lists omit tombstones, whose version the write must name.
                None => PlannedChange::build(store, object.key.clone(), body, options).await?,
            };
            changes.push(change);
        }
        changes.sort_by_key(|change| (publish_rank(change.key.kind), change.key.clone()));
        Ok(Self { changes })
    }

    /// Gets the changes that would replace content written by someone other than `operator`.
    ///
    /// Such changes must be reviewed before they are published.
    #[must_use]
    pub fn replacing_other_operators(&self, operator: &OperatorName) -> Vec<&PlannedChange> {
        self.changes
            .iter()
            .filter(|change| !change.is_unchanged() && change.replaces_other_operator(operator))
            .collect()
    }
}

impl PlannedChange {
    /// Reads the stored object and plans to replace its content by `body`.
    ///
    /// # Errors
    /// The error of the failed read; nothing is written.
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

    /// Gets the version that the conditional write expects, 0 if the object was absent.
    ///
    /// For a tombstone it is the tombstone's version. With 0 a delayed duplicate of the write could
    /// restore an object that has been created and deleted meanwhile.
    #[must_use]
    pub fn observed_version(&self) -> StoreVersion {
        self.observed
            .as_ref()
            .map(|observed| observed.version)
            .unwrap_or_default()
    }

    /// Returns `true` if the store already held the content to publish.
    #[must_use]
    pub fn is_unchanged(&self) -> bool {
        self.field_changes().is_empty() && self.observed_body().is_some() == self.body.is_some()
    }

    /// Gets the outcome of a write that failed because the object is no longer at the observed
    /// version.
    ///
    /// The object counts as unchanged if it already has the content to publish: the plan was
    /// published twice, or two operators made the same change.
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

    /// Gets the fields that differ between the observed content and the content to publish.
    #[must_use]
    pub fn field_changes(&self) -> Vec<FieldChange> {
        FieldChange::between(self.observed_body(), self.body.as_deref())
    }

    /// Gets the observed JSON text; `None` for an absent object or a tombstone.
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
