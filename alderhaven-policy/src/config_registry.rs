//! The configuration in force on a node.
//!
//! Objects arrive from the store's watch, from full lists and from peers, possibly late, twice or
//! out of order. For each key the highest store version wins, tombstones included, so that the
//! result does not depend on the order of arrival and a lagging source can't bring back an older
//! version. What the store loses when it comes back from an older copy is carried over.

use std::collections::BTreeMap;
use std::sync::Arc;

use alderhaven_core::config_object::{ConfigObject, ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::errors::Error;
use alderhaven_core::ids::{ServiceName, SnapshotId, TeamId, TemplateName};
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_core::publication_id::PublicationId;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::team::TeamPolicy;
use alderhaven_core::template::QueryTemplate;

use crate::restored_store;

/// The newest known version of each object, and the newest valid one.
#[derive(Clone, Debug, Default)]
pub struct ConfigRegistry {
    newest: BTreeMap<ObjectKey, StoredObject>,
    in_force: ConfigView,
    rejected: BTreeMap<ObjectKey, RejectedObject>,
}

/// The valid configuration, as requests read it.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// Query templates by name.
    pub templates: BTreeMap<TemplateName, Arc<QueryTemplate>>,
    /// Team policies by team.
    pub teams: BTreeMap<TeamId, Arc<TeamPolicy>>,
    /// Snapshot manifests by service.
    pub manifests: BTreeMap<ServiceName, Arc<SnapshotManifest>>,
    /// The names of targets that operators drain.
    pub drains: std::collections::BTreeSet<String>,
}

/// An invalid object; the last valid version of it stays in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedObject {
    /// The rejected version.
    pub version: StoreVersion,
    /// All errors found in it.
    pub errors: Vec<Error>,
}

/// The result of [`ConfigRegistry::accept`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// The object is now in force.
    InForce,
    /// This or a newer version was already known.
    Known,
    /// The object is invalid; what was in force before stays.
    Rejected(Vec<Error>),
    /// The store came back with an older content; the known one stays and is carried over.
    CarriedOver,
}

impl ConfigRegistry {
    /// Applies an object, whatever source it came from.
    pub fn accept(&mut self, object: StoredObject) -> AcceptOutcome {
        if let Some(known) = self.newest.get_mut(&object.key) {
            if known.version >= object.version {
                return AcceptOutcome::Known;
            }
            let precedes = || precedes(&object, known);
            if let Some(carried) = restored_store::carry_over(known, &object, precedes) {
                *known = carried;
                return AcceptOutcome::CarriedOver;
            }
        }
        let outcome = match &object.body {
            None => {
                self.in_force.remove(&object.key);
                self.rejected.remove(&object.key);
                AcceptOutcome::InForce
            }
            Some(body) => match ConfigObject::read(&object.key, body) {
                Ok(content) => {
                    self.in_force.insert(&object.key, content);
                    self.rejected.remove(&object.key);
                    AcceptOutcome::InForce
                }
                Err(errors) => {
                    let rejected = RejectedObject {
                        version: object.version,
                        errors: errors.clone(),
                    };
                    self.rejected.insert(object.key.clone(), rejected);
                    AcceptOutcome::Rejected(errors)
                }
            },
        };
        self.newest.insert(object.key.clone(), object);
        outcome
    }

    /// Returns the valid configuration, as requests read it.
    #[must_use]
    pub fn view(&self) -> ConfigView {
        self.in_force.clone()
    }

    /// Returns the newest known version of each object, tombstones included.
    pub fn objects(&self) -> impl Iterator<Item = &StoredObject> {
        self.newest.values()
    }

    /// Returns the newest known version of an object, which may be a tombstone.
    #[must_use]
    pub fn object(&self, key: &ObjectKey) -> Option<&StoredObject> {
        self.newest.get(key)
    }

    /// Returns the rejected objects by key.
    #[must_use]
    pub const fn rejected(&self) -> &BTreeMap<ObjectKey, RejectedObject> {
        &self.rejected
    }

    /// Returns the highest store version known.
    #[must_use]
    pub fn highest_version(&self) -> StoreVersion {
        self.newest
            .values()
            .map(|object| object.version.stored())
            .max()
            .unwrap_or_default()
    }
}

/// Returns true if the content of `stored` is older than that of `known` in the order of their
/// writers: by the times of their publications, or by the numbers of their manifests.
fn precedes(stored: &StoredObject, known: &StoredObject) -> bool {
    let publication = |object: &StoredObject| object.write_id.parse::<PublicationId>().ok();
    match (publication(stored), publication(known)) {
        (Some(stored), Some(known)) => stored.is_earlier_than(&known),
        _ => snapshot(stored)
            .zip(snapshot(known))
            .is_some_and(|(stored, known)| stored < known),
    }
}

/// Returns the number of a manifest; `None` for any other object and for a deleted one.
fn snapshot(object: &StoredObject) -> Option<SnapshotId> {
    let body = object.body.as_ref()?;
    match ConfigObject::read(&object.key, body) {
        Ok(ConfigObject::Manifest(manifest)) => Some(manifest.snapshot),
        _ => None,
    }
}

impl ConfigView {
    fn insert(&mut self, key: &ObjectKey, content: ConfigObject) {
        match content {
            ConfigObject::Template(template) => {
                self.templates
                    .insert(template.name.clone(), Arc::new(template));
            }
            ConfigObject::Team(team) => {
                self.teams.insert(team.name.clone(), Arc::new(team));
            }
            ConfigObject::Manifest(manifest) => {
                self.manifests
                    .insert(manifest.service.clone(), Arc::new(manifest));
            }
            ConfigObject::Drain => {
                self.drains.insert(key.name.clone());
            }
        }
    }

    fn remove(&mut self, key: &ObjectKey) {
        match key.kind {
            ObjectKind::Template => self.templates.retain(|name, _| name.as_str() != key.name),
            ObjectKind::Team => self.teams.retain(|name, _| name.as_str() != key.name),
            ObjectKind::Manifest => self.manifests.retain(|name, _| name.as_str() != key.name),
            ObjectKind::Drain => {
                self.drains.remove(&key.name);
            }
            ObjectKind::Claims
            | ObjectKind::History
            | ObjectKind::Routing
            | ObjectKind::Target
            | ObjectKind::StoreContact
            | ObjectKind::CrashStrike
            | ObjectKind::Evacuation => {}
        }
    }
}
