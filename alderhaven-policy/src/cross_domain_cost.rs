//! Cost of choosing a replica in another failure domain.
//!
//! The cost keeps attempts within the domain while the queue there is short, since traffic between
//! domains is expensive. A paused or repeatedly failing replica outweighs it. The upper bound lets
//! long requests leave a busy replica.

use alderhaven_core::time::TimeSpan;

/// The cost as a multiple of the typical latency. It covers a queue of one or two requests. With
/// the network latency alone as the cost, each short queue would send attempts to other domains,
/// which doesn't speed up an answer that waits for its slowest shard.
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
