//! Runs a planned query on its snapshot, and once more on a newer one if its version is gone.

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

/// Runs queries through relays.
#[derive(Debug)]
pub struct QueryRunner {
    origin: u64,
    next_sequence: AtomicU64,
    /// Connections to relays, and the relays of each target.
    pub(crate) routes: Arc<RelayRoutes>,
    /// Chooses replicas, and decides on hedges and retries.
    pub(crate) selector: Arc<ReplicaSelector>,
    /// Targets that receive no new attempts.
    pub(crate) watch: TargetWatch,
    /// Crashes attributed to requests, and the requests in quarantine.
    pub(crate) strikes: Arc<StrikeTracker>,
    /// Counters and histograms of this entry.
    pub(crate) metrics: Arc<EntryMetrics>,
    config: AppliedConfig,
}

/// Parts of the entry that a runner uses.
#[derive(Debug)]
pub struct RunnerParts {
    /// Connections to relays, and the relays of each target.
    pub routes: Arc<RelayRoutes>,
    /// Chooses replicas, and decides on hedges and retries.
    pub selector: Arc<ReplicaSelector>,
    /// Targets that receive no new attempts.
    pub watch: TargetWatch,
    /// Crashes attributed to requests, and the requests in quarantine.
    pub strikes: Arc<StrikeTracker>,
    /// The configuration on which queries are planned.
    pub config: AppliedConfig,
    /// Counters and histograms of this entry.
    pub metrics: Arc<EntryMetrics>,
}

impl QueryRunner {
    /// Creates a runner. `origin` must be random, so that attempt ids aren't reused after a
    /// restart.
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

    /// Returns the first half of every attempt id, random for each process.
    #[must_use]
    pub const fn origin(&self) -> u64 {
        self.origin
    }

    /// Allocates the second half of an attempt id.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.next_sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Runs a query and returns its answer.
    ///
    /// If no replica of a shard holds the pinned version any more, an idempotent query is run once
    /// more on a newer manifest. Late replies to the first run are ignored.
    ///
    /// # Errors
    /// The error for the caller if the query was refused or failed, or if its outcome is unknown.
    pub async fn run(
        &self,
        plan: &QueryPlan,
        permit: &mut AdmissionPermit,
    ) -> Result<QueryAnswer, ErrorAnswer> {
        // The request may have been quarantined while it was queued.
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

    /// Refuses a query whose request is in quarantine.
    ///
    /// # Errors
    /// The error for the caller, with the time after which a retry makes sense. Nothing ran.
    pub fn check_quarantine(&self, plan: &QueryPlan) -> Result<(), ErrorAnswer> {
        let Some(wait) = self.strikes.refused_for(&plan.fingerprint()) else {
            return Ok(());
        };
        self.metrics.quarantined_queries.inc();
        Err(quarantine_answer(wait))
    }

    /// Waits until the deadline for a manifest newer than the plan's.
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

/// Creates the error of a request that is in quarantine for another `wait`.
pub(crate) fn quarantine_answer(wait: TimeSpan) -> ErrorAnswer {
    ErrorAnswer::not_run(
        ErrorCode::Quarantined,
        "the request crashed targets and is refused for a while",
    )
    .with_retry_after(wait)
}
