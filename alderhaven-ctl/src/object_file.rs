//! Reads configuration objects from YAML files. Each file holds one object, and its folder is named
//! after the object's kind.

use std::fs;
use std::path::{Path, PathBuf};

use alderhaven_core::config_object::{ConfigObject, ObjectKey, ObjectKind};
use alderhaven_core::errors::Error;
use alderhaven_core::settings;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::file_problem::FileProblem;
use crate::line_index;

/// The largest object that may be published, in bytes of JSON.
///
/// It is a quarter of the platform's value limit, so that a history can hold several contents.
pub const MAX_OBJECT_BYTES: usize = 256 << 10;

/// The folder names and the kinds of the objects in them.
const KIND_FOLDERS: [(&str, ObjectKind); 3] = [
    ("templates", ObjectKind::Template),
    ("teams", ObjectKind::Team),
    ("manifests", ObjectKind::Manifest),
];

/// One configuration object, read from its file and checked without reference to others.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectFile {
    /// The path that the object was read from.
    pub path: PathBuf,
    /// The YAML text, kept to locate the lines of problems.
    pub text: String,
    /// The key under which the object is published.
    pub key: ObjectKey,
    /// The parsed content; `problems` tells whether it is valid.
    pub content: ConfigObject,
    /// The JSON text that is published.
    pub body: String,
    /// Problems found in the content; an object with problems is not published.
    pub problems: Vec<FileProblem>,
}

impl ObjectFile {
    /// Reads and checks one file.
    ///
    /// # Errors
    /// If the folder is not named after a kind, or the file can't be read, is too large or can't be
    /// parsed.
    pub fn read(path: &Path) -> Result<Self, FileProblem> {
        let kind = folder_kind(path).ok_or_else(|| unknown_folder_problem(path))?;
        let size = fs::metadata(path).map_err(|error| FileProblem::for_file(path, error))?;
        if size.len() > settings::MAX_SETTINGS_BYTES {
            let reason = format!("larger than {} bytes", settings::MAX_SETTINGS_BYTES);
            return Err(FileProblem::for_file(path, reason));
        }
        let text = fs::read_to_string(path).map_err(|error| FileProblem::for_file(path, error))?;
        Self::read_text(path, kind, text)
    }

    /// Reads and checks a text as the content of `path`.
    ///
    /// # Errors
    /// If objects of the kind have no files or the text can't be parsed.
    pub fn read_text(path: &Path, kind: ObjectKind, text: String) -> Result<Self, FileProblem> {
        let (content, name, errors) = match kind {
            ObjectKind::Template => {
                let template: alderhaven_core::template::QueryTemplate = parse_yaml(path, &text)?;
                let (name, errors) = (template.name.to_string(), template.check());
                (ConfigObject::Template(template), name, errors)
            }
            ObjectKind::Team => {
                let team: alderhaven_core::team::TeamPolicy = parse_yaml(path, &text)?;
                let (name, errors) = (team.name.to_string(), team.check());
                (ConfigObject::Team(team), name, errors)
            }
            ObjectKind::Manifest => {
                let manifest: alderhaven_core::manifest::SnapshotManifest =
                    parse_yaml(path, &text)?;
                let (name, errors) = (manifest.service.to_string(), manifest.check());
                (ConfigObject::Manifest(manifest), name, errors)
            }
            ObjectKind::Claims
            | ObjectKind::Drain
            | ObjectKind::History
            | ObjectKind::Routing
            | ObjectKind::Target
            | ObjectKind::StoreContact
            | ObjectKind::CrashStrike
            | ObjectKind::Evacuation => {
                return Err(unknown_folder_problem(path));
            }
        };
        let mut problems: Vec<FileProblem> = errors
            .into_iter()
            .map(|error| located_problem(path, &text, error))
            .collect();
        let body = json_body(&content);
        if body.len() > MAX_OBJECT_BYTES {
            let reason = format!("larger than {MAX_OBJECT_BYTES} bytes of JSON");
            problems.push(FileProblem::for_file(path, reason));
        }
        Ok(Self {
            path: path.to_owned(),
            key: ObjectKey { kind, name },
            text,
            content,
            body,
            problems,
        })
    }

    /// Returns a problem with a field of this file, with its line if the field is found.
    #[must_use]
    pub fn field_problem(&self, field: &str, reason: impl Into<String>) -> FileProblem {
        located_problem(&self.path, &self.text, Error::invalid(field, reason))
    }
}

/// Gets the kind of the objects in a file's folder.
#[must_use]
pub fn folder_kind(path: &Path) -> Option<ObjectKind> {
    let folder = path.parent()?.file_name()?.to_str()?;
    KIND_FOLDERS
        .into_iter()
        .find_map(|(name, kind)| (name == folder).then_some(kind))
}

/// Returns `true` if the file name has the extension `yaml` or `yml`.
#[must_use]
pub fn is_yaml(path: &Path) -> bool {
    path.extension()
        .is_some_and(|extension| extension == "yaml" || extension == "yml")
}

/// Gets the JSON text that is published for an object.
#[must_use]
pub fn json_body(content: &ConfigObject) -> String {
    fn to_json<T: Serialize>(value: &T) -> String {
        serde_json::to_string(value).expect("configuration objects serialize to JSON")
    }
    match content {
        ConfigObject::Template(template) => to_json(template),
        ConfigObject::Team(team) => to_json(team),
        ConfigObject::Manifest(manifest) => to_json(manifest),
        ConfigObject::Drain => to_json(&serde_json::Map::new()),
    }
}

fn parse_yaml<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, FileProblem> {
    serde_saphyr::from_str(text).map_err(|error| {
        let line = error
            .location()
            .and_then(|location| usize::try_from(location.line()).ok());
        FileProblem {
            path: path.display().to_string(),
            line,
            field: None,
            reason: error.without_snippet().to_string(),
        }
    })
}

fn located_problem(path: &Path, text: &str, error: Error) -> FileProblem {
    let (field, reason) = match error {
        Error::Invalid { field, reason } => (Some(field), reason),
        other => (None, other.to_string()),
    };
    FileProblem {
        path: path.display().to_string(),
        line: field
            .as_deref()
            .and_then(|field| line_index::field_line(text, field)),
        field,
        reason,
    }
}

fn unknown_folder_problem(path: &Path) -> FileProblem {
    let folders: Vec<&str> = KIND_FOLDERS.iter().map(|(name, _)| *name).collect();
    FileProblem::for_file(
        path,
        format!(
            "the folder is not named after a kind: allowed is {}",
            folders.join(", ")
        ),
    )
}
