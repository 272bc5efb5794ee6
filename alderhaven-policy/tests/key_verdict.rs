//! Decisions on the keys of callers, and the ranks of their queries.

use alderhaven_policy::config_lease::LeaseStatus;
use alderhaven_policy::key_verdict::{KeyVerdict, judge_key};
use alderhaven_policy::query_rank::QueryRank;

/// Guards against telling a caller that its key is unknown while a newer configuration may have it,
/// and against serving keys after the lease has ended.
#[test]
fn judge_key_depends_on_the_lease() {
    let known = |lease| judge_key::<_, &str>(Ok("team"), lease);
    let unknown = |lease| judge_key::<&str, _>(Err("fault"), lease);
    assert_eq!(known(LeaseStatus::Fresh), KeyVerdict::Accepted("team"));
    assert_eq!(known(LeaseStatus::Held), KeyVerdict::Accepted("team"));
    assert_eq!(known(LeaseStatus::Ended), KeyVerdict::LeaseEnded);
    assert_eq!(unknown(LeaseStatus::Fresh), KeyVerdict::Refused("fault"));
    assert_eq!(unknown(LeaseStatus::Held), KeyVerdict::Unconfirmed);
    assert_eq!(unknown(LeaseStatus::Ended), KeyVerdict::LeaseEnded);
}

/// Guards against a route's rank that takes precedence over the team's.
#[test]
fn query_rank_orders_by_team_then_by_route() {
    let ranks = [
        QueryRank::new(Some(0), 9),
        QueryRank::new(Some(1), 0),
        QueryRank::of_route(1),
        QueryRank::new(Some(1), 2),
        QueryRank::of_route(2),
    ];
    assert!(ranks.is_sorted());
}
