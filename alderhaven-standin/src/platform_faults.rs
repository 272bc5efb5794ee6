//! Fault switches of the platform's stand-in.

use serde::{Deserialize, Serialize};

/// Default limit of writes per second.
pub const DEFAULT_WRITES_PER_SECOND: f64 = 300.0;
/// Default limit of reads per second.
pub const DEFAULT_READS_PER_SECOND: f64 = 2_000.0;

/// Complete set of switches; `POST /faults` replaces it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the switches are independent of each other"
)]
pub struct PlatformFaults {
    /// Refuses every call of the object API, without effect.
    pub outage: bool,
    /// Refuses reads of the host list.
    pub hosts_outage: bool,
    /// Refuses every call as rate-limited, without effect.
    pub throttle: bool,
    /// Latency in milliseconds that is added to each call of the object API.
    pub delay_ms: u64,
    /// Number of next writes that take effect but whose reply is lost.
    pub lose_write_replies: u32,
    /// Number of next writes that neither take effect nor get a reply.
    pub drop_writes: u32,
    /// Number of next writes that get no reply, and take effect when they are released.
    pub hold_writes: u32,
    /// Makes lists return the state at the time when the switch was turned on.
    pub stale_list: bool,
    /// Rate limit of reads; a watch counts as one read.
    pub reads_per_second: f64,
    /// Rate limit of writes.
    pub writes_per_second: f64,
    /// Delay in milliseconds after which a change appears in the host list.
    pub host_lag_ms: u64,
}

impl Default for PlatformFaults {
    fn default() -> Self {
        Self {
            outage: false,
            hosts_outage: false,
            throttle: false,
            delay_ms: 0,
            lose_write_replies: 0,
            drop_writes: 0,
            hold_writes: 0,
            stale_list: false,
            reads_per_second: DEFAULT_READS_PER_SECOND,
            writes_per_second: DEFAULT_WRITES_PER_SECOND,
            host_lag_ms: 0,
        }
    }
}
