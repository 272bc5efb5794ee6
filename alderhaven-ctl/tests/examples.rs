//! Tests that the example files pass the check and keep the properties that they demonstrate.

use std::path::Path;

use alderhaven_core::class::{AnswerPreference, QueryClass};
use alderhaven_core::config_object::{ConfigObject, ObjectKind};
use alderhaven_core::template::QueryTemplate;
use alderhaven_ctl::file_check::CheckReport;

fn check_deployment(deployment: &str) -> CheckReport {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    CheckReport::read_offline(&[examples.join(deployment)])
}

fn find_template<'a>(report: &'a CheckReport, name: &str) -> &'a QueryTemplate {
    report
        .objects
        .iter()
        .find_map(|object| match &object.content {
            ConfigObject::Template(template) if template.name.as_str() == name => Some(template),
            _ => None,
        })
        .unwrap_or_else(|| panic!("{name} is among the examples"))
}

#[test]
fn examples_pass_the_check() {
    for deployment in ["volta", "lagerblik"] {
        let report = check_deployment(deployment);
        assert_eq!(report.problems, [], "{deployment}");
        let teams = report
            .objects
            .iter()
            .filter(|object| object.key.kind == ObjectKind::Team)
            .count();
        assert!(teams >= 4 && report.files >= teams + 5, "{deployment}");
    }
}

#[test]
fn examples_publish_what_nodes_accept() {
    for deployment in ["volta", "lagerblik"] {
        for object in check_deployment(deployment).objects {
            let read = ConfigObject::read(&object.key, &object.body);
            assert_eq!(read, Ok(object.content), "{}", object.key);
        }
    }
}

#[test]
fn examples_set_required_template_options() {
    let volta = check_deployment("volta");
    let duplicates = find_template(&volta, "duplicate-check");
    assert_eq!(duplicates.preference, AnswerPreference::Coverage);
    assert_eq!(duplicates.class, QueryClass::Urgent);
    assert!(!find_template(&volta, "assign-isbn").idempotent);
    let lagerblik = check_deployment("lagerblik");
    let sweep = find_template(&lagerblik, "stock-sweep");
    assert_eq!(sweep.preference, AnswerPreference::Latency);
    assert!(!find_template(&lagerblik, "reserve-stock").idempotent);
}

#[test]
fn example_tokens_are_accepted() {
    for (deployment, team) in [("volta", "registry-staff"), ("lagerblik", "shortage-desk")] {
        let report = check_deployment(deployment);
        let policy = report
            .objects
            .iter()
            .find_map(|object| match &object.content {
                ConfigObject::Team(policy) if policy.name.as_str() == team => Some(policy),
                _ => None,
            });
        let token = format!("{deployment}-example-token");
        assert!(policy.is_some_and(|policy| policy.accepts_token(Some(&token))));
        assert!(policy.is_some_and(|policy| !policy.accepts_token(None)));
    }
}
