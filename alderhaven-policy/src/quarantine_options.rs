//! Settings of the quarantine.

use alderhaven_core::time::TimeSpan;
use alderhaven_core::value_check::ValueCheck;
use serde::{Deserialize, Serialize};

/// Strikes kept per request; the oldest are dropped. The first attempts of a query over 130 shards
/// fit, in about 20 KB.
pub(crate) const MAX_STRIKES_PER_REQUEST: usize = 160;

/// Upper limit of the setting `max_requests`; each request holds up to 20 KB of strikes.
const MAX_TRACKED_REQUESTS: usize = 1024;

/// Settings of [`CrashQuarantine`](crate::quarantine::CrashQuarantine).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuarantineOptions {
    /// Whether requests are refused at all.
    pub enabled: bool,
    /// The number of different targets that a request crashes before it is refused. Two are
    /// the fewest that tell a request from a failing host.
    pub targets: usize,
    /// The time span in which those crashes happen. It is short enough that two unrelated crashes
    /// with the same request in flight are rare.
    pub window: TimeSpan,
    /// The length of the first refusal; each further one is twice as long.
    pub hold: TimeSpan,
    /// The longest refusal.
    pub max_hold: TimeSpan,
    /// How long a strike is remembered.
    pub memory: TimeSpan,
    /// The number of targets of one failure domain that crash together in a domain failure; within
    /// `domain_window` independent crashes are far fewer.
    pub domain_losses: usize,
    /// The time span in which crashes count as simultaneous.
    pub domain_window: TimeSpan,
    /// The maximum number of requests with strikes that are remembered.
    pub max_requests: usize,
}

impl Default for QuarantineOptions {
    fn default() -> Self {
        Self {
            enabled: true,
            targets: 2,
            window: TimeSpan::from_secs(600),
            hold: TimeSpan::from_secs(30),
            max_hold: TimeSpan::from_secs(960),
            memory: TimeSpan::from_secs(3600),
            domain_losses: 4,
            domain_window: TimeSpan::from_secs(2),
            max_requests: 256,
        }
    }
}

impl QuarantineOptions {
    /// Checks the values; fields are reported below `quarantine`.
    pub fn check(&self, check: &mut ValueCheck) {
        check.within(
            "quarantine.targets",
            &self.targets,
            &(2..=MAX_STRIKES_PER_REQUEST),
        );
        check.within(
            "quarantine.max_requests",
            &self.max_requests,
            &(1..=MAX_TRACKED_REQUESTS),
        );
    }

    /// Returns the length of the refusal with this number, counted from 1.
    pub(crate) fn refusal_span(&self, number: u32) -> TimeSpan {
        let doublings = i32::try_from(number.saturating_sub(1)).unwrap_or(30);
        let factor = 2_f64.powi(doublings.min(30));
        self.hold.mul_f64(factor).min(self.max_hold)
    }
}
