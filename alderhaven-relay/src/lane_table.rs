//! The lanes of a relay by target.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use alderhaven_core::ids::TargetId;
use alderhaven_peer::frames::ScatterAttempt;
use arc_swap::ArcSwap;

use crate::metrics::AttemptCounters;
use crate::settings::RelayLimits;
use crate::target_connections::TargetConnections;
use crate::target_lane::{LaneReport, TargetLane};

/// A `LaneTable` finds the lane of a target; reads take no lock.
#[derive(Debug)]
pub struct LaneTable {
    limits: RelayLimits,
    counters: AttemptCounters,
    lanes: ArcSwap<HashMap<TargetId, Arc<TargetLane>>>,
    writing: Mutex<()>,
}

impl LaneTable {
    /// Returns an empty table.
    #[must_use]
    pub fn new(limits: RelayLimits, counters: AttemptCounters) -> Self {
        Self {
            limits,
            counters,
            lanes: ArcSwap::default(),
            writing: Mutex::new(()),
        }
    }

    /// Gets the lane for an attempt, or makes it from what the attempt says of its target.
    ///
    /// Returns none where the attempt's target or address can't be read.
    #[must_use]
    pub fn lane_for(&self, attempt: &ScatterAttempt) -> Option<Arc<TargetLane>> {
        let target: TargetId = attempt.target.parse().ok()?;
        let address: SocketAddr = attempt.address.parse().ok()?;
        if let Some(lane) = self.lanes.load().get(&target) {
            return Some(Arc::clone(lane));
        }
        Some(self.add(target, address, attempt.slots))
    }

    /// Gets all lanes.
    #[must_use]
    pub fn all(&self) -> Vec<(TargetId, Arc<TargetLane>)> {
        self.lanes
            .load()
            .iter()
            .map(|(target, lane)| (target.clone(), Arc::clone(lane)))
            .collect()
    }

    /// Gets the state of all lanes for the dump.
    #[must_use]
    pub fn reports(&self) -> HashMap<String, LaneReport> {
        self.all()
            .into_iter()
            .map(|(target, lane)| (target.to_string(), lane.report()))
            .collect()
    }

    fn add(&self, target: TargetId, address: SocketAddr, slots: u32) -> Arc<TargetLane> {
        let _writing = self.writing.lock().unwrap_or_else(PoisonError::into_inner);
        // Another thread may have added the lane while this one waited.
        if let Some(lane) = self.lanes.load().get(&target) {
            return Arc::clone(lane);
        }
        let connections = TargetConnections::new(address, self.limits.connect_timeout);
        let lane = Arc::new(TargetLane::new(
            connections,
            slots,
            self.limits.queue_length,
            self.counters.clone(),
        ));
        let mut lanes = HashMap::clone(&self.lanes.load());
        lanes.insert(target, Arc::clone(&lane));
        self.lanes.store(Arc::new(lanes));
        lane
    }
}
