//! Chooses replicas and decides on hedges and retries, from the statistics of the targets.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::ids::FailureDomain;
use alderhaven_core::manifest::ReplicaEntry;
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::config_registry::ConfigView;
use alderhaven_policy::hedging::{HedgeGroup, HedgeOptions, HedgePolicy};
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_policy::replica_choice::{ReplicaChooser, ReplicaOptions};
use alderhaven_policy::replica_table::{ReplicaTable, TargetListing};
use alderhaven_policy::retry;
use alderhaven_policy::retry::{EndedAttempt, RetryDecision};
use alderhaven_policy::retry_budget::{RetryBudget, RetryOptions};
use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};

use crate::query_plan::QueryPlan;

/// Settings for replicas, hedges and retries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SelectorOptions {
    /// How replicas are chosen.
    pub replicas: ReplicaOptions,
    /// When attempts are hedged, and how many.
    pub hedging: HedgeOptions,
    /// How many attempts are retried.
    pub retries: RetryOptions,
}

/// Target statistics and budgets shared by all queries of an entry.
#[derive(Debug)]
pub struct ReplicaSelector {
    clock: ProcessClock,
    domain: FailureDomain,
    chooser: ReplicaChooser,
    table: ArcSwap<ReplicaTable>,
    hedging: Mutex<HedgePolicy>,
    retries: Mutex<RetryBudget>,
}

impl ReplicaSelector {
    /// Creates a selector without targets.
    #[must_use]
    pub fn new(
        policy: PolicyKind,
        options: SelectorOptions,
        domain: FailureDomain,
        clock: ProcessClock,
    ) -> Self {
        Self {
            clock,
            domain,
            chooser: ReplicaChooser::new(policy, options.replicas),
            table: ArcSwap::default(),
            hedging: Mutex::new(HedgePolicy::new(policy, options.hedging)),
            retries: Mutex::new(RetryBudget::new(policy, options.retries)),
        }
    }

    /// Sets the targets from the manifests. Targets that remain keep their statistics.
    pub fn apply(&self, manifests: &[Arc<SnapshotManifest>], view: &ConfigView) {
        let listings = manifests
            .iter()
            .flat_map(|manifest| &manifest.shards)
            .flat_map(|entry| &entry.replicas)
            .map(|replica| TargetListing {
                is_draining: view.drains.contains(replica.target.as_str()),
                ..target_listing(replica)
            });
        let table = ReplicaTable::build(&self.table.load(), listings, &self.domain);
        self.table.store(Arc::new(table));
    }

    /// Returns the current targets. A query uses one table until it ends.
    #[must_use]
    pub fn table(&self) -> Arc<ReplicaTable> {
        self.table.load_full()
    }

    /// Returns the current targets, extended by those of the plan's shards if any are missing.
    ///
    /// The view on which a query is planned may be newer than the table, or older if the query was
    /// queued. Without its replicas in the table, a shard would be missing from the answer. The
    /// extended table shares the statistics of the targets that are in both.
    #[must_use]
    pub fn table_for(&self, plan: &QueryPlan) -> Arc<ReplicaTable> {
        let table = self.table();
        let replicas = || {
            let entries = plan
                .shard_positions
                .iter()
                .map(|at| &plan.manifest.shards[*at]);
            entries.flat_map(|entry| &entry.replicas)
        };
        if replicas().all(|replica| table.index_of(&replica.target).is_some()) {
            return table;
        }
        let listings = replicas().map(target_listing);
        Arc::new(ReplicaTable::build(&table, listings, &self.domain))
    }

    /// Chooses a replica from a table.
    #[must_use]
    pub const fn chooser(&self) -> &ReplicaChooser {
        &self.chooser
    }

    /// Returns the clock on which all statistics are measured.
    #[must_use]
    pub const fn clock(&self) -> ProcessClock {
        self.clock
    }

    /// Records first attempts, which increase the budgets for hedges and retries.
    pub fn record_sent(&self, attempts: u32) {
        self.hedging().record_sent(attempts);
        self.retries().record_sent(attempts);
    }

    /// Returns the expected service time across all targets. Zero if there are no samples.
    #[must_use]
    pub fn expected_service_time(&self, group: &HedgeGroup) -> TimeSpan {
        self.hedging()
            .expected_service_time(group)
            .unwrap_or_default()
    }

    /// Returns the delay after which an attempt is hedged, or `None` if it isn't.
    #[must_use]
    pub fn hedge_delay(&self, group: &HedgeGroup, is_idempotent: bool) -> Option<TimeSpan> {
        self.hedging().hedge_delay(group, is_idempotent)
    }

    /// Takes one hedge from the budget. Returns `false` if none is left.
    #[must_use]
    pub fn take_hedge(&self, is_overloaded: bool) -> bool {
        self.hedging().take(is_overloaded)
    }

    /// Records the end of a hedge, and whether it was refused because no slot was free.
    pub fn record_hedge_end(&self, is_refused: bool) {
        self.hedging().record_hedge_end(is_refused);
    }

    /// Records the latency and the service time of an answered attempt.
    pub fn record_answer(&self, group: &HedgeGroup, latency: TimeSpan, service: TimeSpan) {
        self.hedging().record_answer(group, latency, service);
    }

    /// Decides whether an ended attempt is retried, and if so charges the budget.
    #[must_use]
    pub fn decide_retry(&self, ended: EndedAttempt) -> RetryDecision {
        let now = self.clock.now();
        retry::decide(ended, &mut self.retries(), now)
    }

    fn hedging(&self) -> MutexGuard<'_, HedgePolicy> {
        self.hedging.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn target_listing(replica: &ReplicaEntry) -> TargetListing {
    TargetListing {
        target: replica.target.clone(),
        domain: replica.domain.clone(),
        slots: replica.slots,
        is_draining: false,
    }
}
