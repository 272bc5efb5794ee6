//! Enforces the published limits of one team at one entry: query rate and queries in flight.

use alderhaven_core::team::TeamPolicy;
use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::admit_decision::{Refusal, RefusalReason};
use crate::token_bucket::TokenBucket;

/// Current usage and limits of one team.
///
/// A team's rate is divided equally among the entries, since callers spread over the entries that
/// the system names to them. The burst is one second of this entry's rate, and at least one query.
#[derive(Clone, Debug, Default)]
pub struct TeamQuota {
    weight: u32,
    bucket: Option<TokenBucket>,
    policy: Option<TeamPolicy>,
    in_flight: u32,
}

impl TeamQuota {
    /// Replaces the published limits and the weight.
    pub fn set_policy(&mut self, team: &TeamPolicy, entries: u32, now: TimePoint) {
        self.weight = team.weight;
        self.policy = Some(team.clone());
        self.set_entries(entries, now);
    }

    /// Sets the number of entries that share the team's rate.
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

    /// Counts a query as in flight and charges it to the rate.
    ///
    /// # Errors
    /// Returns the refusal if a limit is reached.
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

    /// Releases a query that ended.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Releases a query that was refused for other reasons and refunds its charge to the rate.
    pub fn release_refused(&mut self) {
        self.release();
        if let Some(bucket) = &mut self.bucket {
            bucket.refund();
        }
    }

    /// Returns the team's weight, or 1 if none was published.
    #[must_use]
    pub fn weight(&self) -> u32 {
        self.weight.max(1)
    }
}
