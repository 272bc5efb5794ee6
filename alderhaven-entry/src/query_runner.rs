//! The running of a planned query, on one snapshot or, once more, on a newer one.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use alderhaven_core::time::TimeSpan;
use alderhaven_peer::strike_tracker::StrikeTracker;
use alderhaven_store::target_watch::TargetWatch;
use tokio::time;

use crate::admission_permit::AdmissionPermit;
use crate::answer::{ErrorAnswer, ErrorCode, QueryAnswer};
use crate::applied_config::AppliedConfig;
use crate::metrics::EntryMetrics;
use crate::query_plan::QueryPlan;
use crate::relay_routes::RelayRoutes;
use crate::replica_selector::ReplicaSelector;
use crate::running_query::RunningQuery;

/// A `QueryRunner` runs queries through the relays.
#[derive(Debug)]
pub struct QueryRunner {
    origin: u64,
    next_sequence: AtomicU64,
    /// The routes through relays.
    pub(crate) routes: Arc<RelayRoutes>,
    /// What is known of the targets.
    pub(crate) selector: Arc<ReplicaSelector>,
    /// The targets that get no new work.
    pub(crate) watch: TargetWatch,
    /// What is known of requests that crash targets.
    pub(crate) strikes: Arc<StrikeTracker>,
    /// What is counted.
    pub(crate) metrics: Arc<EntryMetrics>,
    config: AppliedConfig,
}

/// A `RunnerParts` is what a runner shares with the rest of the entry.
#[derive(Debug)]
pub struct RunnerParts {
    /// The routes through relays.
    pub routes: Arc<RelayRoutes>,
    /// What is known of the targets.
    pub selector: Arc<ReplicaSelector>,
    /// The targets that get no new work.
    pub watch: TargetWatch,
    /// What is known of requests that crash targets.
    pub strikes: Arc<StrikeTracker>,
    /// The configuration that queries are planned on.
    pub config: AppliedConfig,
    /// What is counted.
    pub metrics: Arc<EntryMetrics>,
}

impl QueryRunner {
    /// Returns a runner; `origin` is random so that attempt ids don't recur over restarts.
    #[must_use]
    pub fn new(origin: u64, parts: RunnerParts) -> Self {
        Self {
            origin,
            next_sequence: AtomicU64::new(1),
            routes: parts.routes,
            selector: parts.selector,
            watch: parts.watch,
            strikes: parts.strikes,
            metrics: parts.metrics,
            config: parts.config,
        }
    }

    /// Gets the random half of the attempt ids.
    #[must_use]
    pub const fn origin(&self) -> u64 {
        self.origin
    }

    /// Takes the counting half of a new attempt's id.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.next_sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Runs a query to its answer.
    ///
    /// Where no replica of a shard holds the pinned version any more, an idempotent query is run
    /// once more as a whole on a newer manifest; replies for the older one belong to nobody then.
    ///
    /// # Errors
    /// The answer for the caller where the query was refused, failed or has an unknown outcome.
    pub async fn run(
        &self,
        plan: &QueryPlan,
        permit: &mut AdmissionPermit,
    ) -> Result<QueryAnswer, ErrorAnswer> {
        // A strike may have come in while the query waited for its turn.
        self.check_quarantine(plan)?;
        let query = RunningQuery::run(self, plan, permit).await;
        if !query.needs_newer_snapshot() {
            return query.finish();
        }
        let Some(newer) = self.newer_plan(plan).await else {
            return query.finish();
        };
        drop(query);
        self.metrics.snapshot_restarts.inc();
        RunningQuery::run(self, &newer, permit).await.finish()
    }

    /// Refuses a query that crashed targets.
    ///
    /// # Errors
    /// The answer for the caller, with when to come back: nothing ran.
    pub fn check_quarantine(&self, plan: &QueryPlan) -> Result<(), ErrorAnswer> {
        let Some(wait) = self.strikes.refused_for(&plan.fingerprint()) else {
            return Ok(());
        };
        self.metrics.quarantined_queries.inc();
        Err(quarantine_answer(wait))
    }

    /// Waits for a manifest that is newer than the plan's, until the plan's time is up.
    async fn newer_plan(&self, plan: &QueryPlan) -> Option<QueryPlan> {
        let mut changed = self.config.subscribe();
        let expires_at = time::Instant::from_std(plan.expires_at());
        loop {
            let newer = self
                .config
                .view()
                .manifests
                .get(&plan.template.service)
                .filter(|manifest| manifest.snapshot > plan.manifest.snapshot)
                .cloned();
            if let Some(manifest) = newer {
                return plan.pinned_to(manifest).ok();
            }
            match time::timeout_at(expires_at, changed.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return None,
            }
        }
    }
}

/// Returns the answer to a request that crashed targets and is refused for `wait`.
pub(crate) fn quarantine_answer(wait: TimeSpan) -> ErrorAnswer {
    ErrorAnswer::not_run(
        ErrorCode::Quarantined,
        "the request crashed targets and is refused for a while",
    )
    .with_retry_after(wait)
}
