//! Keeps the lease of a front on its configuration.
//!
//! It sends nothing while the configuration in force has no teams.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use alderhaven_core::boot_clock::BootClock;
use alderhaven_core::config_object::ObjectKind;
use alderhaven_core::ids::{NodeId, StoreEra};
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_core::wall_clock;
use alderhaven_peer::control_messages::{ControlMessage, LeaseQuery, LeaseReply};
use alderhaven_policy::config_lease::{ConfigLease, LeaseOptions, LeaseStatus};
use alderhaven_policy::lease_change::LeaseChange;
use alderhaven_policy::lease_group::LeaseGroup;
use alderhaven_policy::lease_step::LeaseStep;
use alderhaven_store::object_store::{ObjectList, ObjectStore, StoreError, WatchOutcome};
use log::Level;
use rand::RngExt;
use tokio::sync::Notify;
use tokio::time;

use crate::front_event::FrontEvent;
use crate::lease_links::LeaseLinks;
use crate::lease_report::LeaseReport;

/// The time after which a list call is given up; its late answer still counts from its send.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);

/// The time after which the late answer of a list call is of no use to a lease of 5 s.
const LATE_LIST_TIMEOUT: Duration = Duration::from_millis(4_500);

/// The longest pause between two checks. Timers stand still while the host is suspended, and the
/// members of the group may change.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The shortest pause between two checks.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// The lease of one front, shared by its tasks.
#[derive(Debug)]
pub struct LeaseKeeper {
    links: LeaseLinks,
    clock: BootClock,
    lease: Mutex<ConfigLease>,
    /// Wakes the task when a proof has arrived.
    proof_arrived: Notify,
    /// The latest rejected or removed version whose predecessors are all known.
    settled: Mutex<Option<StoreVersion>>,
}

impl LeaseKeeper {
    /// Creates the lease of a process that holds no proof yet.
    #[must_use]
    pub fn new(options: LeaseOptions, links: LeaseLinks) -> Self {
        let first_number = rand::rng().random();
        Self {
            links,
            clock: BootClock::default(),
            lease: Mutex::new(ConfigLease::new(options, first_number)),
            proof_arrived: Notify::new(),
            settled: Mutex::default(),
        }
    }

    /// Returns what the front may decide by its configuration now; `Fresh` while it has no teams.
    #[must_use]
    pub fn status(&self) -> LeaseStatus {
        if self.is_active() {
            self.proof_status()
        } else {
            LeaseStatus::Fresh
        }
    }

    /// Returns what the proofs permit, whether or not the configuration in force has teams.
    ///
    /// The result holds for a configuration that is read afterwards. One that was read before may
    /// be older than the proof.
    #[must_use]
    pub fn proof_status(&self) -> LeaseStatus {
        self.lease().status(self.clock.now())
    }

    /// Returns the state of the lease for operators; `None` while the configuration has no teams.
    #[must_use]
    pub fn report(&self) -> Option<LeaseReport> {
        let status = self.is_active().then(|| self.status())?;
        let proof_age = self.lease().proof_age(self.clock.now());
        Some(LeaseReport {
            status,
            proof_age_ms: proof_age.map(TimeSpan::as_millis),
        })
    }

    /// Answers the query of another front.
    pub fn handle_query(&self, query: LeaseQuery, sender: SocketAddr) {
        if !self.is_active() {
            return;
        }
        let proof = self.lease().proof().copied();
        let version = proof.map_or_else(StoreVersion::default, |proof| proof.version);
        let age = proof.map(|proof| proof.age(self.clock.now()));
        let reply = LeaseReply {
            number: query.number,
            proof_age_us: age.map(TimeSpan::as_micros),
            era: version.era.0,
            revision: version.revision,
        };
        let message = ControlMessage::LeaseReply(reply);
        self.links.socket.send(sender, message);
        self.links.metrics.lease_replies.inc();
    }

    /// Applies the reply of another front. It counts from the time of the query, so the sender does
    /// not matter.
    pub fn handle_reply(&self, reply: LeaseReply, _sender: SocketAddr) {
        let version = StoreVersion::of_revision(reply.revision).in_era(StoreEra(reply.era));
        let age = reply.proof_age_us.map(TimeSpan::from_micros);
        let proof = age.map(|age| (age, version));
        if self.lease().record_reply(reply.number, proof) {
            self.links.metrics.lease_answers.inc();
            self.proof_arrived.notify_one();
        }
    }

    /// Keeps the lease for as long as the process runs.
    pub async fn run<S: ObjectStore>(self: Arc<Self>, store: Arc<S>) {
        let mut changed = self.links.catalog.subscribe();
        loop {
            self.record_held();
            let pause = if self.is_active() {
                let due = self.take_steps(&store);
                self.report_change();
                let pause = due.since(self.clock.now()).as_duration();
                pause.clamp(MIN_CHECK_INTERVAL, MAX_CHECK_INTERVAL)
            } else {
                Duration::MAX
            };
            tokio::select! {
                result = changed.changed() => if result.is_err() {
                    return;
                },
                () = self.proof_arrived.notified() => {}
                () = time::sleep(pause) => {}
            }
        }
    }

    /// Does what is due, and returns when the next step is.
    fn take_steps<S: ObjectStore>(self: &Arc<Self>, store: &Arc<S>) -> TimePoint {
        let group = self.order_group();
        loop {
            let random: f64 = rand::rng().random_range(0.0..1.0);
            let now = self.clock.now();
            let step = self.lease().next_step(group.place(), now, random);
            match step {
                Some(LeaseStep::ListStore) => {
                    tokio::spawn(Arc::clone(self).list_store(Arc::clone(store), now));
                }
                Some(LeaseStep::Query { number, receiver }) => {
                    self.send_query(number, group.find_receiver(receiver, random));
                }
                None => return self.lease().next_due(group.place(), now),
            }
        }
    }

    fn order_group(&self) -> LeaseGroup {
        let members = self.links.group.members();
        let others = members.iter().skip(1);
        let live = others.filter(|member| member.state.takes_work());
        let live = live.map(|member| member.record.group_front());
        let contacts = self.links.catalog.store_contacts();
        let now = self.links.clock.now();
        LeaseGroup::new(&self.links.own, live.collect(), &contacts, now)
    }

    fn send_query(&self, number: u64, receiver: Option<&NodeId>) {
        let members = self.links.group.members();
        let mut others = members.iter().skip(1);
        let member = others.find(|member| Some(&member.record.node) == receiver);
        // A member without an address has just left: the query counts as lost and is repeated.
        if let Some(address) = member.and_then(|member| member.record.peer_address) {
            let message = ControlMessage::LeaseQuery(LeaseQuery { number });
            self.links.socket.send(address, message);
            self.links.metrics.lease_queries.inc();
        }
    }

    /// Lists the configuration; the answer proves the state of the store at `sent_at`.
    async fn list_store<S: ObjectStore>(self: Arc<Self>, store: Arc<S>, sent_at: TimePoint) {
        self.links.metrics.lease_lists.inc();
        let call = store.list(&[ObjectKind::Routing]);
        tokio::pin!(call);
        let mut result = time::timeout(LIST_TIMEOUT, &mut call).await;
        if result.is_err() {
            self.record_store_contact(false);
            result = time::timeout(LATE_LIST_TIMEOUT, call).await;
        }
        let result = result.unwrap_or_else(|_| Err(StoreError::unknown("the list timed out")));
        let metrics = &self.links.metrics;
        metrics.observe_store_call(ObjectKind::Routing, result.is_ok());
        self.record_store_contact(result.is_ok());
        // The follower of the configuration logs that the store is lost, with the reason.
        if let Ok(list) = result {
            let listed = self.apply_list(list);
            self.record_list(&*store, sent_at, listed).await;
        }
    }

    /// Merges a list; returns the version of the configuration in it, or of its removal.
    fn apply_list(&self, list: ObjectList) -> StoreVersion {
        let versions = list.objects.iter().map(|object| object.version);
        let listed = versions.max().unwrap_or(list.revision);
        let (kind, revision) = (ObjectKind::Routing, list.revision);
        let newer_versions = self.links.catalog.accept_list(kind, list, false);
        let metrics = &self.links.metrics;
        metrics.observe_store_answer(kind, revision, newer_versions.len());
        self.links.group.note_store_answer();
        // A removal keeps its version, while the revision of the store increases.
        let known = self.links.catalog.routing_object_version();
        known.map_or(listed, |known| known.min(listed))
    }

    /// Records the proof of a list that was sent at `sent_at` and showed the version `listed`.
    ///
    /// If that version was rejected, the proof counts for the last valid one before it, as long as
    /// the store's history tells which one that is. Otherwise it doesn't count, because a valid
    /// version that this front has missed may have removed a key.
    async fn record_list<S: ObjectStore>(
        &self,
        store: &S,
        sent_at: TimePoint,
        listed: StoreVersion,
    ) {
        let is_settled = self.is_settled(listed) || self.settle_history(store, listed).await;
        let applied = self.links.catalog.routing_version();
        let proven = applied.filter(|_| is_settled).unwrap_or(listed);
        self.lease().record_list(sent_at, proven);
        self.record_held();
        self.proof_arrived.notify_one();
    }

    fn is_settled(&self, listed: StoreVersion) -> bool {
        let applied = self.links.catalog.routing_version();
        let settled = *self.settled();
        let is_covered = |known: StoreVersion| known.stored() >= listed.stored();
        applied.is_some_and(is_covered) || settled.is_some_and(is_covered)
    }

    /// Applies what the store tells of the versions before a rejected or removed one; returns true
    /// if none is missing.
    async fn settle_history<S: ObjectStore>(&self, store: &S, listed: StoreVersion) -> bool {
        let Some(applied) = self.links.catalog.routing_version() else {
            return false;
        };
        let call = store.watch(&[ObjectKind::Routing], applied.stored(), TimeSpan::ZERO);
        let result = time::timeout(LIST_TIMEOUT, call).await;
        let is_answered = matches!(result, Ok(Ok(_)));
        let metrics = &self.links.metrics;
        metrics.observe_store_call(ObjectKind::Routing, is_answered);
        // After a failure the next list repeats the call; the loss of the lease is logged.
        let Ok(Ok(WatchOutcome::Changes(changes))) = result else {
            return false;
        };
        if changes.revision < listed.stored() {
            return false;
        }
        self.links.catalog.accept_routing_history(changes);
        *self.settled() = Some(listed);
        true
    }

    /// Tells the other fronts when it changes whether the store answers this one: the first front
    /// that reaches it lists the configuration for all.
    fn record_store_contact(&self, is_reached: bool) {
        let LeaseLinks { own, catalog, .. } = &self.links;
        let node = &own.node;
        let contacts = catalog.store_contacts();
        let known = contacts.iter().find(|contact| contact.node == *node);
        if known.is_none_or(|contact| contact.is_reached) != is_reached {
            catalog.publish_store_contact(node, is_reached, wall_clock::unix_millis());
        }
    }

    fn record_held(&self) {
        if let Some(version) = self.links.catalog.routing_version() {
            self.lease().record_held(version);
        }
    }

    fn report_change(&self) {
        let now = self.clock.now();
        let (change, proof) = {
            let mut lease = self.lease();
            (lease.take_change(now), lease.proof().copied())
        };
        let Some((change, proof)) = change.zip(proof) else {
            return;
        };
        let (era, revision) = (proof.version.era, proof.version);
        let routing = self.links.catalog.view().routing.clone();
        let version = routing.map(|routing| routing.version);
        let proof_age_ms = proof.age(now).as_millis();
        let (event, level) = match change {
            LeaseChange::Obtained => (
                FrontEvent::LeaseObtained {
                    version,
                    era,
                    revision,
                    proof_age_ms,
                },
                Level::Info,
            ),
            LeaseChange::Lost => (
                FrontEvent::LeaseLost {
                    version,
                    era,
                    revision,
                    proof_age_ms,
                },
                Level::Warn,
            ),
            LeaseChange::Recovered => (
                FrontEvent::LeaseRecovered {
                    version,
                    era,
                    revision,
                    proof_age_ms,
                },
                Level::Info,
            ),
        };
        event.emit(level);
    }

    fn is_active(&self) -> bool {
        self.links.catalog.has_teams()
    }

    fn settled(&self) -> MutexGuard<'_, Option<StoreVersion>> {
        self.settled.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lease(&self) -> MutexGuard<'_, ConfigLease> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
