//! Files with the initial objects of the platform's stand-in.

use alderhaven_core::config_object::{ObjectKey, ObjectKind};
use alderhaven_core::errors::{Error, Result};
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_core::settings;
use alderhaven_core::team::TeamPolicy;
use alderhaven_core::template::QueryTemplate;
use serde::{Deserialize, Serialize};

/// Content of one file, in YAML or JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectSet {
    /// Query templates to store under their names.
    pub templates: Vec<QueryTemplate>,
    /// Team policies to store under their names.
    pub teams: Vec<TeamPolicy>,
    /// Manifests to store under their service names.
    pub manifests: Vec<SnapshotManifest>,
}

impl ObjectSet {
    /// Reads and parses a file.
    ///
    /// # Errors
    /// `Error::File` where it can't be read or has unknown fields.
    pub fn read(path: &str) -> Result<Self> {
        settings::read_file(path)
    }

    /// Serializes all objects to JSON, with their keys.
    ///
    /// # Errors
    /// `Error::Invalid` where an object can't be serialized.
    pub fn objects(&self) -> Result<Vec<(ObjectKey, String)>> {
        let templates = self
            .templates
            .iter()
            .map(|template| encode_object(ObjectKind::Template, template.name.as_str(), template));
        let teams = self
            .teams
            .iter()
            .map(|team| encode_object(ObjectKind::Team, team.name.as_str(), team));
        let manifests = self.manifests.iter().map(|manifest| {
            encode_object(ObjectKind::Manifest, manifest.service.as_str(), manifest)
        });
        templates.chain(teams).chain(manifests).collect()
    }
}

fn encode_object(
    kind: ObjectKind,
    name: &str,
    content: &impl Serialize,
) -> Result<(ObjectKey, String)> {
    let key = ObjectKey {
        kind,
        name: name.to_owned(),
    };
    let body = serde_json::to_string(content)
        .map_err(|error| Error::invalid(key.to_string(), error.to_string()))?;
    Ok((key, body))
}
