//! The watch for targets that leave, from the host list, published drains and targets' replies.

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

/// The time between two readings of the host list: a leaving target is left alone within 3 s, the
/// list's own lag included.
const HOST_LIST_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// A `TargetWatch` knows which targets get no new work; its clones share it.
#[derive(Clone, Debug)]
pub struct TargetWatch {
    shared: Arc<SharedWatch>,
}

#[derive(Debug)]
struct SharedWatch {
    clock: ProcessClock,
    targets: Mutex<LeavingTargets>,
    /// Read on the path of a request.
    leaving_names: ArcSwap<BTreeSet<String>>,
}

impl Default for TargetWatch {
    fn default() -> Self {
        Self::new(LeavingOptions::default())
    }
}

impl TargetWatch {
    /// Returns a watch that knows of no leaving target yet.
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

    /// Returns true where a target gets no new work.
    #[must_use]
    pub fn is_leaving(&self, target: &str) -> bool {
        self.shared.leaving_names.load().contains(target)
    }

    /// Gets the names of the targets that get no new work.
    #[must_use]
    pub fn leaving_names(&self) -> Arc<BTreeSet<String>> {
        self.shared.leaving_names.load_full()
    }

    /// Returns true where the target itself has said that it drains.
    ///
    /// What the list or an operator says every node hears; the target's own word is passed on.
    #[must_use]
    pub fn has_reported_drain(&self, target: &TargetId) -> bool {
        self.lock().has_reported_drain(target)
    }

    /// Notes that a reply of a target says that it drains.
    pub fn record_draining_reply(&self, target: &TargetId) {
        if self.is_leaving(target.as_str()) {
            return;
        }
        let now = self.shared.clock.now();
        self.update(|targets| targets.record_reply(target, now));
    }

    /// Follows the host list and the published drains until the task is ended.
    ///
    /// While the list can't be read, what was known stays.
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
        // Stored with the lock held, so that names can't be published out of order.
        self.shared.leaving_names.store(Arc::new(targets.names()));
    }

    fn lock(&self) -> MutexGuard<'_, LeavingTargets> {
        self.shared
            .targets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
