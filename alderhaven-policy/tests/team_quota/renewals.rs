//! Messages and wake-ups of a front without requests.

use alderhaven_core::ids::NodeId;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::credit_pool::CreditPool;
use alderhaven_policy::pool_messages::ProcessEpoch;
use alderhaven_policy::pool_order::PoolCandidate;
use alderhaven_policy::team_credit::TeamCredit;

use crate::common;
use crate::simulation::BOUND;

/// Shortest and longest time between two wake-ups of a front.
const MIN_TICK: TimeSpan = TimeSpan::from_millis(100);
const MAX_TICK: TimeSpan = TimeSpan::from_millis(500);

/// The counted time.
const FROM: TimePoint = common::at(5_000);
const TO: TimePoint = common::at(15_000);

/// Guards against small hosts that wake up and send more often than needed, and against delegations
/// that lapse between two renewals, also when one of them is lost.
#[test]
fn renewal_idle_front() {
    for (share, most_queries, most_wakeups) in [(0.003, 21, 41), (0.13, 51, 101)] {
        for lost_every in [0, 7] {
            let (queries, wakeups) = run_idle_front(share, lost_every);
            let repeats = queries.checked_div(lost_every).map_or(0, |lost| lost + 1);
            assert!(queries <= most_queries + repeats, "{queries} queries");
            assert!(wakeups <= most_wakeups + repeats, "{wakeups} wake-ups");
        }
    }
}

/// Returns the queries and wake-ups of the counted time.
fn run_idle_front(share: f64, lost_every: usize) -> (usize, usize) {
    let start = TimePoint::START;
    let node: NodeId = "front-1".parse().expect("valid node");
    let candidates = [PoolCandidate {
        node: "front-0".parse().expect("valid node"),
        is_large: true,
    }];
    let mut front = TeamCredit::new(BOUND, node, ProcessEpoch(1), start);
    let mut pool = CreditPool::new(BOUND, ProcessEpoch(2), start);
    let mut now = start;
    let (mut queries, mut wakeups, mut sent, mut lost_queries) = (0, 0, 0, 0);
    while now < TO {
        let is_counted = usize::from(now >= FROM);
        wakeups += is_counted;
        front.set_own_share(share, now);
        front.choose_pool(&candidates, now);
        if now >= FROM {
            let delegated = pool.delegated_share(now);
            assert!((delegated - share).abs() < 1e-9, "{delegated} of {share}");
        }
        let renewal = front.renewal(now);
        let pause = front.until_renewal(now).min(MAX_TICK);
        if let Some(query) = renewal {
            queries += is_counted;
            sent += 1;
            let is_lost = lost_every > 0 && sent % lost_every == 0;
            // Queries and replies are lost in turn.
            let is_query_lost = is_lost && sent % (2 * lost_every) == 0;
            if is_query_lost {
                lost_queries += 1;
            } else if let Some(reply) = pool.answer(&query, |_| None, now)
                && !is_lost
            {
                front.apply(&reply, now);
            }
        }
        now = now + pause.max(MIN_TICK);
    }
    assert!(lost_every == 0 || lost_queries > 0);
    (queries, wakeups)
}
