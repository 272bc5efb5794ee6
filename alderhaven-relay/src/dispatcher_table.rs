//! The lanes of a relay by target.

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

/// The time between two looks for attempts whose time is up: little beside a deadline.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(5);

/// The most targets that a relay has lanes to, over twice the 3,400 servers of the two-year size.
pub const MAX_TARGETS: usize = 8192;

/// A `TargetLanes` is the lanes of one target, mostly one.
pub type TargetDispatchers = SmallVec<[Arc<TargetDispatcher>; 1]>;

type DispatcherMap = HashMap<TargetId, TargetDispatchers>;

/// A `LaneTable` finds the lane of a target; reads take no lock.
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
    /// Returns an empty table.
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

    /// Gets the lane for an attempt, or makes it from what the attempt says of its target.
    ///
    /// A target that has come back at another address gets a lane of its own there; the old one goes
    /// once nothing is left in it. Returns none where the attempt's target or address can't be read,
    /// or where there are as many lanes as may be.
    #[must_use]
    pub fn dispatcher_for(&self, attempt: &ScatterAttempt) -> Option<Arc<TargetDispatcher>> {
        let target: TargetId = attempt.target.parse().ok()?;
        let address: SocketAddr = attempt.address.parse().ok()?;
        if let Some(dispatcher) = find_dispatcher(&self.dispatchers.load(), &target, address) {
            return Some(dispatcher);
        }
        // An entry of an earlier release does not name the domain; the target then stands alone.
        let domain = attempt
            .domain
            .parse()
            .or_else(|_| attempt.target.parse())
            .ok()?;
        self.add_dispatcher(target, address, domain, attempt.slots)
    }

    /// Makes the lane of a target ahead of its first attempt.
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

    /// Gets the number of attempts that wait or are at targets.
    #[must_use]
    pub fn unfinished_count(&self) -> usize {
        self.dispatchers
            .load()
            .values()
            .flatten()
            .map(|dispatcher| dispatcher.unfinished_count())
            .sum()
    }

    /// Gets the lanes of a target that has had attempts, one for each of its addresses.
    #[must_use]
    pub fn dispatchers_of(&self, target: &str) -> TargetDispatchers {
        let target: Option<TargetId> = target.parse().ok();
        target
            .and_then(|target| self.dispatchers.load().get(&target).cloned())
            .unwrap_or_default()
    }

    /// Gets what is known of requests that crash targets.
    #[must_use]
    pub const fn strikes(&self) -> &Arc<StrikeTracker> {
        &self.strikes
    }

    /// Gets the clock that all lanes share.
    #[must_use]
    pub const fn clock(&self) -> ProcessClock {
        self.clock
    }

    /// Answers, in all lanes, the waiting attempts whose time is up, until the process ends.
    ///
    /// An attempt that has been given up on gets its answer within one tick, not when the target
    /// next frees a slot.
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

    /// Gets all lanes.
    #[must_use]
    pub fn all_dispatchers(&self) -> Vec<(TargetId, Arc<TargetDispatcher>)> {
        self.dispatchers
            .load()
            .iter()
            .flat_map(|(target, items)| items.iter().map(|item| (target.clone(), Arc::clone(item))))
            .collect()
    }

    /// Gets the state of all lanes for the dump.
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
        // Another thread may have added the lane while this one waited.
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
