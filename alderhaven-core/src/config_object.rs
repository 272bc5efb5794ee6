//! Objects that the system keeps in the platform's object API, and the parsing of those that hold
//! configuration.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result};
use crate::manifest::SnapshotManifest;
use crate::store_version::StoreVersion;
use crate::team::TeamPolicy;
use crate::template::QueryTemplate;

/// Kind of an object in the platform's object API.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A query template.
    Template,
    /// A team's policy.
    Team,
    /// A snapshot manifest, named after its service.
    Manifest,
    /// One bucket of the claim ledger, which makes non-idempotent queries run at most once.
    Claims,
    /// A target that an operator is draining.
    Drain,
    /// The previous contents of one configuration object, kept for rollback.
    History,
    /// The routes, services and limits of the fronts, in one object.
    Routing,
    /// A target's registration of itself.
    Target,
    /// A node's latest report on whether it reaches the store.
    #[serde(rename = "contact")]
    StoreContact,
    /// A node's record of target crashes with one request in flight.
    #[serde(rename = "strike")]
    CrashStrike,
    /// A failure domain, given by the object's name, whose targets get no new work while the object
    /// exists.
    Evacuation,
}

impl ObjectKind {
    /// The kinds that entries and relays follow as their configuration.
    pub const CONFIGURATION: [Self; 4] = [Self::Template, Self::Team, Self::Manifest, Self::Drain];

    /// Returns true if nodes exchange objects of this kind with their peers.
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

    /// Returns true if operators write the objects of this kind, and nothing else does.
    #[must_use]
    pub const fn is_operator_written(self) -> bool {
        match self {
            Self::Template
            | Self::Team
            | Self::Manifest
            | Self::Drain
            | Self::Routing
            | Self::Evacuation => true,
            Self::Claims
            | Self::History
            | Self::Target
            | Self::StoreContact
            | Self::CrashStrike => false,
        }
    }

    /// Returns the kind's name in paths of the object API.
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

/// Identity of an object in the platform's object API, written `kind/name`.
#[derive(Clone, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// The kind, which is the first part of the key's path.
    pub kind: ObjectKind,
    /// The name, unique within the kind.
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

/// Object as the platform's object API holds it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// The object's key.
    pub key: ObjectKey,
    /// The store's revision at the last write of the object; it never decreases within an era.
    pub version: StoreVersion,
    /// The unique id that the writer chose for the write.
    pub write_id: String,
    /// The JSON text, or `None` for a deleted object (a tombstone).
    pub body: Option<String>,
}

/// Validated content of a configuration object.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigObject {
    /// A query template.
    Template(QueryTemplate),
    /// A team's policy.
    Team(TeamPolicy),
    /// A snapshot manifest.
    Manifest(SnapshotManifest),
    /// A target that an operator is draining. The target's id is the object's name.
    Drain,
}

impl ConfigObject {
    /// Parses and validates the content of a configuration object.
    ///
    /// # Errors
    /// Every invalid value of the content; a parse error; a kind that is not configuration; or a name
    /// in the content that differs from the key's.
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
                format!("the content has the name `{name}`, which must be the object's name"),
            )]);
        }
        Ok(object)
    }
}
