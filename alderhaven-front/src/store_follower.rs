//! Follows one kind of object in the store while the watch plan assigns it to this node, and merges
//! the objects into the catalog. Nodes that don't watch receive them from peers.

use std::sync::Arc;
use std::time::Duration;

use alderhaven_core::config_object::ObjectKind;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_core::wall_clock;
use alderhaven_node::node_group::NodeGroup;
use alderhaven_policy::group_front::GroupFront;
use alderhaven_policy::group_start;
use alderhaven_policy::group_start::GroupStart;
use alderhaven_policy::restored_store::RestoreGrace;
use alderhaven_policy::start_view::StartView;
use alderhaven_policy::store_bounds::StoreBounds;
use alderhaven_policy::store_watch_plan::{self, WatchOptions, WatchPlan};
use alderhaven_store::object_store::{ObjectList, ObjectStore, StoreError, WatchOutcome};
use alderhaven_store::retry_backoff::{BackoffOptions, RetryBackoff};
use log::Level;
use rand::RngExt;
use tokio::time;

use crate::catalog::Catalog;
use crate::front_event::FrontEvent;
use crate::front_metrics::FrontMetrics;
use crate::store_availability::StoreAvailability;

/// The longest delay after a configuration change before the next watch call, so that one call
/// returns a burst of changes.
const CONFIG_BATCH_DELAY: TimeSpan = TimeSpan::from_millis(250);

/// The longest delay after a change of targets before the next watch call; targets often register
/// and leave in groups.
const TARGET_BATCH_DELAY: TimeSpan = TimeSpan::from_millis(500);

/// The longest time after which a node that doesn't watch re-evaluates the watch plan. Reports of other
/// nodes and the age of the store's latest answer wake it earlier.
const MAX_PLAN_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// The shortest time after which it does.
const MIN_PLAN_INTERVAL: TimeSpan = TimeSpan::from_millis(50);

/// The timeout of each call for the initial list; short, since the store may be back before a call
/// that it doesn't answer would end.
const INITIAL_LIST_TIMEOUT: Duration = Duration::from_millis(350);

/// How often a starting node checks whether its peers have sent all objects.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The delays after failed calls.
const BACKOFF: BackoffOptions = BackoffOptions {
    initial_wait: TimeSpan::from_millis(250),
    max_wait: TimeSpan::from_millis(1_500),
};

/// Keeps one kind of object in the catalog up to date.
#[derive(Debug)]
pub struct StoreFollower<S> {
    store: Arc<S>,
    catalog: Arc<Catalog>,
    group: NodeGroup,
    own: GroupFront,
    clock: ProcessClock,
    watch_options: WatchOptions,
    kind: ObjectKind,
    revision: Option<StoreVersion>,
    is_watching: bool,
    /// Whether the latest watch ended without an answer or an error.
    is_watch_silent: bool,
    /// When the store last answered a call for the kind.
    answered_at: TimePoint,
    /// The time of the store's latest answer to a call without a wait.
    answer_time: TimeSpan,
    restore_grace: RestoreGrace,
    is_store_lost: bool,
    metrics: FrontMetrics,
    group_start: GroupStart,
    availability: Arc<StoreAvailability>,
}

impl<S: ObjectStore> StoreFollower<S> {
    /// Creates a follower of `kind`.
    #[must_use]
    pub fn new(
        store: Arc<S>,
        catalog: Arc<Catalog>,
        group: NodeGroup,
        own: GroupFront,
        kind: ObjectKind,
    ) -> Self {
        let watch_options = WatchOptions {
            timing: StoreBounds::default().watch_timing(kind),
            ..WatchOptions::default()
        };
        Self {
            store,
            catalog,
            group,
            own,
            clock: ProcessClock::default(),
            watch_options,
            kind,
            revision: None,
            is_watching: false,
            is_watch_silent: false,
            answered_at: TimePoint::START,
            answer_time: TimeSpan::ZERO,
            restore_grace: RestoreGrace::default(),
            is_store_lost: false,
            metrics: FrontMetrics::default(),
            group_start: GroupStart::default(),
            availability: Arc::default(),
        }
    }

    /// Sets the times within which changes must be in force on all nodes.
    #[must_use]
    pub fn with_bounds(mut self, bounds: StoreBounds) -> Self {
        self.watch_options.timing = bounds.watch_timing(self.kind);
        self
    }

    /// Sets the number of nodes that watch the store for all.
    #[must_use]
    pub const fn with_watchers(mut self, watchers: usize) -> Self {
        self.watch_options.watchers = watchers;
        self
    }

    /// Sets how the node starts, which decides how long it waits for its peers.
    #[must_use]
    pub const fn with_group_start(mut self, start: GroupStart) -> Self {
        self.group_start = start;
        self
    }

    /// Shares the store's availability with the other followers of the process.
    #[must_use]
    pub fn with_availability(mut self, availability: Arc<StoreAvailability>) -> Self {
        self.availability = availability;
        self
    }

    /// Counts store calls in `metrics`.
    #[must_use]
    pub fn with_metrics(mut self, metrics: FrontMetrics) -> Self {
        self.metrics = metrics;
        self
    }

    /// Follows the store for as long as the process runs.
    pub async fn run(mut self) {
        self.wait_for_peers().await;
        self.load_initial_list().await;
        let mut backoff = RetryBackoff::new(BACKOFF);
        let mut pause = TimeSpan::ZERO;
        loop {
            if !self.should_watch() {
                // Changes since the last watch are unknown, so the next call must list.
                self.revision = None;
                self.wait_for_watch_plan_change().await;
                continue;
            }
            self.list_after_grace();
            match self.list_or_watch(pause).await {
                Ok(is_changed) => {
                    backoff.reset();
                    self.record_success();
                    pause = self.batch_pause(is_changed);
                    time::sleep(pause.as_duration()).await;
                }
                Err(error) => {
                    pause = TimeSpan::ZERO;
                    self.record_failure(&error);
                    if self.answers_after_silence().await {
                        continue;
                    }
                    self.wait_before_retry(&mut backoff).await;
                    self.availability.wait_while_probed(self.kind).await;
                }
            }
        }
    }

    /// Waits for peers to send all objects, which costs no store call. When a whole group starts
    /// at once, its first nodes call the store and the others wait for them.
    async fn wait_for_peers(&self) {
        let started = self.clock.now();
        loop {
            if self.group.is_complete() {
                self.catalog.mark_listed_by_peer();
                return;
            }
            let waited = self.clock.now().since(started);
            if waited >= self.group_start.peer_wait(self.start_view()) {
                return;
            }
            time::sleep(PEER_POLL_INTERVAL).await;
        }
    }

    /// Lists the kind until it is known, at short intervals: until then requests are refused.
    async fn load_initial_list(&mut self) {
        while !self.catalog.is_kind_listed(self.kind) {
            let result = time::timeout(INITIAL_LIST_TIMEOUT, self.list_initial()).await;
            match result {
                Ok(Ok(())) => self.record_success(),
                Ok(Err(error)) => self.record_failure(&error),
                Err(_) => self.record_failure(&StoreError::unknown("the initial list timed out")),
            }
            if self.revision.is_none() {
                self.wait_before_initial_retry().await;
            }
        }
    }

    /// Waits before the next initial list, or until a peer has sent the objects.
    async fn wait_before_initial_retry(&self) {
        let random: f64 = rand::rng().random_range(0.0..1.0);
        let lists_store_first = self.group_start.lists_store_first(self.start_view());
        let pause = group_start::retry_pause(lists_store_first, random);
        let mut changed = self.catalog.subscribe();
        let listed = changed.wait_for(|_| self.catalog.is_kind_listed(self.kind));
        // After the timeout the store is listed again.
        let _is_over = time::timeout(pause.as_duration(), listed).await.is_err();
        self.availability.wait_while_probed(self.kind).await;
    }

    /// Waits after a failed call. Nodes that aren't among the first ones wait longer the more nodes
    /// there are.
    async fn wait_before_retry(&self, backoff: &mut RetryBackoff) {
        let random: f64 = rand::rng().random_range(0.0..1.0);
        let backoff_pause = backoff.next_wait(random);
        let others = self.other_live_nodes();
        let pause = if self.is_among_first(&others) {
            backoff_pause
        } else {
            backoff_pause.max(store_watch_plan::group_retry_pause(others.len(), random))
        };
        time::sleep(pause.as_duration()).await;
    }

    fn start_view(&self) -> StartView {
        let others = self.other_live_nodes();
        let contacts = self.catalog.store_contacts();
        StartView {
            knows_peers: !others.is_empty(),
            is_among_first: self.is_among_first(&others),
            has_peer_lost_store: contacts.iter().any(|contact| !contact.is_reached),
        }
    }

    fn is_among_first(&self, others: &[GroupFront]) -> bool {
        store_watch_plan::is_among_first(&self.own.node, others, self.watch_options.watchers)
    }

    /// Waits for a change of the catalog, such as a node reporting that it lost the store.
    async fn wait_for_watch_plan_change(&self) {
        let mut changed = self.catalog.subscribe();
        let age = self.group.since_store_answer().unwrap_or_default();
        let until_stale = self.watch_options.timing.stale_after().saturating_sub(age);
        let interval = until_stale.clamp(MIN_PLAN_INTERVAL, MAX_PLAN_INTERVAL);
        // On timeout the plan is re-evaluated, because members may have changed.
        let _is_over = time::timeout(interval.as_duration(), changed.changed())
            .await
            .is_err();
    }

    fn should_watch(&mut self) -> bool {
        let contacts = self.catalog.store_contacts();
        let now = self.clock.now();
        let others = self.other_live_nodes();
        let answer_age = self.group.since_store_answer();
        let plan = WatchPlan {
            own: &self.own,
            others: &others,
            contacts: &contacts,
            answered_age: answer_age,
        };
        if self.kind == ObjectKind::Target {
            let own_age = now.since(self.answered_at);
            let age = plan.answer_age(now).map_or(own_age, |age| age.min(own_age));
            self.catalog.record_store_answer_age(age);
        }
        let is_watching = plan.should_watch(&self.watch_options, now);
        if is_watching != self.is_watching {
            self.is_watching = is_watching;
            FrontEvent::StoreWatchChanged {
                kind: self.kind,
                is_watching,
                answer_age_ms: plan.answer_age(now).map(TimeSpan::as_millis),
            }
            .emit(Level::Info);
        }
        is_watching
    }

    /// Gets the other members that take work.
    fn other_live_nodes(&self) -> Vec<GroupFront> {
        let members = self.group.members();
        let others = members.iter().skip(1);
        let live = others.filter(|member| member.state.takes_work());
        live.map(|member| member.record.group_front()).collect()
    }

    fn watch_wait(&self, pause: TimeSpan) -> TimeSpan {
        let wait = self.watch_options.timing.watch_wait(pause);
        match self.kind {
            ObjectKind::Evacuation => self.restore_grace.bound_wait(wait, self.clock.now()),
            _ => wait,
        }
    }

    fn batch_pause(&self, is_changed: bool) -> TimeSpan {
        let limit = match self.kind {
            _ if !is_changed => return TimeSpan::ZERO,
            ObjectKind::Target => TARGET_BATCH_DELAY,
            _ => CONFIG_BATCH_DELAY,
        };
        self.watch_options.timing.batch_pause(limit)
    }

    /// Lists the kind for the first time.
    ///
    /// When a whole group starts at once every node may list all targets, so a cheaper stale read
    /// is used for them; peers that watch the store send what it lacks. The configuration is a
    /// single object and is read fresh.
    async fn list_initial(&mut self) -> Result<(), StoreError> {
        let kinds = [self.kind];
        let list = match self.kind {
            ObjectKind::Target => self.store.list_stale(&kinds).await?.of_previous_era(),
            _ => self.store.list(&kinds).await?,
        };
        self.apply_list(list);
        Ok(())
    }

    fn apply_list(&mut self, list: ObjectList) {
        let revision = list.revision;
        self.revision = Some(revision);
        FrontEvent::StoreListed {
            kind: self.kind,
            era: revision.era,
            revision,
            objects: list.objects.len(),
        }
        .emit(Level::Info);
        self.restore_grace
            .record_list(revision.era, self.clock.now());
        let is_grace_over = self.is_grace_over();
        let newer_versions = self.catalog.accept_list(self.kind, list, is_grace_over);
        self.record_answer(revision, &newer_versions);
    }

    /// Makes the next call a list if evacuations that the store lost were not written again in time.
    ///
    /// A lost evacuation exists or not, so only a list can end it. Other kinds are replaced by their
    /// next write.
    fn list_after_grace(&mut self) {
        let kind = ObjectKind::Evacuation;
        let has_lost_objects = self.kind == kind && self.catalog.has_carried_objects(kind);
        if has_lost_objects && self.is_grace_over() {
            self.revision = None;
        }
    }

    fn is_grace_over(&self) -> bool {
        self.kind == ObjectKind::Evacuation && self.restore_grace.is_over(self.clock.now())
    }

    /// Records the state of the store in an answer, with the known versions that are newer than the
    /// objects in it.
    fn record_answer(&self, revision: StoreVersion, newer_versions: &[StoreVersion]) {
        let count = newer_versions.len();
        self.metrics
            .observe_store_answer(self.kind, revision, count);
        if let Some(known) = newer_versions.iter().max() {
            FrontEvent::ObjectsOlder {
                kind: self.kind,
                era: revision.era,
                revision,
                known: *known,
                objects: count,
            }
            .emit(Level::Warn);
        }
    }

    /// Makes one list or watch call; returns true if it brought changes. `pause` is the time since the
    /// store's previous answer.
    async fn list_or_watch(&mut self, pause: TimeSpan) -> Result<bool, StoreError> {
        let Some(revision) = self.revision else {
            let sent_at = self.clock.now();
            let list = self.store.list(&[self.kind]).await?;
            self.answer_time = self.clock.now().since(sent_at);
            self.apply_list(list);
            return Ok(true);
        };
        let outcome = self.watch(revision, self.watch_wait(pause)).await?;
        Ok(self.apply_outcome(revision, outcome))
    }

    /// Merges what a watch from `revision` returned; returns true if it brought changes.
    fn apply_outcome(&mut self, revision: StoreVersion, outcome: WatchOutcome) -> bool {
        match outcome {
            WatchOutcome::Changes(list) => {
                let is_changed = !list.objects.is_empty();
                self.revision = Some(revision.max(list.revision));
                let newer_versions = self.catalog.accept(list.objects);
                self.record_answer(list.revision, &newer_versions);
                is_changed
            }
            WatchOutcome::Compacted => {
                self.revision = None;
                false
            }
        }
    }

    /// Calls the store again after a watch that went silent, and returns true if it answers. Only the
    /// connection may be lost, and this node then knows at once what it missed.
    async fn answers_after_silence(&mut self) -> bool {
        let Some(revision) = self.revision.filter(|_| self.is_watch_silent) else {
            return false;
        };
        self.is_watch_silent = false;
        let sent_at = self.clock.now();
        let kinds = [self.kind];
        let call = self.store.watch(&kinds, revision, TimeSpan::ZERO);
        match call.await {
            Ok(outcome) => {
                self.answer_time = self.clock.now().since(sent_at);
                self.apply_outcome(revision, outcome);
                self.record_success();
                true
            }
            Err(error) => {
                self.record_failure(&error);
                false
            }
        }
    }

    /// Watches from `revision`. A silent watch hides all changes, so it gets less time after its wait
    /// than other calls have.
    async fn watch(
        &mut self,
        revision: StoreVersion,
        wait: TimeSpan,
    ) -> Result<WatchOutcome, StoreError> {
        let limit = wait + self.watch_options.timing.answer_grace(self.answer_time);
        let kinds = [self.kind];
        let call = self.store.watch(&kinds, revision, wait);
        let result = time::timeout(limit.as_duration(), call).await;
        self.is_watch_silent = result.is_err();
        result.unwrap_or_else(|_| Err(StoreError::unknown("the watch was not answered in time")))
    }

    fn record_success(&mut self) {
        self.metrics.observe_store_call(self.kind, true);
        self.availability.record_success();
        self.group.note_store_answer();
        self.answered_at = self.clock.now();
        if self.is_store_lost {
            self.is_store_lost = false;
            FrontEvent::StoreRecovered { kind: self.kind }.emit(Level::Info);
        }
        let contacts = self.catalog.store_contacts();
        let mut own = contacts
            .iter()
            .filter(|contact| contact.node == self.own.node);
        if own.any(|contact| !contact.is_reached) {
            self.publish_store_contact(true);
        }
    }

    fn record_failure(&mut self, error: &StoreError) {
        self.metrics.observe_store_call(self.kind, false);
        self.availability.record_failure(self.kind);
        if !self.is_store_lost {
            self.is_store_lost = true;
            FrontEvent::StoreLost {
                kind: self.kind,
                reason: error.to_string(),
                answer_age_ms: self.clock.now().since(self.answered_at).as_millis(),
            }
            .emit(Level::Warn);
            self.publish_store_contact(false);
        } else if self.is_report_due() {
            self.publish_store_contact(false);
        }
    }

    /// Returns true if the report that the store is lost has to be renewed, so that this node isn't chosen
    /// to watch. Nodes that are far from being chosen don't renew it: while the store is down, all of
    /// them have lost it.
    fn is_report_due(&self) -> bool {
        let (options, now) = (&self.watch_options, self.clock.now());
        let contacts = self.catalog.store_contacts();
        let mut own = contacts
            .iter()
            .filter(|contact| contact.node == self.own.node);
        let others = self.other_live_nodes();
        let candidates = options.watchers.saturating_mul(2);
        own.all(|contact| !contact.is_waiting(options, now))
            && store_watch_plan::is_among_first(&self.own.node, &others, candidates)
    }

    fn publish_store_contact(&self, is_reached: bool) {
        let node = &self.own.node;
        self.catalog
            .publish_store_contact(node, is_reached, wall_clock::unix_millis());
    }
}
