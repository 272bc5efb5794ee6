//! What an entry knows of the targets, and the choices that it makes on it: replica, hedge, retry.

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

/// A `BoardOptions` holds the settings of the choices.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SelectorOptions {
    /// The choice of replicas.
    pub replicas: ReplicaOptions,
    /// The hedging.
    pub hedging: HedgeOptions,
    /// The retries.
    pub retries: RetryOptions,
}

/// A `ReplicaBoard` is shared by all queries of an entry.
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
    /// Returns a board without targets.
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

    /// Takes over the targets of manifests; what is known of those that stay is kept.
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

    /// Gets the targets as they are now; a query keeps this table until its end.
    #[must_use]
    pub fn table(&self) -> Arc<ReplicaTable> {
        self.table.load_full()
    }

    /// Gets the targets as they are now, with all those that a plan may ask.
    ///
    /// The configuration's view is ahead of the table for a moment after a manifest was published,
    /// and behind it for a query that has waited for its admission meanwhile. Replicas that the
    /// table does not list would never be chosen, and their shards be missing from the answer; such
    /// a query gets a table of its own, which shares what is known of the others.
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

    /// Gets the rules of the choice.
    #[must_use]
    pub const fn chooser(&self) -> &ReplicaChooser {
        &self.chooser
    }

    /// Gets the clock of what is known.
    #[must_use]
    pub const fn clock(&self) -> ProcessClock {
        self.clock
    }

    /// Notes first attempts, which earn hedges and retries.
    pub fn record_sent(&self, attempts: u32) {
        self.hedging().record_sent(attempts);
        self.retries().record_sent(attempts);
    }

    /// Gets the service time that is expected of any target, zero where nothing is known.
    #[must_use]
    pub fn expected_service_time(&self, group: &HedgeGroup) -> TimeSpan {
        self.hedging()
            .expected_service_time(group)
            .unwrap_or_default()
    }

    /// Gets the time after which an attempt is hedged; none where it is not.
    #[must_use]
    pub fn hedge_delay(&self, group: &HedgeGroup, is_idempotent: bool) -> Option<TimeSpan> {
        self.hedging().hedge_delay(group, is_idempotent)
    }

    /// Takes a token for a hedge; false where none may be sent.
    #[must_use]
    pub fn take_hedge(&self, is_overloaded: bool) -> bool {
        self.hedging().take(is_overloaded)
    }

    /// Notes whether a hedge was refused for want of a free slot.
    pub fn record_hedge_end(&self, is_refused: bool) {
        self.hedging().record_hedge_end(is_refused);
    }

    /// Notes the latency of an answered attempt and its time at the target.
    pub fn record_answer(&self, group: &HedgeGroup, latency: TimeSpan, service: TimeSpan) {
        self.hedging().record_answer(group, latency, service);
    }

    /// Decides whether an attempt that ended is sent again.
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
