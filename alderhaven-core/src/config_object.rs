//! The objects that the platform's API keeps for the system, and which of them hold configuration.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result};
use crate::ids::StoreVersion;
use crate::manifest::SnapshotManifest;
use crate::team::TeamPolicy;
use crate::template::QueryTemplate;

/// An `ObjectKind` is a kind of object in the platform's API.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A query template.
    Template,
    /// A team's policy.
    Team,
    /// A snapshot manifest, named after its service.
    Manifest,
    /// A bucket of the claim ledger.
    Claims,
    /// A target that operators drain.
    Drain,
    /// The earlier contents of one configuration object, kept for rollback.
    History,
    /// The routing of a front: routes, services and limits, in one object.
    Routing,
    /// One target, as it registers itself.
    Target,
    /// A node's last word on whether it reaches the store.
    #[serde(rename = "contact")]
    StoreContact,
    /// What a node has seen of the crashes that one request was part of.
    #[serde(rename = "strike")]
    CrashStrike,
    /// A failure domain whose targets get no new work until the object is removed; named after it.
    Evacuation,
}

impl ObjectKind {
    /// The kinds that every node keeps in force; claim buckets and histories are not among them.
    pub const CONFIGURATION: [Self; 4] = [Self::Template, Self::Team, Self::Manifest, Self::Drain];

    /// Returns true where nodes pass objects of the kind to each other.
    #[must_use]
    pub const fn is_exchanged(self) -> bool {
        match self {
            Self::Template
            | Self::Team
            | Self::Manifest
            | Self::Drain
            | Self::Routing
            | Self::Target
            | Self::StoreContact
            | Self::CrashStrike
            | Self::Evacuation => true,
            Self::Claims | Self::History => false,
        }
    }

    /// Gets the kind's name in paths of the object API.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Template => "template",
            Self::Team => "team",
            Self::Manifest => "manifest",
            Self::Claims => "claims",
            Self::Drain => "drain",
            Self::History => "history",
            Self::Routing => "routing",
            Self::Target => "target",
            Self::StoreContact => "contact",
            Self::CrashStrike => "strike",
            Self::Evacuation => "evacuation",
        }
    }
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for ObjectKind {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "template" => Ok(Self::Template),
            "team" => Ok(Self::Team),
            "manifest" => Ok(Self::Manifest),
            "claims" => Ok(Self::Claims),
            "drain" => Ok(Self::Drain),
            "history" => Ok(Self::History),
            "routing" => Ok(Self::Routing),
            "target" => Ok(Self::Target),
            "contact" => Ok(Self::StoreContact),
            "strike" => Ok(Self::CrashStrike),
            "evacuation" => Ok(Self::Evacuation),
            _ => Err(Error::parse(
                "object kind",
                text,
                "template, team, manifest, claims, drain, history, routing, target, contact, strike or evacuation",
            )),
        }
    }
}

/// An `ObjectKey` names one object of the platform's API.
#[derive(Clone, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// The kind.
    pub kind: ObjectKind,
    /// The name within the kind.
    pub name: String,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind, self.name)
    }
}

impl FromStr for ObjectKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let (kind, name) = text
            .split_once('/')
            .filter(|(_, name)| !name.is_empty())
            .ok_or_else(|| Error::parse("object key", text, "a kind and a name joined by `/`"))?;
        Ok(Self {
            kind: kind.parse()?,
            name: name.to_owned(),
        })
    }
}

/// A `StoredObject` is an object as the platform's API holds it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// The object's key.
    pub key: ObjectKey,
    /// The store's revision at which the object was last written; it only grows.
    pub version: StoreVersion,
    /// The unique id that the writer gave to the write.
    pub write_id: String,
    /// The JSON text; none where the object was deleted (a tombstone).
    pub body: Option<String>,
}

/// A `ConfigObject` is the checked content of a configuration object.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigObject {
    /// A query template.
    Template(QueryTemplate),
    /// A team's policy.
    Team(TeamPolicy),
    /// A snapshot manifest.
    Manifest(SnapshotManifest),
    /// A target that operators drain; the name is the target's.
    Drain,
}

impl ConfigObject {
    /// Reads and checks the content of a configuration object.
    ///
    /// # Errors
    /// Everything that is wrong with the content, or with its name.
    pub fn read(key: &ObjectKey, body: &str) -> std::result::Result<Self, Vec<Error>> {
        let unreadable =
            |error: serde_json::Error| vec![Error::invalid(key.to_string(), error.to_string())];
        let (object, name, errors) = match key.kind {
            ObjectKind::Template => {
                let template: QueryTemplate = serde_json::from_str(body).map_err(unreadable)?;
                let errors = template.check();
                let name = template.name.to_string();
                (Self::Template(template), name, errors)
            }
            ObjectKind::Team => {
                let team: TeamPolicy = serde_json::from_str(body).map_err(unreadable)?;
                let errors = team.check();
                let name = team.name.to_string();
                (Self::Team(team), name, errors)
            }
            ObjectKind::Manifest => {
                let manifest: SnapshotManifest = serde_json::from_str(body).map_err(unreadable)?;
                let errors = manifest.check();
                let name = manifest.service.to_string();
                (Self::Manifest(manifest), name, errors)
            }
            ObjectKind::Drain => (Self::Drain, key.name.clone(), Vec::new()),
            ObjectKind::Claims
            | ObjectKind::History
            | ObjectKind::Routing
            | ObjectKind::Target
            | ObjectKind::StoreContact
            | ObjectKind::CrashStrike
            | ObjectKind::Evacuation => {
                return Err(vec![Error::invalid(
                    key.to_string(),
                    "objects of this kind are not configuration of entries and relays",
                )]);
            }
        };
        if !errors.is_empty() {
            return Err(errors);
        }
        if name != key.name {
            return Err(vec![Error::invalid(
                key.to_string(),
                format!("the content names itself `{name}`"),
            )]);
        }
        Ok(object)
    }
}
