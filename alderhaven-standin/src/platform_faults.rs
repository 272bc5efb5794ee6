//! The fault switches of the platform's stand-in.

use serde::{Deserialize, Serialize};

/// The writes a second that the platform takes ("several hundred").
pub const DEFAULT_WRITES_PER_SECOND: f64 = 300.0;
/// The reads a second that the platform takes ("about two thousand").
pub const DEFAULT_READS_PER_SECOND: f64 = 2_000.0;

/// A `PlatformFaults` is the whole set of switches; `POST /faults` replaces it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the switches go on and off independently of each other"
)]
pub struct PlatformFaults {
    /// The object API is out of service: every call is refused and does nothing.
    pub outage: bool,
    /// The host list is out of service.
    pub hosts_outage: bool,
    /// Every call is refused as above the rate and does nothing.
    pub throttle: bool,
    /// The milliseconds by which each call of the object API is late.
    pub delay_ms: u64,
    /// The number of coming writes that take effect and whose answer is lost.
    pub lose_write_replies: u32,
    /// The number of coming writes that take no effect and have no answer.
    pub drop_writes: u32,
    /// The number of coming writes that have no answer and take effect when they are released.
    pub hold_writes: u32,
    /// Lists answer with the state at the time when this switch went on.
    pub stale_list: bool,
    /// The reads a second that are taken, a waiting watch counted as one.
    pub reads_per_second: f64,
    /// The writes a second that are taken.
    pub writes_per_second: f64,
    /// The milliseconds by which the host list lags behind the truth.
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
