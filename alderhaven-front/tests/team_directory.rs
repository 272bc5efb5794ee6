//! Lookup of teams by their keys, and counters by team.

use alderhaven_core::quantities::RatePerSecond;
use alderhaven_core::team::{self, TeamPolicy};
use alderhaven_core::token_hash::TokenHash;
use alderhaven_front::front_answer::RefusalReason;
use alderhaven_front::front_metrics::FrontMetrics;
use alderhaven_front::team_directory::TeamDirectory;

fn policy(name: &str, keys: &[&str]) -> TeamPolicy {
    let mut hashes = keys.iter().map(|key| team::hash_token(key));
    TeamPolicy {
        token_hash: hashes.next(),
        other_token_hashes: hashes.collect(),
        ..TeamPolicy::new(name.parse().expect("a valid name"))
    }
}

/// Guards against a team that only its first key identifies, and against mixed-up teams.
#[test]
fn directory_finds_a_team_by_each_of_its_keys() {
    let mut limited = policy("limited", &["key-3"]);
    limited.rank = Some(4);
    limited.max_rate = RatePerSecond::new(19.0).ok();
    limited.burst = Some(7.0);
    let teams = [policy("open", &["key-1", "key-2"]), limited];
    let directory = TeamDirectory::of_teams(&teams).expect("there are teams");
    let find = |key: &str| directory.find(&TokenHash::of_token(key.as_bytes()));
    for key in ["key-1", "key-2"] {
        let team = find(key).expect("a known key");
        assert_eq!(team.name.as_str(), "open");
        assert_eq!((team.rank, team.limit), (None, None));
    }
    let team = find("key-3").expect("a known key");
    let limit = team.limit.expect("the team has a limit");
    assert_eq!((team.name.as_str(), team.rank), ("limited", Some(4)));
    assert!((limit.rate.per_second() - 19.0).abs() < 1e-9 && (limit.burst - 7.0).abs() < 1e-9);
    assert!(find("key-4").is_none() && find("").is_none());
}

/// Guards against a configuration without teams that refuses all callers.
#[test]
fn directory_is_absent_without_teams() {
    assert!(TeamDirectory::of_teams(&[]).is_none());
    assert!(TeamDirectory::of_teams(&[policy("keyless", &[])]).is_some());
}

/// Guards against metrics that grow with the number of teams.
#[test]
fn team_metrics_label_64_teams_and_others_together() {
    let metrics = FrontMetrics::default();
    for number in 0..70 {
        let team = format!("team-{number}");
        let team = team.parse().expect("a valid name");
        metrics.teams.observe_request(&team);
        metrics
            .teams
            .observe_refusal(&team, RefusalReason::OverLimit);
    }
    let text = metrics.encode();
    let lines = |name: &str| text.lines().filter(|line| line.starts_with(name)).count();
    assert_eq!(lines("alderhaven_front_team_requests_total"), 65, "{text}");
    assert_eq!(lines("alderhaven_front_team_refusals_total"), 65, "{text}");
    let others = "alderhaven_front_team_requests_total{team=\"other\"} 6";
    assert!(text.contains(others), "{text}");
}
