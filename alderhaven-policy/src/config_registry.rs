//! The configuration in force on a node.
//!
//! Objects arrive from the store's watch, from full lists and from peers, possibly late, twice or
//! out of order. For each key the highest store version wins, tombstones included, so that the
//! result does not depend on the order of arrival and a lagging source can't bring back an older
//! version.

use std::collections::BTreeMap;
use std::sync::Arc;

use alderhaven_core::config_object::{ConfigObject, ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::errors::Error;
use alderhaven_core::ids::{ServiceName, StoreVersion, TeamId, TemplateName};
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_core::team::TeamPolicy;
use alderhaven_core::template::QueryTemplate;

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
}

impl ConfigRegistry {
    /// Applies an object, whatever source it came from.
    pub fn accept(&mut self, object: StoredObject) -> AcceptOutcome {
        let known = self.newest.get(&object.key).map(|known| known.version);
        if known >= Some(object.version) {
            return AcceptOutcome::Known;
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
            .map(|object| object.version)
            .max()
            .unwrap_or_default()
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
