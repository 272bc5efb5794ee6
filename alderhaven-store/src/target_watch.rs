//! Tracks the targets that are leaving, as known from the host list, published drains and the targets'
//! own replies.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::ids::TargetId;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::leaving_targets::{LeavingOptions, LeavingTargets};
use arc_swap::ArcSwap;
use tokio::time;
use tokio::time::MissedTickBehavior;

use crate::config_handle::ConfigHandle;
use crate::host_list::{HostListing, HostRole, HostSource, HostState};

/// Interval between two reads of the host list. A leaving target gets no new work after at most
/// 3 s, including the lag of the list.
const HOST_LIST_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// Set of the targets that get no new work. Clones share the same state.
#[derive(Clone, Debug)]
pub struct TargetWatch {
    shared: Arc<SharedWatch>,
}

#[derive(Debug)]
struct SharedWatch {
    clock: ProcessClock,
    targets: Mutex<LeavingTargets>,
    /// Lock-free for readers, which load it for each request.
    leaving_names: ArcSwap<BTreeSet<String>>,
}

impl Default for TargetWatch {
    fn default() -> Self {
        Self::new(LeavingOptions::default())
    }
}

impl TargetWatch {
    /// Creates a watch without leaving targets.
    #[must_use]
    pub fn new(options: LeavingOptions) -> Self {
        Self {
            shared: Arc::new(SharedWatch {
                clock: ProcessClock::default(),
                targets: Mutex::new(LeavingTargets::new(options)),
                leaving_names: ArcSwap::default(),
            }),
        }
    }

    /// Returns true if a target gets no new work.
    #[must_use]
    pub fn is_leaving(&self, target: &str) -> bool {
        self.shared.leaving_names.load().contains(target)
    }

    /// Returns the ids of all targets that get no new work.
    #[must_use]
    pub fn leaving_names(&self) -> Arc<BTreeSet<String>> {
        self.shared.leaving_names.load_full()
    }

    /// Returns true if the target itself has reported that it is draining.
    ///
    /// Every node sees the host list and published drains. A target's own report reaches only the nodes
    /// that it replies to, so they must pass it on.
    #[must_use]
    pub fn has_reported_drain(&self, target: &TargetId) -> bool {
        self.lock().has_reported_drain(target)
    }

    /// Records a reply in which a target reports that it is draining.
    pub fn record_draining_reply(&self, target: &TargetId) {
        if self.is_leaving(target.as_str()) {
            return;
        }
        let now = self.shared.clock.now();
        self.update(|targets| targets.record_reply(target, now));
    }

    /// Follows the host list and the published drains until the task is dropped.
    ///
    /// While the host list can't be read, its last content stays in use.
    pub async fn follow<H: HostSource>(self, hosts: Arc<H>, config: ConfigHandle) {
        let mut changed = config.subscribe();
        let mut ticks = time::interval(HOST_LIST_INTERVAL.as_duration());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let drains = config.view().drains.clone();
            self.update(|targets| targets.set_drained(drains));
            tokio::select! {
                _ = ticks.tick() => {
                    if let Ok(listing) = hosts.hosts().await {
                        self.apply_listing(&listing);
                    }
                }
                _ = changed.changed() => {}
            }
        }
    }

    fn apply_listing(&self, listing: &HostListing) {
        let leaving = listing
            .hosts
            .iter()
            .filter(|host| host.role == HostRole::Target && host.state == HostState::Leaving)
            .map(|host| host.host.to_string())
            .collect();
        let now = self.shared.clock.now();
        self.update(|targets| targets.set_listed(listing.revision, leaving, now));
    }

    fn update(&self, update: impl FnOnce(&mut LeavingTargets)) {
        let mut targets = self.lock();
        update(&mut targets);
        // Stored while the lock is held, so that updates are published in order.
        self.shared.leaving_names.store(Arc::new(targets.names()));
    }

    fn lock(&self) -> MutexGuard<'_, LeavingTargets> {
        self.shared
            .targets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
