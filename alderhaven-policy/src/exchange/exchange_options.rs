//! Settings of the exchange.

use alderhaven_core::quantities::ByteSize;
use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// Periods, timeouts and size limits of the exchange.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExchangeOptions {
    /// Number of peers that a node announces a new version to. Nodes that the announcements miss
    /// notice the change by digests on gossip.
    pub fanout: usize,
    /// Number of additional peers in other failure domains that a node announces changes from the
    /// store to.
    #[serde(rename = "far_fanout")]
    pub cross_domain_fanout: usize,
    /// Time for which a node that lags waits for a peer of its own failure domain, before it
    /// compares with a peer of another one.
    #[serde(rename = "near_patience")]
    pub own_domain_wait: TimeSpan,
    /// Number of times that a change is announced further; must exceed the logarithm of the group
    /// size.
    pub max_hops: u32,
    /// Time after which an unanswered request is sent to another peer.
    pub answer_timeout: TimeSpan,
    /// Shortest time between two comparisons.
    pub compare_period: TimeSpan,
    /// Maximum number of versions or objects in one message.
    pub max_stamps: usize,
    /// Size of the objects in one message. A single object may exceed it.
    pub max_object_bytes: ByteSize,
}

impl Default for ExchangeOptions {
    fn default() -> Self {
        Self {
            fanout: 3,
            cross_domain_fanout: 2,
            own_domain_wait: TimeSpan::from_millis(500),
            max_hops: 12,
            answer_timeout: TimeSpan::from_secs(1),
            compare_period: TimeSpan::from_millis(250),
            max_stamps: 256,
            max_object_bytes: ByteSize::from_kib(256),
        }
    }
}
