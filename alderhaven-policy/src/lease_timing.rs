//! Times of a lease, derived from the bound within which a removed key must stop working.

use alderhaven_core::time::TimeSpan;

use crate::lease_options::LeaseOptions;

/// The bound for which the times below are stated. They shrink with a shorter bound and stay the
/// same with a longer one, or without any.
const REFERENCE_BOUND: TimeSpan = TimeSpan::from_millis(5_000);

/// The part of the bound that the lease uses. The rest covers clocks that run at different rates,
/// and the time between a decision and the send that follows it.
const USED_BOUND: f64 = 0.95;

/// The age of a proof up to which an unknown key is refused.
const FRESH_AGE: TimeSpan = TimeSpan::from_millis(2_500);

/// The age of a proof from which a front uses every path: the store, and all other fronts.
const URGENT_AGE: TimeSpan = TimeSpan::from_millis(2_000);

/// The age at which a proof is renewed.
const RENEW_AGE: TimeSpan = TimeSpan::from_millis(1_000);

/// The additional age at which a front renews its proof, for each front between it and the store, so
/// that the front that it queries has usually renewed its own proof just before.
const RENEW_STEP: TimeSpan = TimeSpan::from_millis(100);

/// The time after which a query is sent to another front.
const QUERY_TIMEOUT: TimeSpan = TimeSpan::from_millis(200);

/// The shortest query timeout: a few round trips between failure domains.
const MIN_QUERY_TIMEOUT: TimeSpan = TimeSpan::from_millis(20);

/// Times of one lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTiming {
    end_age: Option<TimeSpan>,
    scale: f64,
}

impl LeaseTiming {
    /// Derives the times from the settings.
    #[must_use]
    pub fn new(options: LeaseOptions) -> Self {
        let bound = options.revocation_bound;
        let relative = |bound: TimeSpan| bound.as_secs_f64() / REFERENCE_BOUND.as_secs_f64();
        Self {
            end_age: bound.map(|bound| bound.mul_f64(USED_BOUND)),
            scale: bound.map_or(1.0, relative).min(1.0),
        }
    }

    /// Returns the age of the proof at which the lease ends; `None` if it never ends.
    #[must_use]
    pub const fn end_age(&self) -> Option<TimeSpan> {
        self.end_age
    }

    /// Returns the age of the proof up to which an unknown key is refused.
    #[must_use]
    pub fn fresh_age(&self) -> TimeSpan {
        FRESH_AGE.mul_f64(self.scale)
    }

    /// Returns the age of the proof from which every path is used.
    #[must_use]
    pub fn urgent_age(&self) -> TimeSpan {
        URGENT_AGE.mul_f64(self.scale)
    }

    /// Returns the pause between two lists of the store by one front.
    #[must_use]
    pub fn list_interval(&self) -> TimeSpan {
        RENEW_AGE.mul_f64(self.scale)
    }

    /// Returns the age at which a front renews its proof with `hops` fronts between it and the
    /// store. `random`, from 0 to 1, spreads the fronts.
    #[must_use]
    pub fn renew_age(&self, hops: usize, random: f64) -> TimeSpan {
        (RENEW_AGE + RENEW_STEP.mul_f64(hops as f64 + random)).mul_f64(self.scale)
    }

    /// Returns the time after which a query is sent to another front.
    #[must_use]
    pub fn query_timeout(&self) -> TimeSpan {
        QUERY_TIMEOUT.mul_f64(self.scale).max(MIN_QUERY_TIMEOUT)
    }
}
