//! What a replica in another failure domain must be faster by to be chosen.
//!
//! Load pattern: each shard has a replica or two, some of them near, and a query goes to dozens of
//! shards. At any moment some near replica has a request of the same node in flight and the far one
//! has none.
//!
//! Without it, or with the time of the way alone: every short queue at a near replica sends the query
//! across, until more than half of all attempts cross. Nobody is served sooner for it: the answer
//! waits for its slowest shard, and bytes between failure domains are paid for.
//!
//! The rule: a far replica must be faster by twice the usual time of such an attempt. A queue of one or
//! two requests stays near; a pause, a slow spell or failures, which cost more than that, go across.
//! The limit keeps long requests free to leave a busy replica, and pauses free to be passed.

use alderhaven_core::time::TimeSpan;

/// The share of the usual time that a far replica must be faster by.
const TYPICAL_LATENCY_FACTOR: f64 = 2.0;

/// The most that it must be faster by, so that a paused near replica is passed.
const MAX_CROSS_DOMAIN_COST: TimeSpan = TimeSpan::from_millis(36);

/// Gets what a replica in another failure domain must be faster by, where an attempt usually takes
/// `usual`.
#[must_use]
pub fn cross_domain_cost(usual: TimeSpan) -> TimeSpan {
    usual
        .mul_f64(TYPICAL_LATENCY_FACTOR)
        .min(MAX_CROSS_DOMAIN_COST)
}
