//! The configuration that a node holds in force.
//!
//! Load pattern: objects arrive from the store's watch, from relists and from peers, late, twice
//! and in any order. Without this rule a replayed watch or a lagging peer would take a node back to
//! an older version. The rule is that the higher store version of an object wins, tombstones
//! included, so the order of arrival does not matter.

use std::collections::BTreeMap;
use std::sync::Arc;

use alderhaven_core::config_object::{ConfigObject, ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::errors::Error;
use alderhaven_core::ids::{ServiceName, StoreVersion, TeamId, TemplateName};
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_core::team::TeamPolicy;
use alderhaven_core::template::QueryTemplate;

/// A `ConfigRegistry` holds, for each key, the newest object that was heard of and the newest one
/// that checks.
#[derive(Clone, Debug, Default)]
pub struct ConfigRegistry {
    newest: BTreeMap<ObjectKey, StoredObject>,
    in_force: ConfigView,
    rejected: BTreeMap<ObjectKey, RejectedObject>,
}

/// A `ConfigView` is the checked configuration as requests read it.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// The templates by name.
    pub templates: BTreeMap<TemplateName, Arc<QueryTemplate>>,
    /// The teams by name.
    pub teams: BTreeMap<TeamId, Arc<TeamPolicy>>,
    /// The manifests by service.
    pub manifests: BTreeMap<ServiceName, Arc<SnapshotManifest>>,
    /// The targets that operators drain.
    pub drains: std::collections::BTreeSet<String>,
}

/// A `RejectedObject` is an object that did not check; the last good one stays in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedObject {
    /// The version that was refused.
    pub version: StoreVersion,
    /// Everything that is wrong with it.
    pub errors: Vec<Error>,
}

/// An `AcceptOutcome` says what became of an object that was heard of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// The object is in force now.
    InForce,
    /// The same or a newer version was known already.
    Known,
    /// The object does not check; what was in force before stays.
    Rejected(Vec<Error>),
}

impl ConfigRegistry {
    /// Takes an object that was heard of, whatever its source.
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

    /// Gets the configuration as requests read it.
    #[must_use]
    pub fn view(&self) -> ConfigView {
        self.in_force.clone()
    }

    /// Gets the newest object heard of for each key, tombstones included.
    pub fn objects(&self) -> impl Iterator<Item = &StoredObject> {
        self.newest.values()
    }

    /// Gets the newest version of an object, a tombstone included.
    #[must_use]
    pub fn object(&self, key: &ObjectKey) -> Option<&StoredObject> {
        self.newest.get(key)
    }

    /// Gets the objects that did not check, by key.
    #[must_use]
    pub const fn rejected(&self) -> &BTreeMap<ObjectKey, RejectedObject> {
        &self.rejected
    }

    /// Gets the highest store version heard of.
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
            | ObjectKind::Contact
            | ObjectKind::Strike
            | ObjectKind::Evacuation => {}
        }
    }
}
