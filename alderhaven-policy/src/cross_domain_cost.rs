//! Cost of choosing a replica in another failure domain.
//!
//! Without this cost any short queue at a replica in the own domain would send the attempt to
//! another one. That rarely makes an answer faster, as the answer waits for its slowest shard, and
//! traffic between domains is expensive. The cost is twice the typical latency: a queue of one or
//! two requests stays in the domain, while a pause or repeated failures outweigh it. The upper
//! bound lets long requests leave a busy replica.

use alderhaven_core::time::TimeSpan;

/// The cost as a multiple of the typical latency.
const TYPICAL_LATENCY_FACTOR: f64 = 2.0;

/// The upper bound of the cost, which lets a paused replica in the own domain be bypassed.
const MAX_CROSS_DOMAIN_COST: TimeSpan = TimeSpan::from_millis(36);

/// Returns the time by which a replica in another failure domain must be faster to be chosen, if an
/// attempt typically takes `typical_latency`.
#[must_use]
pub fn cross_domain_cost(typical_latency: TimeSpan) -> TimeSpan {
    typical_latency
        .mul_f64(TYPICAL_LATENCY_FACTOR)
        .min(MAX_CROSS_DOMAIN_COST)
}
