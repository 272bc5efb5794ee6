//! The catalog of configuration, targets and evacuations, merged from the store and from peers.
//!
//! For each object the highest version wins, regardless of source and order of arrival. What the
//! store loses when it comes back from an older copy is carried over. Views are built whole and
//! replaced atomically, so that a request never sees a partial change. The configuration version in
//! force never decreases while the process runs.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::{FailureDomain, NodeId};
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::exchange::exchange_message::ObjectStamp;
use alderhaven_policy::group_share::GroupShare;
use alderhaven_policy::membership::member_record::CpuCapacity;
use alderhaven_policy::removal_grace;
use alderhaven_policy::repeat_budget::RepeatOptions;
use alderhaven_policy::restored_store;
use alderhaven_policy::restored_store::AbsentObject;
use alderhaven_policy::store_bounds::StoreBounds;
use alderhaven_policy::store_watch_plan::StoreContact;
use alderhaven_policy::warmup_bound::WarmupBound;
use alderhaven_store::object_store::ObjectList;
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
use crate::team_directory::TeamDirectory;
use crate::wire_dialect::WireDialect;

mod evacuations;
mod node_reports;
mod restored_objects;
mod routing_history;

/// The time after the end of a removed target at which the view is built without it.
const EXPIRY_CHECK_MARGIN: Duration = Duration::from_millis(50);

/// The connection limit of a target whose service has no rule in the configuration.
const DEFAULT_MAX_CONNECTIONS: usize = 8;

/// Everything that a process knows of configuration and targets; shared by all its tasks.
pub struct Catalog {
    dialect: Arc<dyn WireDialect>,
    options: CatalogOptions,
    clock: ProcessClock,
    state: Mutex<CatalogState>,
    view: ArcSwap<CatalogView>,
    changed: watch::Sender<u64>,
    crashes: CrashTracker,
    /// Whether the objects that nodes publish to each other were fetched from a peer.
    is_caught_up: AtomicBool,
}

/// Identity, capacity and limits of a process, fixed at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogOptions {
    /// The id of this node.
    pub node: NodeId,
    /// The failure domain of this process.
    pub domain: FailureDomain,
    /// The processor time available to this process; its shares of group-wide limits depend on it.
    pub capacity: CpuCapacity,
    /// The group-wide budget for hedges and retries at the start; see [`Catalog::set_repeats`].
    pub repeats: RepeatOptions,
    /// How far all nodes together may exceed the request rate that a cold target tolerates.
    pub warmup: WarmupBound,
    /// Whether the store keeps evacuations of failure domains.
    pub has_evacuations: bool,
    /// The times within which changes in the store must be in force.
    pub store_bounds: StoreBounds,
}

impl Catalog {
    /// Creates a catalog without objects.
    #[must_use]
    pub fn new(
        dialect: Arc<dyn WireDialect>,
        options: CatalogOptions,
        clock: ProcessClock,
    ) -> Self {
        let share = GroupShare::alone(options.capacity);
        let store_kinds = catalog_state::store_kinds(options.has_evacuations);
        let crashes = CrashTracker::new(&options.node, clock);
        let timing = options.store_bounds.watch_timing(ObjectKind::Target);
        Self {
            dialect,
            options,
            clock,
            state: Mutex::new(CatalogState::new(share, store_kinds, timing)),
            view: ArcSwap::from_pointee(CatalogView::new(share)),
            changed: watch::Sender::new(0),
            crashes,
            is_caught_up: AtomicBool::new(false),
        }
    }

    /// Gets the tracker of requests that crash targets.
    #[must_use]
    pub const fn crashes(&self) -> &CrashTracker {
        &self.crashes
    }

    /// Gets the current view.
    #[must_use]
    pub fn view(&self) -> Arc<CatalogView> {
        self.view.load_full()
    }

    /// Ends the wait for what peers have published.
    pub fn mark_caught_up(&self) {
        self.is_caught_up.store(true, Ordering::Release);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Waits up to `limit` for the first configuration, and for what peers have published.
    pub async fn wait_for_start(&self, limit: TimeSpan) {
        let has_started =
            || self.view().routing.is_some() && self.is_caught_up.load(Ordering::Acquire);
        if has_started() {
            return;
        }
        let mut changed = self.subscribe();
        let has_routing = changed.wait_for(|_| has_started());
        // On timeout the view has no routing, which callers check.
        let _is_over = time::timeout(limit.as_duration(), has_routing)
            .await
            .is_err();
    }

    /// Subscribes to changes; the value is a counter of accepted batches.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Gets the versions of all known objects, removed ones included.
    #[must_use]
    pub fn stamps(&self) -> Vec<ObjectStamp> {
        let state = self.state();
        state.objects.values().map(ObjectStamp::from).collect()
    }

    /// Gets an object by its key; removed objects have no body.
    #[must_use]
    pub fn object(&self, key: &ObjectKey) -> Option<StoredObject> {
        self.state().objects.get(key).cloned()
    }

    /// Returns true if the object set is complete: the store has listed every kind that it keeps,
    /// or a peer with a complete set has sent all of it.
    ///
    /// A single listed kind doesn't suffice: peers would take missing kinds for empty ones and
    /// refuse requests for lack of targets.
    #[must_use]
    pub fn is_fully_listed(&self) -> bool {
        self.state().is_fully_listed()
    }

    /// Returns true if an object of this kind is known, or if the kind is known to be empty.
    #[must_use]
    pub fn is_kind_listed(&self, kind: ObjectKind) -> bool {
        let state = self.state();
        let has_object = state.objects.keys().any(|key| key.kind == kind);
        has_object || state.is_fully_listed() || state.listed_kinds.contains_key(&kind)
    }

    /// Returns true if a configuration and the list of targets are known.
    ///
    /// A front without targets would refuse every request, so it is not offered to callers before.
    #[must_use]
    pub fn can_serve_requests(&self) -> bool {
        self.view().routing.is_some() && self.is_kind_listed(ObjectKind::Target)
    }

    /// Returns true if the configuration in force has teams, whose keys need a lease.
    #[must_use]
    pub fn has_teams(&self) -> bool {
        self.view().teams.is_some()
    }

    /// Returns true if the configuration in force has a route that is open to callers without a
    /// key.
    #[must_use]
    pub fn has_open_route(&self) -> bool {
        let view = self.view();
        let mut routes = view.routes.values().flatten();
        routes.any(|route| route.rule.is_open)
    }

    /// Records that a peer with a complete object set has sent all of it.
    pub fn mark_listed_by_peer(&self) {
        self.state().is_listed_by_peer = true;
    }

    /// Gets the latest reported store reachability of each node.
    #[must_use]
    pub fn store_contacts(&self) -> Vec<StoreContact> {
        self.state().store_contacts.values().cloned().collect()
    }

    /// Records the age of the store's latest known answer to any node.
    pub fn record_store_answer_age(&self, age: TimeSpan) {
        let now = self.clock.now();
        self.state().removal_grace.record_answer_age(age, now);
    }

    /// Gets this node's share of limits that the group keeps together.
    #[must_use]
    pub fn share(&self) -> GroupShare {
        self.view().share
    }

    /// Applies a changed budget for hedges and retries to all services.
    pub fn set_repeats(&self, repeats: RepeatOptions) {
        let mut state = self.state();
        state.repeats = Some(repeats);
        for budget in state.budgets.values() {
            let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
            budget.set_options(repeats);
        }
    }

    /// Updates shares and warm-up limits from the live nodes and their capacities. `nodes`
    /// includes this node.
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

    /// Merges objects from a peer.
    pub fn accept_from_peer(&self, mut objects: Vec<StoredObject>) {
        self.settle_lost_objects(&mut objects);
        // Peers may lag, so older objects are no sign of a fault.
        let _newer_versions = self.accept(objects);
    }

    /// Merges objects from the store or from peers; versions that aren't newer than the known ones
    /// are ignored. Returns the known versions of objects that are older than them.
    pub fn accept(&self, objects: Vec<StoredObject>) -> Vec<StoreVersion> {
        let mut newer_versions = Vec::new();
        let mut state = self.state();
        let mut is_new = false;
        let mut needs_rebuild = false;
        for object in objects {
            let known = state.objects.get(&object.key).map(|known| known.version);
            if let Some(known) = known
                && known >= object.version
            {
                let is_older = object.version < known.stored();
                newer_versions.extend(is_older.then_some(known));
                continue;
            }
            is_new = true;
            let carried = self.carry_over(&state, &object);
            if carried.is_none() {
                needs_rebuild |= self.apply_object(&mut state, &object);
            }
            let object = carried.unwrap_or(object);
            if object.key.kind == ObjectKind::Routing && object.version.is_carried() {
                state.routing_version = Some(object.version);
            }
            state.objects.insert(object.key.clone(), object);
        }
        if needs_rebuild {
            self.rebuild_view(&mut state);
        }
        drop(state);
        if is_new {
            self.changed.send_modify(|count| *count += 1);
        }
        newer_versions
    }

    /// Merges a complete list of a kind. Known objects of the kind that are missing in it are marked
    /// as removed unless they are newer, or lost and `is_grace_over` is false. Returns the known
    /// versions of objects that are older than them.
    pub fn accept_list(
        &self,
        kind: ObjectKind,
        list: ObjectList,
        is_grace_over: bool,
    ) -> Vec<StoreVersion> {
        let revision = list.revision;
        let missing: Vec<StoredObject> = {
            let listed: BTreeSet<&ObjectKey> =
                list.objects.iter().map(|object| &object.key).collect();
            let state = self.state();
            let known = state.objects.values();
            known
                .filter(|object| object.key.kind == kind && object.body.is_some())
                .filter(|object| object.version.stored() <= revision)
                .filter(|object| !listed.contains(&object.key))
                .filter_map(|object| settle_missing(object, revision, is_grace_over))
                .collect()
        };
        self.accept(missing);
        // Set before `accept` notifies subscribers, which check whether the kind is listed.
        self.state().listed_kinds.insert(kind, revision);
        self.accept(list.objects)
    }

    /// Applies an object to the state; returns true if the view must be rebuilt.
    fn apply_object(&self, state: &mut CatalogState, object: &StoredObject) -> bool {
        match object.key.kind {
            ObjectKind::Routing => self.apply_routing(state, object),
            ObjectKind::Target => self.apply_target(state, object),
            ObjectKind::Evacuation => {
                self.apply_evacuation(state, object);
                false
            }
            ObjectKind::StoreContact => {
                self.apply_store_contact(state, object);
                false
            }
            ObjectKind::CrashStrike => {
                self.apply_strikes(object);
                false
            }
            _ => false,
        }
    }

    fn apply_routing(&self, state: &mut CatalogState, object: &StoredObject) -> bool {
        let Some(body) = &object.body else {
            // A removed configuration stays in force until a newer one arrives.
            return false;
        };
        let routing = match self.dialect.read_routing(body) {
            Ok(routing) => routing,
            Err(reason) => {
                FrontEvent::ConfigRejected {
                    revision: object.version.revision,
                    reason,
                }
                .emit(Level::Error);
                return false;
            }
        };
        let known = state.routing.as_ref().map(|known| known.version);
        if known >= Some(routing.version) {
            // A store that came back from an older copy has no history to tell what preceded it.
            let known_era = state.routing_version.map(|version| version.era);
            let is_carried = state.routing_version.is_some_and(StoreVersion::is_carried);
            // Versions only rise, so the last one was written again.
            let is_repeated = is_carried && state.routing.as_deref() == Some(&routing);
            if known_era < Some(object.version.era) || is_repeated {
                state.routing_version = Some(object.version);
            }
            return false;
        }
        FrontEvent::ConfigApplied {
            version: routing.version,
            before: known,
            routes: routing.routes.len(),
        }
        .emit(Level::Info);
        state.teams = TeamDirectory::of_teams(&routing.teams).map(Arc::new);
        state.routing = Some(Arc::new(routing));
        state.routing_version = Some(object.version);
        true
    }

    fn apply_target(&self, state: &mut CatalogState, object: &StoredObject) -> bool {
        let id = &object.key.name;
        let Some(body) = &object.body else {
            self.mark_expired(state, object);
            return true;
        };
        match self.dialect.read_target(id, body) {
            Ok(entry) => self.upsert_target(state, entry),
            Err(reason) => {
                // The entry describes no usable target; a known target of this id counts as
                // removed.
                FrontEvent::TargetUnreadable {
                    target: id.clone(),
                    reason,
                }
                .emit(Level::Warn);
                self.mark_expired(state, object);
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

    /// Marks the target of a removed registration, before the removal is recorded.
    fn mark_expired(&self, state: &mut CatalogState, removal: &StoredObject) {
        let id = &removal.key.name;
        let Some(target) = state.targets.get(id) else {
            return;
        };
        let known = state.objects.get(&removal.key);
        let is_era_new = known.is_some_and(|known| known.version.era < removal.version.era);
        let now = self.clock.now();
        let grace = state.removal_grace.grace(is_era_new, now);
        let status = match target.status() {
            TargetStatus::Ready => TargetStatus::Expired(now + grace),
            other => other,
        };
        target.set_status(status);
        FrontEvent::TargetDeregistered {
            target: id.clone(),
            service: target.entry().service.clone(),
            was_leaving: status == TargetStatus::Leaving,
        }
        .emit(Level::Info);
    }

    fn rebuild_view(&self, state: &mut CatalogState) {
        let view = state.build_view(&self.options, self.clock.now());
        self.view.store(Arc::new(view));
    }

    /// Preconnects to targets and drops expired ones, for as long as the process runs.
    pub async fn run_maintenance(self: Arc<Self>) {
        let mut changed = self.subscribe();
        loop {
            self.preconnect_own_domain_targets();
            let check_interval = removal_grace::RETURN_TIME.as_duration() + EXPIRY_CHECK_MARGIN;
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

/// Returns what becomes of a known object that a list at `revision` lacks; `None` if it stays.
pub(crate) fn settle_missing(
    known: &StoredObject,
    revision: StoreVersion,
    is_grace_over: bool,
) -> Option<StoredObject> {
    // Targets register again by themselves; what operators wrote is only repeated by them.
    let absent = if known.key.kind.is_operator_written() {
        restored_store::decide_absent(known.version, revision, is_grace_over)
    } else {
        AbsentObject::Remove(revision)
    };
    let (version, body) = match absent {
        AbsentObject::Remove(version) => (version, None),
        AbsentObject::CarryOver(version) => (version, known.body.clone()),
        AbsentObject::Keep => return None,
    };
    Some(StoredObject {
        version,
        body,
        ..known.clone()
    })
}

/// Returns true if two registrations of one id belong to the same target process.
pub(crate) fn is_same_process(known: &TargetEntry, entry: &TargetEntry) -> bool {
    let is_same_start = known.started == entry.started;
    is_same_start && known.address == entry.address && known.service == entry.service
}
