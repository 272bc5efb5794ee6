//! Dispatchers of a relay by target.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use alderhaven_core::ids::{FailureDomain, TargetId};
use alderhaven_core::manifest::ReplicaEntry;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_peer::frames::ScatterAttempt;
use alderhaven_peer::strike_tracker::StrikeTracker;
use alderhaven_store::target_watch::TargetWatch;
use arc_swap::ArcSwap;
use smallvec::SmallVec;
use tokio::time;
use tokio::time::MissedTickBehavior;

use crate::dispatch_options::DispatchOptions;
use crate::metrics::AttemptCounters;
use crate::target_connections::TargetConnections;
use crate::target_dispatcher::{DispatcherContext, DispatcherReport, TargetDispatcher};

/// Time between two checks for expired attempts; short in comparison with deadlines.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(5);

/// Largest number of targets with dispatchers at a relay; more than twice the 3,400 targets that a
/// relay is designed for.
pub const MAX_TARGETS: usize = 8192;

/// Dispatchers of one target, one per address; usually a single one.
pub type TargetDispatchers = SmallVec<[Arc<TargetDispatcher>; 1]>;

type DispatcherMap = HashMap<TargetId, TargetDispatchers>;

/// Finds the dispatcher of a target without taking a lock; additions are serialized.
#[derive(Debug)]
pub struct DispatcherTable {
    options: DispatchOptions,
    clock: ProcessClock,
    counters: AttemptCounters,
    target_watch: TargetWatch,
    strikes: Arc<StrikeTracker>,
    dispatchers: ArcSwap<DispatcherMap>,
    write_lock: Mutex<()>,
}

impl DispatcherTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(
        options: DispatchOptions,
        counters: AttemptCounters,
        target_watch: TargetWatch,
        strikes: Arc<StrikeTracker>,
        clock: ProcessClock,
    ) -> Self {
        Self {
            options,
            clock,
            counters,
            target_watch,
            strikes,
            dispatchers: ArcSwap::default(),
            write_lock: Mutex::new(()),
        }
    }

    /// Returns the dispatcher for an attempt; creates it from the attempt's fields if needed.
    ///
    /// A target at a new address gets a new dispatcher; those of its earlier addresses that have no
    /// unfinished attempts are removed then. Returns `None` if the target or its address is
    /// invalid, or if the table is full.
    #[must_use]
    pub fn dispatcher_for(&self, attempt: &ScatterAttempt) -> Option<Arc<TargetDispatcher>> {
        let target: TargetId = attempt.target.parse().ok()?;
        let address: SocketAddr = attempt.address.parse().ok()?;
        if let Some(dispatcher) = find_dispatcher(&self.dispatchers.load(), &target, address) {
            return Some(dispatcher);
        }
        // Entries of earlier releases send no domain; the target is then a domain of its own.
        let domain = attempt
            .domain
            .parse()
            .or_else(|_| attempt.target.parse())
            .ok()?;
        self.add_dispatcher(target, address, domain, attempt.slots)
    }

    /// Creates the dispatcher of a target before its first attempt.
    pub fn prepare_target(&self, replica: &ReplicaEntry) {
        if find_dispatcher(&self.dispatchers.load(), &replica.target, replica.address).is_none() {
            let domain = replica.domain.clone();
            self.add_dispatcher(
                replica.target.clone(),
                replica.address,
                domain,
                replica.slots,
            );
        }
    }

    /// Returns the number of attempts that wait or run, over all dispatchers.
    #[must_use]
    pub fn unfinished_count(&self) -> usize {
        self.dispatchers
            .load()
            .values()
            .flatten()
            .map(|dispatcher| dispatcher.unfinished_count())
            .sum()
    }

    /// Returns the dispatchers of a target, one per address; empty if the target is unknown.
    #[must_use]
    pub fn dispatchers_of(&self, target: &str) -> TargetDispatchers {
        let target: Option<TargetId> = target.parse().ok();
        target
            .and_then(|target| self.dispatchers.load().get(&target).cloned())
            .unwrap_or_default()
    }

    /// Returns the quarantine of requests that crash targets.
    #[must_use]
    pub const fn strikes(&self) -> &Arc<StrikeTracker> {
        &self.strikes
    }

    /// Returns the clock that all dispatchers share.
    #[must_use]
    pub const fn clock(&self) -> ProcessClock {
        self.clock
    }

    /// Answers the waiting attempts that have expired, at a fixed interval, until the task is
    /// dropped.
    ///
    /// Without it, an expired attempt would be answered only when the target next frees a slot.
    pub async fn expire_forever(self: Arc<Self>) {
        let mut ticks = time::interval(EXPIRY_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            for dispatcher in self.dispatchers.load().values().flatten() {
                dispatcher.expire_waiting();
            }
        }
    }

    /// Answers all waiting attempts as not run, because the relay is about to end.
    pub fn refuse_waiting(&self) {
        for dispatcher in self.dispatchers.load().values().flatten() {
            dispatcher.refuse_waiting();
        }
    }

    /// Returns all dispatchers, each with its target's id.
    #[must_use]
    pub fn all_dispatchers(&self) -> Vec<(TargetId, Arc<TargetDispatcher>)> {
        self.dispatchers
            .load()
            .iter()
            .flat_map(|(target, items)| items.iter().map(|item| (target.clone(), Arc::clone(item))))
            .collect()
    }

    /// Returns the state of all dispatchers for the dump, by target.
    #[must_use]
    pub fn reports(&self) -> HashMap<String, DispatcherReport> {
        self.all_dispatchers()
            .into_iter()
            .map(|(target, dispatcher)| (target.to_string(), dispatcher.report()))
            .collect()
    }

    fn add_dispatcher(
        &self,
        target: TargetId,
        address: SocketAddr,
        domain: FailureDomain,
        slots: u32,
    ) -> Option<Arc<TargetDispatcher>> {
        let _write_guard = self
            .write_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut dispatchers = HashMap::clone(&self.dispatchers.load());
        // Another thread may have added the dispatcher while this one waited for the lock.
        if let Some(dispatcher) = find_dispatcher(&dispatchers, &target, address) {
            return Some(dispatcher);
        }
        if dispatchers.len() >= MAX_TARGETS && !dispatchers.contains_key(&target) {
            return None;
        }
        let connections = TargetConnections::new(
            address,
            self.options.connect_timeout,
            self.options.health.clone(),
            self.clock,
        );
        let context = DispatcherContext {
            target: target.clone(),
            domain,
            connections,
            clock: self.clock,
            counters: self.counters.clone(),
            target_watch: self.target_watch.clone(),
            strikes: Arc::clone(&self.strikes),
        };
        let dispatcher = Arc::new(TargetDispatcher::new(context, slots, &self.options));
        let target_dispatchers = dispatchers.entry(target).or_default();
        target_dispatchers.retain(|earlier| earlier.unfinished_count() > 0);
        target_dispatchers.push(Arc::clone(&dispatcher));
        let new_dispatcher = Arc::clone(&dispatcher);
        tokio::spawn(async move { new_dispatcher.open_connections().await });
        self.dispatchers.store(Arc::new(dispatchers));
        Some(dispatcher)
    }
}

fn find_dispatcher(
    dispatchers: &DispatcherMap,
    target: &TargetId,
    address: SocketAddr,
) -> Option<Arc<TargetDispatcher>> {
    let target_dispatchers = dispatchers.get(target)?;
    let dispatcher = target_dispatchers
        .iter()
        .find(|dispatcher| dispatcher.address() == address);
    dispatcher.cloned()
}
