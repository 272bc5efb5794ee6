//! Follows the platform's store, while it is this node's turn, and passes what it learns on.

use std::sync::Arc;
use std::time::Duration;

use alderhaven_core::config_object::ObjectKind;
use alderhaven_core::ids::{NodeId, StoreVersion};
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::TimeSpan;
use alderhaven_node::node_group::NodeGroup;
use alderhaven_policy::group_start;
use alderhaven_policy::group_start::GroupStart;
use alderhaven_policy::start_view::StartView;
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
use crate::wall_clock;

/// How long a watch waits for a change. A connection that went silent is noticed that much later,
/// and a node that is in touch has some seconds to take a change over.
const WATCH_TIMEOUT: TimeSpan = TimeSpan::from_millis(3_000);

/// The same for evacuations, which are rare: the bound on them is longer than this.
const EVACUATION_WATCH_TIMEOUT: TimeSpan = TimeSpan::from_millis(4_500);

/// The nodes that watch other kinds than the configuration: a target that leaves serves on for seconds,
/// in which another node takes the place of those that were lost.
const NON_CONFIG_WATCHERS: usize = 2;

/// The pause after a change of the configuration before the watch goes on, so that one call brings all
/// that follows it closely: operators send changes in series, and each is due within seconds.
const CONFIG_BATCH_DELAY: Duration = Duration::from_millis(250);

/// The same after a change of targets, which register and leave in series within a second or two. One
/// that leaves serves for three seconds more.
const TARGET_BATCH_DELAY: Duration = Duration::from_millis(500);

/// How often a node that does not watch looks whether it should.
const WATCH_PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// The time that the store has for the first list. A call that it does not answer is given up early, since
/// it may be back meanwhile.
const INITIAL_LIST_TIMEOUT: Duration = Duration::from_millis(350);

/// How often a node that starts looks whether its peers have told it all.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The waits after failed calls: the second is long, since each call to a store that is down is paid
/// for like any other.
const BACKOFF: BackoffOptions = BackoffOptions {
    first: TimeSpan::from_millis(250),
    longest: TimeSpan::from_millis(1_500),
};

/// A `StoreFollower` keeps one kind of objects up to date.
#[derive(Debug)]
pub struct StoreFollower<S> {
    store: Arc<S>,
    catalog: Arc<Catalog>,
    group: NodeGroup,
    node: NodeId,
    clock: ProcessClock,
    watch_options: WatchOptions,
    kind: ObjectKind,
    revision: Option<StoreVersion>,
    is_store_lost: bool,
    metrics: FrontMetrics,
    group_start: GroupStart,
    availability: Arc<StoreAvailability>,
}

/// Gets how many nodes watch a kind. A change of the configuration is due everywhere soonest, and must
/// not be missed where two nodes are lost at once.
fn watch_options(kind: ObjectKind) -> WatchOptions {
    let usual = WatchOptions::default();
    let watchers = match kind {
        ObjectKind::Routing => usual.watchers,
        _ => NON_CONFIG_WATCHERS,
    };
    WatchOptions { watchers, ..usual }
}

impl<S: ObjectStore> StoreFollower<S> {
    /// Returns a follower of one kind of objects.
    #[must_use]
    pub fn new(
        store: Arc<S>,
        catalog: Arc<Catalog>,
        group: NodeGroup,
        node: NodeId,
        kind: ObjectKind,
    ) -> Self {
        Self {
            store,
            catalog,
            group,
            node,
            clock: ProcessClock::default(),
            watch_options: watch_options(kind),
            kind,
            revision: None,
            is_store_lost: false,
            metrics: FrontMetrics::default(),
            group_start: GroupStart::default(),
            availability: Arc::default(),
        }
    }

    /// Takes over how the node starts.
    #[must_use]
    pub const fn with_group_start(mut self, start: GroupStart) -> Self {
        self.group_start = start;
        self
    }

    /// Shares with the other followers of the process whether the store answers.
    #[must_use]
    pub fn with_availability(mut self, availability: Arc<StoreAvailability>) -> Self {
        self.availability = availability;
        self
    }

    /// Counts its calls in these metrics.
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
        loop {
            if !self.should_watch() {
                // What happened meanwhile is known only by list.
                self.revision = None;
                self.wait_for_watch_plan_change().await;
                continue;
            }
            match self.list_or_watch().await {
                Ok(is_changed) => {
                    backoff.reset();
                    self.record_success();
                    if is_changed {
                        time::sleep(self.batch_delay()).await;
                    }
                }
                Err(error) => {
                    self.record_failure(&error);
                    self.wait_before_retry(&mut backoff).await;
                    self.availability.wait_while_probed(self.kind).await;
                }
            }
        }
    }

    /// Gives peers the chance to tell this node all, which costs the store nothing. Of a group that
    /// starts at once the first ones in the order ask the store, and the others wait for them.
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

    /// Asks the store until something is known, at short intervals: until then each request is refused.
    async fn load_initial_list(&mut self) {
        while !self.catalog.is_kind_listed(self.kind) {
            let result = time::timeout(INITIAL_LIST_TIMEOUT, self.list_initial()).await;
            match result {
                Ok(Ok(())) => self.record_success(),
                Ok(Err(error)) => self.record_failure(&error),
                Err(_) => self.record_failure(&StoreError::unknown("no answer in time")),
            }
            if self.revision.is_none() {
                self.wait_before_initial_retry().await;
            }
        }
    }

    /// Waits before the next try of the first list, or until a peer has told it.
    async fn wait_before_initial_retry(&self) {
        let random: f64 = rand::rng().random_range(0.0..1.0);
        let lists_store_first = self.group_start.lists_store_first(self.start_view());
        let pause = group_start::retry_pause(lists_store_first, random);
        let mut changed = self.catalog.changed();
        let listed = changed.wait_for(|_| self.catalog.is_kind_listed(self.kind));
        // Where the time is up, the store is asked again.
        let _is_over = time::timeout(pause.as_duration(), listed).await.is_err();
        self.availability.wait_while_probed(self.kind).await;
    }

    /// Waits before a call that follows one which was not answered.
    async fn wait_before_retry(&self, backoff: &mut RetryBackoff) {
        let random: f64 = rand::rng().random_range(0.0..1.0);
        let usual = backoff.next(random);
        let others = self.other_live_nodes();
        let pause = if self.is_among_first(&others) {
            usual
        } else {
            usual.max(store_watch_plan::group_retry_pause(others.len(), random))
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

    fn is_among_first(&self, others: &[NodeId]) -> bool {
        store_watch_plan::is_among_first(&self.node, others, self.watch_options.watchers)
    }

    /// Waits until it may be this node's turn: another one may have said that the store does not answer it.
    async fn wait_for_watch_plan_change(&self) {
        let mut changed = self.catalog.changed();
        // Where the time is up, members may have changed.
        let _is_over = time::timeout(WATCH_PLAN_INTERVAL, changed.changed())
            .await
            .is_err();
    }

    fn should_watch(&self) -> bool {
        let contacts = self.catalog.store_contacts();
        let now = self.clock.now();
        let others = self.other_live_nodes();
        let answered = self.group.since_store_answer();
        let plan = WatchPlan {
            own: &self.node,
            others: &others,
            contacts: &contacts,
            answered_age: answered,
        };
        plan.should_watch(&self.watch_options, now)
    }

    /// Gets the other nodes that are alive.
    fn other_live_nodes(&self) -> Vec<NodeId> {
        let members = self.group.members();
        let others = members.iter().skip(1);
        let live = others.filter(|member| member.state.takes_work());
        live.map(|member| member.record.node.clone()).collect()
    }

    const fn watch_timeout(&self) -> TimeSpan {
        match self.kind {
            ObjectKind::Evacuation => EVACUATION_WATCH_TIMEOUT,
            _ => WATCH_TIMEOUT,
        }
    }

    const fn batch_delay(&self) -> Duration {
        match self.kind {
            ObjectKind::Target => TARGET_BATCH_DELAY,
            _ => CONFIG_BATCH_DELAY,
        }
    }

    /// Lists the kind for the first time.
    ///
    /// Where a whole group starts at once each node may list all targets, so that a copy of the store that
    /// costs it less is as good: targets come and go within seconds in any case, and those who watch pass
    /// on what the copy lacks. The configuration is one object, and the newest.
    async fn list_initial(&mut self) -> Result<(), StoreError> {
        let kinds = [self.kind];
        let list = match self.kind {
            ObjectKind::Target => self.store.list_stale(&kinds).await?,
            _ => self.store.list(&kinds).await?,
        };
        self.apply_list(list);
        Ok(())
    }

    fn apply_list(&mut self, list: ObjectList) {
        self.revision = Some(list.revision);
        self.catalog
            .accept_list(self.kind, list.revision, list.objects);
    }

    /// Makes one call; returns true where it brought a change.
    async fn list_or_watch(&mut self) -> Result<bool, StoreError> {
        let Some(revision) = self.revision else {
            let list = self.store.list(&[self.kind]).await?;
            self.apply_list(list);
            return Ok(true);
        };
        let wait = self.watch_timeout();
        let watched = self.store.watch(&[self.kind], revision, wait).await?;
        match watched {
            WatchOutcome::Changes(list) => {
                let is_changed = !list.objects.is_empty();
                self.revision = Some(revision.max(list.revision));
                self.catalog.accept(list.objects);
                Ok(is_changed)
            }
            WatchOutcome::Gap => {
                self.revision = None;
                Ok(false)
            }
        }
    }

    fn record_success(&mut self) {
        self.metrics.observe_store_call(self.kind, true);
        self.availability.record_success();
        self.group.note_store_answer();
        if self.is_store_lost {
            self.is_store_lost = false;
            FrontEvent::StoreRecovered.emit(Level::Info);
        }
        let contacts = self.catalog.store_contacts();
        let own = contacts.iter().find(|contact| contact.node == self.node);
        if own.is_some_and(|contact| !contact.is_reached) {
            self.catalog
                .publish_store_contact(&self.node, true, wall_clock::unix_millis());
        }
    }

    fn record_failure(&mut self, error: &StoreError) {
        self.metrics.observe_store_call(self.kind, false);
        self.availability.record_failure(self.kind);
        if !self.is_store_lost {
            self.is_store_lost = true;
            FrontEvent::StoreLost {
                reason: error.to_string(),
            }
            .emit(Level::Warn);
            self.catalog
                .publish_store_contact(&self.node, false, wall_clock::unix_millis());
        }
    }
}
