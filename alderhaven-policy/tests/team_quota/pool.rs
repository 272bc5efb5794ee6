//! What a pool counts as delegated.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::credit_pool::CreditPool;
use alderhaven_policy::pool_messages::{PoolQuery, ProcessEpoch, ShareOffer, TeamDemand};

use crate::common;
use crate::simulation::{self, BOUND};

const POOL: ProcessEpoch = ProcessEpoch(7);

fn query(
    number: u64,
    offer: impl Into<Option<ShareOffer>>,
    wanted: u32,
    returned: u32,
) -> PoolQuery {
    PoolQuery {
        number,
        node: "front-1".parse().expect("valid node"),
        epoch: ProcessEpoch(1),
        offer: offer.into(),
        teams: vec![TeamDemand {
            team: "team-0".parse().expect("valid team"),
            wanted,
            returned,
            granted_at: common::at(5_500),
        }],
    }
}

fn offer(pool_epoch: ProcessEpoch, pool_time: TimePoint) -> ShareOffer {
    ShareOffer {
        pool_epoch,
        pool_time,
        share: 1.0,
    }
}

fn answer(pool: &mut CreditPool, query: &PoolQuery, now: TimePoint) -> Option<u32> {
    let reply = pool.answer(query, |_| Some(simulation::limit(20.0, 10.0)), now)?;
    Some(reply.grants.first().map_or(0, |grant| grant.granted))
}

/// Guards against a share that is counted by another process than the one that it was delegated to,
/// or after its lifetime.
#[test]
fn answer_invalid_offers() {
    let cases = [
        (ProcessEpoch(8), common::at(5_000), "another process"),
        (POOL, common::at(3_800), "expired"),
        (POOL, common::at(5_001), "not sent yet"),
    ];
    for (epoch, pool_time, case) in cases {
        let mut pool = CreditPool::new(BOUND, POOL, TimePoint::START);
        let now = common::at(5_000);
        answer(&mut pool, &query(1, offer(epoch, pool_time), 0, 0), now);
        assert!(pool.delegated_share(now) < 1e-9, "{case}");
    }
}

/// Guards against a share that counts after its lifetime, and against credit for that time.
#[test]
fn answer_expired_delegation() {
    for (share, lifetime) in [(1.0, 600), (0.02, 600), (0.01, 1_200)] {
        let mut pool = CreditPool::new(BOUND, POOL, TimePoint::START);
        let start = common::at(5_000);
        let delegated = ShareOffer {
            share,
            ..offer(POOL, start)
        };
        assert_eq!(
            answer(&mut pool, &query(1, delegated, 9, 0), start),
            Some(0)
        );
        let end = start + TimeSpan::from_millis(lifetime);
        let before = pool.delegated_share(end - TimeSpan::from_millis(1));
        assert!((before - share).abs() < 1e-9, "{before} of {share}");
        assert!(pool.delegated_share(end) < 1e-9);
        let later = common::at(20_000);
        let renewed = query(2, offer(POOL, later), 9, 0);
        assert_eq!(
            answer(&mut pool, &renewed, later),
            Some(0),
            "nothing is left"
        );
    }
}

/// Guards against credit that a duplicated or overtaken datagram grants or returns again.
#[test]
fn answer_repeated_number() {
    let mut pool = CreditPool::new(BOUND, POOL, TimePoint::START);
    let start = common::at(5_000);
    answer(&mut pool, &query(1, offer(POOL, start), 0, 0), start);
    let later = common::at(5_500);
    assert_eq!(
        answer(&mut pool, &query(3, offer(POOL, start), 4, 0), later),
        Some(4)
    );
    let returned = query(4, offer(POOL, later), 0, 2);
    assert_eq!(answer(&mut pool, &returned, later), Some(0));
    assert_eq!(answer(&mut pool, &returned, later), None);
    assert_eq!(
        answer(&mut pool, &query(2, offer(POOL, later), 9, 0), later),
        None
    );
    assert_eq!(
        answer(&mut pool, &query(5, offer(POOL, later), 20, 0), later),
        Some(8)
    );
}

/// Guards against returned credit without a recent echo, which may be a late duplicate.
#[test]
fn answer_returned_without_echo() {
    let mut pool = CreditPool::new(BOUND, POOL, TimePoint::START);
    let start = common::at(5_000);
    answer(&mut pool, &query(1, offer(POOL, start), 0, 0), start);
    let later = common::at(5_500);
    assert_eq!(
        answer(&mut pool, &query(2, offer(POOL, later), 20, 0), later),
        Some(10)
    );
    assert_eq!(answer(&mut pool, &query(3, None, 10, 10), later), Some(0));
}
