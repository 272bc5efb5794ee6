//! The settings of the exchange and the grounds for their figures.

use alderhaven_core::quantities::ByteSize;
use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// An `ExchangeOptions` holds the periods and bounds of the exchange.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExchangeOptions {
    /// How many peers a node announces a new version to. With 3, announcements reach 94 of 100
    /// nodes; the others notice by the digests on gossip.
    pub fanout: usize,
    /// How many peers of other failure domains a node announces to what it has from the store.
    #[serde(rename = "far_fanout")]
    pub cross_domain_fanout: usize,
    /// How long a node that hears of news waits for it to come from its own failure domain.
    #[serde(rename = "near_patience")]
    pub own_domain_wait: TimeSpan,
    /// How many times news is announced on; above the logarithm of any fleet's size.
    pub max_hops: u32,
    /// The time after which something that was asked for is asked for elsewhere.
    pub answer_timeout: TimeSpan,
    /// The shortest time between two comparisons.
    pub compare_period: TimeSpan,
    /// The most versions in one message.
    pub max_stamps: usize,
    /// The bytes of objects after which a message is full; one object may exceed it alone.
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
