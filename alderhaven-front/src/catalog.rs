//! The catalog: all objects that are known, from the store or from peers, and the view of them.
//!
//! Of each object the highest version wins, whichever way it came and in which order. A view is
//! built whole and replaced at once, so that a request never sees half of a change, and the version
//! of the configuration in it never goes back while the process runs.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::{FailureDomain, NodeId, StoreVersion};
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::exchange::exchange_message::ObjectStamp;
use alderhaven_policy::group_share::GroupShare;
use alderhaven_policy::membership::member_record::CpuCapacity;
use alderhaven_policy::repeat_budget::RepeatOptions;
use alderhaven_policy::store_watch_plan::StoreContact;
use alderhaven_policy::warmup_bound::WarmupBound;
use arc_swap::ArcSwap;
use log::Level;
use tokio::sync::watch;
use tokio::time;

use crate::catalog_state;
use crate::catalog_state::CatalogState;
use crate::catalog_view::CatalogView;
use crate::crash_tracker::CrashTracker;
use crate::front_event::FrontEvent;
use crate::target_entry::TargetEntry;
use crate::target_handle::{TargetHandle, TargetStatus};
use crate::target_pool::TargetPool;
use crate::wire_dialect::WireDialect;

mod evacuations;
mod node_reports;

/// How long a target whose registration has gone is kept as a last resort. Registrations lapse while
/// the store is away although their targets live, and are back within two seconds of its return; a
/// target that has left serves for at least three more.
const EXPIRED_TARGET_RETENTION: TimeSpan = TimeSpan::from_millis(1_700);

/// The connections to a target of a service of which the configuration says nothing.
const DEFAULT_MAX_CONNECTIONS: usize = 8;

/// A `Catalog` is shared by all parts of a process.
pub struct Catalog {
    dialect: Arc<dyn WireDialect>,
    options: CatalogOptions,
    clock: ProcessClock,
    state: Mutex<CatalogState>,
    view: ArcSwap<CatalogView>,
    changed: watch::Sender<u64>,
    crashes: CrashTracker,
}

/// `CatalogOptions` say where a process stands and what it may send.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogOptions {
    /// This node.
    pub node: NodeId,
    /// The failure domain of this process.
    pub domain: FailureDomain,
    /// The processor time that this process may use.
    pub capacity: CpuCapacity,
    /// The rule for repeats.
    pub repeats: RepeatOptions,
    /// How far all nodes together may exceed what a cold target tolerates.
    pub warmup: WarmupBound,
    /// Whether operators evacuate failure domains through the store.
    pub has_evacuations: bool,
}

impl Catalog {
    /// Returns an empty catalog.
    #[must_use]
    pub fn new(
        dialect: Arc<dyn WireDialect>,
        options: CatalogOptions,
        clock: ProcessClock,
    ) -> Self {
        let share = GroupShare::alone(options.capacity);
        let store_kinds = catalog_state::store_kinds(options.has_evacuations);
        Self {
            dialect,
            options,
            clock,
            state: Mutex::new(CatalogState::new(share, store_kinds)),
            view: ArcSwap::from_pointee(CatalogView::new(share)),
            changed: watch::Sender::new(0),
            crashes: CrashTracker::new(clock),
        }
    }

    /// Gets what is known of requests that crash targets.
    #[must_use]
    pub const fn crashes(&self) -> &CrashTracker {
        &self.crashes
    }

    /// Gets what is in force.
    #[must_use]
    pub fn view(&self) -> Arc<CatalogView> {
        self.view.load_full()
    }

    /// Gets what is in force, and waits up to `limit` for the first configuration.
    pub async fn view_with_routing(&self, limit: TimeSpan) -> Arc<CatalogView> {
        let view = self.view();
        if view.routing.is_some() {
            return view;
        }
        let mut changed = self.changed();
        let has_routing = changed.wait_for(|_| self.view().routing.is_some());
        // Where the time is up the view has none, which is what the caller looks for.
        let _is_over = time::timeout(limit.as_duration(), has_routing)
            .await
            .is_err();
        self.view()
    }

    /// Gets a receiver that sees each change.
    #[must_use]
    pub fn changed(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Gets the versions of all objects, those that are gone too.
    #[must_use]
    pub fn stamps(&self) -> Vec<ObjectStamp> {
        let state = self.state();
        state.objects.values().map(ObjectStamp::from).collect()
    }

    /// Gets one object.
    #[must_use]
    pub fn object(&self, key: &ObjectKey) -> Option<StoredObject> {
        self.state().objects.get(key).cloned()
    }

    /// Returns true where all objects are known: the store has listed each kind that it keeps, or a
    /// peer that knew all has told them.
    ///
    /// One kind alone is not all: peers that asked for the rest would take its absence for the truth,
    /// and refuse every request for want of targets.
    #[must_use]
    pub fn is_fully_listed(&self) -> bool {
        self.state().is_fully_listed()
    }

    /// Returns true where an object of the kind is known, or it is known that there may be none.
    #[must_use]
    pub fn is_kind_listed(&self, kind: ObjectKind) -> bool {
        let state = self.state();
        let has_object = state.objects.keys().any(|key| key.kind == kind);
        has_object || state.is_fully_listed() || state.listed_kinds.contains(&kind)
    }

    /// Returns true where requests can be served: a configuration is known, and the targets are.
    ///
    /// A front that is named without targets refuses what it gets.
    #[must_use]
    pub fn can_serve_requests(&self) -> bool {
        self.view().routing.is_some() && self.is_kind_listed(ObjectKind::Target)
    }

    /// Notes that a peer which knew all objects has told them.
    pub fn mark_listed_by_peer(&self) {
        self.state().is_listed_by_peer = true;
    }

    /// Gets the latest of each node's contact with the store.
    #[must_use]
    pub fn store_contacts(&self) -> Vec<StoreContact> {
        self.state().store_contacts.values().cloned().collect()
    }

    /// Gets how this node stands in its group.
    #[must_use]
    pub fn share(&self) -> GroupShare {
        self.view().share
    }

    /// Takes over a changed rule for repeats.
    pub fn set_repeats(&self, repeats: RepeatOptions) {
        let mut state = self.state();
        state.repeats = Some(repeats);
        for budget in state.budgets.values() {
            let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
            budget.set_options(repeats);
        }
    }

    /// Notes the nodes that are alive with their capacities, this one included.
    pub fn set_live_nodes(&self, nodes: &[(NodeId, CpuCapacity)]) {
        let mut state = self.state();
        let mut is_changed = state
            .share
            .update(nodes.iter().map(|(_, capacity)| *capacity));
        let share = state.share;
        let is_large = |capacity: CpuCapacity| share.is_large_host(capacity);
        let large_nodes = nodes.iter().filter(|(_, capacity)| is_large(*capacity));
        let large_nodes: Vec<NodeId> = large_nodes.map(|(node, _)| node.clone()).collect();
        if large_nodes != state.large_nodes {
            state.large_nodes = large_nodes;
            is_changed = true;
        }
        if is_changed {
            self.rebuild_view(&mut state);
        }
    }

    /// Takes over objects, from the store or from peers; older versions than the known ones are
    /// passed over.
    pub fn accept(&self, objects: Vec<StoredObject>) {
        let mut state = self.state();
        let mut is_new = false;
        let mut needs_rebuild = false;
        for object in objects {
            let known = state.objects.get(&object.key).map(|known| known.version);
            if known >= Some(object.version) {
                continue;
            }
            is_new = true;
            needs_rebuild |= self.apply_object(&mut state, &object);
            state.objects.insert(object.key.clone(), object);
        }
        if needs_rebuild {
            self.rebuild_view(&mut state);
        }
        drop(state);
        if is_new {
            self.changed.send_modify(|count| *count += 1);
        }
    }

    /// Takes over a whole list of a kind: what is known and not in it is gone.
    pub fn accept_list(&self, kind: ObjectKind, revision: StoreVersion, list: Vec<StoredObject>) {
        let missing: Vec<StoredObject> = {
            let listed: BTreeSet<&ObjectKey> = list.iter().map(|object| &object.key).collect();
            let state = self.state();
            let known = state.objects.values();
            known
                .filter(|object| object.key.kind == kind && object.body.is_some())
                .filter(|object| object.version <= revision)
                .filter(|object| !listed.contains(&object.key))
                .map(|object| StoredObject {
                    version: revision,
                    body: None,
                    ..object.clone()
                })
                .collect()
        };
        self.accept(missing);
        // Noted before the list tells those who wait for changes: they ask whether all is known.
        self.state().listed_kinds.insert(kind);
        self.accept(list);
    }

    /// Applies one object; returns true where the view changes.
    fn apply_object(&self, state: &mut CatalogState, object: &StoredObject) -> bool {
        match object.key.kind {
            ObjectKind::Routing => self.apply_routing(state, object),
            ObjectKind::Target => self.apply_target(state, object),
            ObjectKind::Evacuation => {
                self.apply_evacuation(state, object);
                false
            }
            ObjectKind::Contact => {
                self.apply_store_contact(state, object);
                false
            }
            ObjectKind::Strike => {
                self.apply_strikes(object);
                false
            }
            _ => false,
        }
    }

    fn apply_routing(&self, state: &mut CatalogState, object: &StoredObject) -> bool {
        let Some(body) = &object.body else {
            // A configuration that is gone leaves the last one in force.
            return false;
        };
        let routing = match self.dialect.read_routing(body) {
            Ok(routing) => routing,
            Err(reason) => {
                FrontEvent::ConfigRejected {
                    revision: object.version.0,
                    reason,
                }
                .emit(Level::Error);
                return false;
            }
        };
        let known = state.routing.as_ref().map(|known| known.version);
        if known >= Some(routing.version) {
            return false;
        }
        FrontEvent::ConfigApplied {
            version: routing.version,
            before: known,
            routes: routing.routes.len(),
        }
        .emit(Level::Info);
        state.routing = Some(Arc::new(routing));
        true
    }

    fn apply_target(&self, state: &mut CatalogState, object: &StoredObject) -> bool {
        let id = &object.key.name;
        let Some(body) = &object.body else {
            self.mark_expired(state, id);
            return true;
        };
        match self.dialect.read_target(id, body) {
            Ok(entry) => self.upsert_target(state, entry),
            Err(reason) => {
                // Such an entry names no target to use; one of that id that was known is gone.
                FrontEvent::TargetUnreadable {
                    target: id.clone(),
                    reason,
                }
                .emit(Level::Warn);
                self.mark_expired(state, id);
            }
        }
        true
    }

    fn upsert_target(&self, state: &mut CatalogState, entry: TargetEntry) {
        let warmup_left = entry.warmup_left;
        if let Some(known) = state.targets.get(&entry.id)
            && is_same_process(&known.entry(), &entry)
        {
            known.update(entry);
            known.warmup().record_cold(warmup_left, self.clock.now());
            return;
        }
        let is_in_own_domain = entry.domain.as_ref() == Some(&self.options.domain);
        let pool = TargetPool::new(entry.address, DEFAULT_MAX_CONNECTIONS, self.clock);
        let id = entry.id.clone();
        let is_evacuated = entry
            .domain
            .as_ref()
            .is_some_and(|domain| state.evacuated_domains.contains_key(domain));
        let silence = state.domain_silence(entry.domain.as_ref());
        let handle = TargetHandle::new(entry, pool, is_in_own_domain, silence);
        handle.set_evacuated(is_evacuated);
        handle.warmup().record_cold(warmup_left, self.clock.now());
        state.targets.insert(id, Arc::new(handle));
    }

    fn mark_expired(&self, state: &mut CatalogState, id: &str) {
        let Some(target) = state.targets.get(id) else {
            return;
        };
        let status = match target.status() {
            TargetStatus::Ready => {
                TargetStatus::Expired(self.clock.now() + EXPIRED_TARGET_RETENTION)
            }
            other => other,
        };
        target.set_status(status);
        FrontEvent::TargetDeregistered {
            target: id.to_owned(),
            service: target.entry().service.clone(),
            was_leaving: status == TargetStatus::Leaving,
        }
        .emit(Level::Info);
    }

    fn rebuild_view(&self, state: &mut CatalogState) {
        let view = state.build_view(&self.options, self.clock.now());
        self.view.store(Arc::new(view));
    }

    /// Opens connections ahead of requests, and drops targets whose time as a last resort is over.
    pub async fn run_maintenance(self: Arc<Self>) {
        let mut changed = self.changed();
        loop {
            self.preconnect_own_domain_targets();
            let check_interval = EXPIRED_TARGET_RETENTION.as_duration() + Duration::from_millis(50);
            if time::timeout(check_interval, changed.changed())
                .await
                .is_err()
            {
                let mut state = self.state();
                let has_expired = state
                    .targets
                    .values()
                    .any(|target| matches!(target.status(), TargetStatus::Expired(_)));
                if has_expired {
                    self.rebuild_view(&mut state);
                }
            }
        }
    }

    fn preconnect_own_domain_targets(&self) {
        let view = self.view();
        if !view.share.is_large() {
            return;
        }
        let routes = view.routes.values().flatten();
        let names = routes.flat_map(|route| route.rule.destination.services());
        let services = names.filter_map(|name| view.services.get(name));
        for target in services.flat_map(|service| &service.targets) {
            if target.is_in_own_domain
                && target.status() == TargetStatus::Ready
                && !target.is_evacuated()
                && target.start_preconnect()
            {
                let target = Arc::clone(target);
                tokio::spawn(async move { target.pool.preconnect().await });
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, CatalogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl std::fmt::Debug for Catalog {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Catalog").finish_non_exhaustive()
    }
}

/// Returns true where two registrations under one id are of the same process.
fn is_same_process(known: &TargetEntry, entry: &TargetEntry) -> bool {
    let is_same_start = known.started == entry.started;
    is_same_start && known.address == entry.address && known.service == entry.service
}
