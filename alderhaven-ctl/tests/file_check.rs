//! Tests that the offline check lists all problems at once, each with its file and line.

use std::path::{Path, PathBuf};

use alderhaven_ctl::file_check::CheckReport;
use alderhaven_ctl::line_index;

/// The problems of the files in `tests/data/refused`, in the order of files and lines.
const EXPECTED_PROBLEMS: [&str; 16] = [
    "extras/x.yaml: the folder is not named after a kind: allowed is templates, teams, manifests",
    "teams/heavy.yaml:2: weight: 1001 is refused: allowed is 1 to 1000",
    "teams/heavy.yaml:3: max_in_flight: allowed is 1 or more",
    "teams/heavy.yaml:4: token_hash: allowed is a BLAKE3 hash of 64 hexadecimal digits",
    "templates/sweep.yaml:4: parameters.drug: `too-long` is refused: allowed is a text of at most 4 bytes",
    "templates/sweep.yaml:7: parameters.packs: min 9 is above max 1",
    "templates/sweep.yaml:7: parameters.packs: `1` is refused: allowed is a whole number from 9 to 1",
    "templates/sweep.yaml:11: team_values.clerks.color: is not a parameter of the template",
    "templates/sweep.yaml:12: team_values.nobody: team `nobody` is not known",
    "templates/sweep.yaml:14: teams: team `ghosts` is not known",
    "templates/sweep.yaml:15: shards: `depot` is not a parameter of the template",
    "templates/sweep.yaml:16: merge.limit: allowed is 1 to 10000",
    "templates/sweep.yaml:17: deadline: 2h is refused: allowed is 1ms to 1m",
    "templates/sweep.yaml:18: answer_by: answer_by and min_coverage go with `preference: latency` only",
    "templates/twin-b.yaml:1: name: template/twin is also in templates/twin-a.yaml: names are unique within a kind",
    "templates/unknown-key.yaml:5: unknown field `dead_line`, expected one of name, service, parameters, team_values, teams, shards, merge, idempotent, class, deadline, answer_by, min_coverage, preference at line 5, column 1",
];

fn refused_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/refused")
}

#[test]
fn check_report_lists_all_problems_with_lines() {
    let root = format!("{}/", refused_folder().display());
    let report = CheckReport::read_offline(&[refused_folder()]);
    let lines: Vec<String> = report
        .problems
        .iter()
        .map(|problem| problem.to_string().replace(&root, ""))
        .collect();
    assert_eq!(lines, EXPECTED_PROBLEMS);
    assert_eq!(report.files, 7);
}

#[test]
fn check_report_rejects_missing_path() {
    let report = CheckReport::read_offline(&[refused_folder().join("teams/absent.yaml")]);
    assert_eq!(report.problems.len(), 1);
    assert!(!report.is_clean());
}

#[test]
fn check_report_skips_team_check_without_known_teams() {
    let report = CheckReport::read_offline(&[refused_folder().join("templates/sweep.yaml")]);
    let has_team_problem = report
        .problems
        .iter()
        .any(|problem| problem.reason.contains("is not known"));
    assert!(!has_team_problem && !report.is_clean());
}

#[test]
fn field_line_follows_indentation() {
    let text = "a:\n  # b: no\n  deep:\n    b: 1\n  b: 2\nb: 3\n";
    assert_eq!(line_index::field_line(text, "a.b"), Some(5));
    assert_eq!(line_index::field_line(text, "b"), Some(6));
    assert_eq!(line_index::field_line(text, "a.deep.b.c"), Some(4));
    assert_eq!(line_index::field_line(text, "c"), None);
}
