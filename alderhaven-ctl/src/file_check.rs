//! Checks configuration files, each on its own and then against each other.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

use alderhaven_core::config_object::{ConfigObject, ObjectKey, ObjectKind};
use alderhaven_core::ids::TeamId;
use alderhaven_core::template::QueryTemplate;
use serde::Serialize;

use crate::file_problem::FileProblem;
use crate::object_file::{self, ObjectFile};

/// Nesting depth of folders, which bounds the walk through a loop of symbolic links.
const MAX_FOLDER_DEPTH: usize = 8;

/// The objects of a set of files and all problems found in them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CheckReport {
    /// The objects that could be read, sorted by key, including those with problems.
    #[serde(skip)]
    pub objects: Vec<ObjectFile>,
    /// The number of files that were read.
    pub files: usize,
    /// Sorted by file and line.
    pub problems: Vec<FileProblem>,
}

impl CheckReport {
    /// Reads and checks all YAML files at or below the paths, but not the teams that they name.
    #[must_use]
    pub fn read(paths: &[PathBuf]) -> Self {
        let mut report = Self::default();
        let mut files = BTreeSet::new();
        for path in paths {
            collect_files(path, MAX_FOLDER_DEPTH, &mut files, &mut report.problems);
        }
        if files.is_empty() && report.problems.is_empty() {
            let first = paths.first().map_or(Path::new("."), PathBuf::as_path);
            report.problems.push(FileProblem::for_file(
                first,
                "no YAML file found at this path",
            ));
        }
        report.files = files.len();
        for file in &files {
            match ObjectFile::read(file) {
                Ok(object) => {
                    report.problems.extend(object.problems.iter().cloned());
                    report.objects.push(object);
                }
                Err(problem) => report.problems.push(problem),
            }
        }
        report.objects.sort_by(|a, b| a.key.cmp(&b.key));
        report.check_unique_keys();
        report.sort_problems();
        report
    }

    /// Reads and checks all YAML files, and the teams that they name against these files only.
    #[must_use]
    pub fn read_offline(paths: &[PathBuf]) -> Self {
        let mut report = Self::read(paths);
        report.check_teams(&BTreeSet::new());
        report
    }

    /// Returns `true` if there are no problems.
    #[must_use]
    pub const fn is_clean(&self) -> bool {
        self.problems.is_empty()
    }

    /// Reports files with the same key, which would overwrite each other.
    fn check_unique_keys(&mut self) {
        let mut first_files: BTreeMap<&ObjectKey, &ObjectFile> = BTreeMap::new();
        let mut problems = Vec::new();
        for object in &self.objects {
            if let Some(first) = first_files.get(&object.key) {
                let reason = format!(
                    "{} is also in {}: names are unique within a kind",
                    object.key,
                    first.path.display()
                );
                problems.push(object.field_problem("name", reason));
            } else {
                first_files.insert(&object.key, object);
            }
        }
        self.problems.extend(problems);
    }

    /// Checks that the teams named by templates exist in these files or in `published`.
    ///
    /// If neither has any team, the check is skipped.
    pub fn check_teams(&mut self, published: &BTreeSet<String>) {
        let known_teams: BTreeSet<&str> = self
            .objects
            .iter()
            .filter(|object| object.key.kind == ObjectKind::Team)
            .map(|object| object.key.name.as_str())
            .chain(published.iter().map(String::as_str))
            .collect();
        if known_teams.is_empty() {
            return;
        }
        let mut problems = Vec::new();
        for object in &self.objects {
            if let ConfigObject::Template(template) = &object.content {
                problems.extend(team_problems(object, template, &known_teams));
            }
        }
        self.problems.extend(problems);
        self.sort_problems();
    }

    fn sort_problems(&mut self) {
        self.problems
            .sort_by(|a, b| (&a.path, a.line).cmp(&(&b.path, b.line)));
    }
}

fn team_problems(
    object: &ObjectFile,
    template: &QueryTemplate,
    known_teams: &BTreeSet<&str>,
) -> Vec<FileProblem> {
    let unknown = |team: &TeamId| !known_teams.contains(team.as_str());
    let mut problems = Vec::new();
    for team in template.teams.iter().filter(|team| unknown(team)) {
        problems.push(object.field_problem("teams", format!("team `{team}` is not known")));
    }
    for team in template.team_values.keys() {
        let field = format!("team_values.{team}");
        if unknown(team) {
            problems.push(object.field_problem(&field, format!("team `{team}` is not known")));
        } else if !template.allows(team) {
            let reason = format!("team `{team}` may not use the template: see `teams`");
            problems.push(object.field_problem(&field, reason));
        }
    }
    problems
}

fn collect_files(
    path: &Path,
    depth: usize,
    files: &mut BTreeSet<PathBuf>,
    problems: &mut Vec<FileProblem>,
) {
    if !path.is_dir() {
        files.insert(path.to_owned());
        return;
    }
    if depth == 0 {
        problems.push(FileProblem::for_file(path, "folders are nested too deeply"));
        return;
    }
    let entries = match fs::read_dir(path) {
        Ok(entries) => entries,
        Err(error) => {
            problems.push(FileProblem::for_file(path, error));
            return;
        }
    };
    for entry in entries.flatten() {
        let child = entry.path();
        if child.is_dir() || object_file::is_yaml(&child) {
            collect_files(&child, depth - 1, files, problems);
        }
    }
}
