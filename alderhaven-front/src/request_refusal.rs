//! The record of a request that is refused before any target is tried.

use alderhaven_core::ids::TeamId;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::config_lease::LeaseStatus;
use log::Level;
use rand::RngExt;

use crate::catalog_view::LiveRoute;
use crate::front_answer::{FrontAnswer, RefusalReason};
use crate::front_event::FrontEvent;
use crate::front_metrics::FrontMetrics;
use crate::query_call::QueryCall;

/// A refusal and what led to it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestRefusal<'a> {
    /// Caller's id of this attempt.
    pub request: &'a str,
    /// Cause of the refusal.
    pub reason: RefusalReason,
    /// Time after which the caller may retry, as the answer states it.
    pub retry_after: TimeSpan,
    /// Caller's team, if it is known.
    pub team: Option<&'a TeamId>,
    /// Configuration version that applied, if any.
    pub version: Option<u64>,
    /// Lease on the configuration, if it decided.
    pub lease: Option<LeaseStatus>,
}

impl<'a> RequestRefusal<'a> {
    /// Creates the refusal of a request whose body was read.
    pub(crate) fn of_call(
        call: &'a QueryCall,
        route: &LiveRoute,
        reason: RefusalReason,
        retry_after: TimeSpan,
    ) -> Self {
        Self {
            request: &call.request_id,
            reason,
            retry_after,
            team: call.identity.team().map(|team| &team.name),
            version: Some(route.version),
            lease: None,
        }
    }

    /// Records the refusal and returns the answer that the request didn't run.
    pub(crate) fn answer_not_run(&self, metrics: &FrontMetrics, level: Level) -> FrontAnswer {
        self.record(metrics, level);
        FrontAnswer::NotRun {
            reason: self.reason,
            retry_after: self.retry_after,
        }
    }

    /// Counts the refusal and logs it.
    pub(crate) fn record(&self, metrics: &FrontMetrics, level: Level) {
        metrics.observe_refusal(self.reason);
        if let Some(team) = self.team {
            metrics.teams.observe_refusal(team, self.reason);
        }
        FrontEvent::RequestRefused {
            request: self.request.to_owned(),
            reason: self.reason,
            retry_after: self.retry_after,
            team: self.team.cloned(),
            version: self.version,
            lease: self.lease,
        }
        .emit(level);
    }
}

/// Adds a random part of `jitter` to a retry time, so that callers that were refused together do
/// not return together.
pub(crate) fn spread_retry(min: TimeSpan, jitter: TimeSpan) -> TimeSpan {
    min + jitter.mul_f64(rand::rng().random_range(0.0..1.0))
}
