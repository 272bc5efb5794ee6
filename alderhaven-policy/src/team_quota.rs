//! The published limits of one team at one entry: rate, queries in flight and weight.

use alderhaven_core::team::TeamPolicy;
use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::admit_decision::{Refusal, RefusalReason};
use crate::token_bucket::TokenBucket;

/// A `TeamQuota` counts a team's queries against its published limits.
///
/// A rate over all entries is cut into equal parts, since callers spread over the entries that the
/// system names to them; the burst is one second's part, and one query at least.
#[derive(Clone, Debug, Default)]
pub struct TeamQuota {
    weight: u32,
    bucket: Option<TokenBucket>,
    policy: Option<TeamPolicy>,
    in_flight: u32,
}

impl TeamQuota {
    /// Takes over what is published.
    pub fn set_policy(&mut self, team: &TeamPolicy, entries: u32, now: TimePoint) {
        self.weight = team.weight;
        self.policy = Some(team.clone());
        self.set_entries(entries, now);
    }

    /// Takes over how many entries share the team's rate.
    pub fn set_entries(&mut self, entries: u32, now: TimePoint) {
        let rate = self.policy.as_ref().and_then(|team| team.max_rate);
        self.bucket = rate.and_then(|rate| {
            let own_rate = rate.per_second() / f64::from(entries.max(1));
            let rate = alderhaven_core::quantities::RatePerSecond::new(own_rate).ok()?;
            let burst = own_rate.max(1.0);
            let mut bucket = self
                .bucket
                .unwrap_or_else(|| TokenBucket::new(rate, burst, now));
            bucket.set_rate(rate, burst, now);
            Some(bucket)
        });
    }

    /// Takes a query into the team's count.
    ///
    /// # Errors
    /// The refusal where a limit is reached.
    pub fn acquire(&mut self, now: TimePoint) -> Result<(), Refusal> {
        let max_in_flight = self.policy.as_ref().and_then(|team| team.max_in_flight);
        if max_in_flight.is_some_and(|max_in_flight| self.in_flight >= max_in_flight) {
            return Err(Refusal {
                reason: RefusalReason::TeamInFlight,
                retry_after: TimeSpan::ZERO,
            });
        }
        if let Some(bucket) = &mut self.bucket {
            bucket.take(now).map_err(|retry_after| Refusal {
                reason: RefusalReason::TeamRate,
                retry_after,
            })?;
        }
        self.in_flight += 1;
        Ok(())
    }

    /// Takes a query out of the count because it ended.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes a query out of the count because it was refused: it costs no part of the rate.
    pub fn release_refused(&mut self) {
        self.release();
        if let Some(bucket) = &mut self.bucket {
            bucket.refund();
        }
    }

    /// Gets the weight, 1 where none was published.
    #[must_use]
    pub fn weight(&self) -> u32 {
        self.weight.max(1)
    }
}
