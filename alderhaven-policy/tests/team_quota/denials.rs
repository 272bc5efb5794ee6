//! What a denial of the pool means for callers and queries.

use alderhaven_core::ids::{NodeId, TeamId};
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::credit_pool::CreditPool;
use alderhaven_policy::pool_messages::{
    PoolQuery, PoolReply, ProcessEpoch, ShareOffer, TeamDemand, TeamGrant,
};
use alderhaven_policy::pool_order::PoolCandidate;
use alderhaven_policy::quota_bound::QuotaBound;
use alderhaven_policy::team_credit::{CreditDecision, TeamCredit};
use alderhaven_policy::team_limit::TeamLimit;

use crate::common;
use crate::simulation;

/// Without slack there is no reserve.
const BOUND: QuotaBound = QuotaBound {
    window: TimeSpan::from_secs(5),
    overshoot: 0.1,
    slack: 0.0,
};

fn team() -> TeamId {
    "team-0".parse().expect("valid team")
}

fn limit() -> TeamLimit {
    simulation::limit(0.25, 1.0)
}

/// Answers a query by a front with the whole share.
fn ask(pool: &mut CreditPool, number: u64, wanted: u32, millis: u64) -> PoolReply {
    let now = common::at(millis);
    let query = PoolQuery {
        number,
        node: "front-1".parse().expect("valid node"),
        epoch: ProcessEpoch(1),
        offer: Some(ShareOffer {
            pool_epoch: ProcessEpoch(2),
            pool_time: now,
            share: 1.0,
        }),
        teams: vec![TeamDemand {
            team: team(),
            wanted,
            returned: 0,
            granted_at: TimePoint::START,
        }],
    };
    let reply = pool.answer(&query, |_| Some(limit()), now);
    reply.expect("the number is new")
}

/// Guards against denials that name a time at which the credit is not there yet, or the same one for
/// all fronts.
#[test]
fn available_after_slow_team() {
    let mut pool = CreditPool::new(BOUND, ProcessEpoch(2), TimePoint::START);
    // The share has to be delegated without interruption for a while.
    for (number, millis) in (1..).zip((0..6_000).step_by(500)) {
        ask(&mut pool, number, 0, millis);
    }
    assert_eq!(ask(&mut pool, 99, 1, 6_000).grants[0].granted, 1);
    let first = ask(&mut pool, 100, 1, 6_000).grants.remove(0);
    let second = ask(&mut pool, 101, 1, 6_010).grants.remove(0);
    assert_eq!((first.granted, second.granted), (0, 0));
    // The bucket held one request, and each takes 4 s.
    assert!(
        first.available_after >= TimeSpan::from_millis(3_990),
        "{first:?}"
    );
    let spread = second.available_after.saturating_sub(first.available_after);
    assert!(
        spread >= TimeSpan::from_secs(3),
        "{spread} between two turns"
    );
}

/// Guards against callers that are told to return before credit does, and against queries for a team
/// that is denied.
#[test]
fn take_denied_team() {
    let node: NodeId = "front-1".parse().expect("valid node");
    let start = TimePoint::START;
    let mut front = TeamCredit::new(BOUND, node, ProcessEpoch(1), start);
    front.set_own_share(0.1, start);
    let pools = ["front-0", "front-2"].map(|name| PoolCandidate {
        node: name.parse().expect("valid node"),
        is_large: true,
    });
    front.choose_pool(&pools, start);
    let team = team();
    assert_eq!(front.take(&team, limit(), start), CreditDecision::Waiting);
    let query = front.query_for(&team, limit(), start).expect("is needed");
    let reply = PoolReply {
        number: query.number,
        pool_epoch: ProcessEpoch(2),
        pool_time: start,
        grants: vec![TeamGrant {
            team: team.clone(),
            granted: 0,
            available_after: TimeSpan::from_secs(3),
        }],
    };
    front.apply(&reply, start);
    front.end_wait(&team);
    for millis in [0, 300, 999] {
        let now = common::at(millis);
        let told = TimeSpan::from_millis(3_000 - millis);
        let decision = front.take(&team, limit(), now);
        assert_eq!(decision, CreditDecision::OverLimit(told));
        assert_eq!(front.query_for(&team, limit(), now), None);
    }
    // Another pool may have credit.
    front.choose_pool(&pools[1..], common::at(999));
    let decision = front.take(&team, limit(), common::at(999));
    assert_eq!(decision, CreditDecision::Waiting);
}

/// Guards against expired credit that is missing in the count because a request noticed it first.
#[test]
fn expire_counted_once() {
    let start = TimePoint::START;
    let node: NodeId = "front-1".parse().expect("valid node");
    let mut front = TeamCredit::new(BOUND, node, ProcessEpoch(1), start);
    let pool = PoolCandidate {
        node: "front-0".parse().expect("valid node"),
        is_large: true,
    };
    front.choose_pool(&[pool], start);
    let team = team();
    assert_eq!(front.take(&team, limit(), start), CreditDecision::Waiting);
    let query = front.query_for(&team, limit(), start).expect("is needed");
    let reply = PoolReply {
        number: query.number,
        pool_epoch: ProcessEpoch(2),
        pool_time: start,
        grants: vec![TeamGrant {
            team: team.clone(),
            granted: 1,
            available_after: TimeSpan::ZERO,
        }],
    };
    front.apply(&reply, start);
    front.end_wait(&team);
    let later = common::at(600);
    assert_eq!(front.take(&team, limit(), later), CreditDecision::Waiting);
    let expired = front.expire(|_| Some(limit()), later);
    assert_eq!(expired, [(team, 1)]);
    assert_eq!(front.expire(|_| Some(limit()), later), []);
}
