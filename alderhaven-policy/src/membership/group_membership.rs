//! Membership state of one process and its public interface.

use std::collections::BTreeMap;
use std::sync::Arc;

use alderhaven_core::ids::NodeId;
use alderhaven_core::time::TimePoint;
use rand::Rng;

use crate::hashing;
use crate::membership::config_report_tracker::{self, ConfigReportTracker};
use crate::membership::contact_list::{ContactList, MemberContact};
use crate::membership::gossip_message::{MemberUpdate, OutgoingMessage, VIEW_BUCKETS};
use crate::membership::member_entry::{self, MemberEntry, MemberView};
use crate::membership::member_machine::MemberEvent;
use crate::membership::member_record::{
    ConfigDigest, LoadLevel, MemberRecord, MemberState, MemberVersion,
};
use crate::membership::membership_options::MembershipOptions;
use crate::membership::probing::ProbeSchedule;
use crate::membership::state_sync::SyncSchedule;
use crate::membership::store_answer::StoreAnswerTracker;
use crate::membership::update_queue::UpdateQueue;

/// One process's view of the group.
///
/// The caller owns clock, randomness and sockets: it calls [`tick`](Self::tick) at least every 50
/// ms and [`receive`](Self::receive) for each message, and sends the messages that both return.
pub struct GroupMembership {
    pub(super) options: MembershipOptions,
    pub(super) record: MemberRecord,
    pub(super) version: MemberVersion,
    /// State that this process announces about itself.
    pub(super) own_state: MemberState,
    pub(super) is_superseded: bool,
    pub(super) load: LoadLevel,
    pub(super) config: ConfigDigest,
    pub(super) members: BTreeMap<NodeId, MemberEntry>,
    /// Suspected members, with the number of pings sent to each during the suspicion.
    pub(super) suspects: BTreeMap<NodeId, u32>,
    /// Last versions of dead members whose records were dropped.
    pub(super) tombstones: BTreeMap<NodeId, MemberVersion>,
    pub(super) contacts: ContactList,
    pub(super) queue: UpdateQueue,
    pub(super) config_reports: ConfigReportTracker,
    pub(super) store_answers: StoreAnswerTracker,
    /// Exclusive or of the hashes of the members in each bucket.
    pub(super) buckets: [u64; VIEW_BUCKETS],
    pub(super) probing: ProbeSchedule,
    pub(super) syncing: SyncSchedule,
    /// Whether the next gossip round may be sent before `gossip_period` has passed.
    pub(super) has_urgent_updates: bool,
    pub(super) gossiped_at: TimePoint,
    pub(super) changed_at: TimePoint,
    pub(super) revision: u64,
    pub(super) report_revision: u64,
    name_hash: u64,
    pub(super) reported_at: TimePoint,
    pub(super) next_reconnect_at: TimePoint,
    pub(super) ticked_at: Option<TimePoint>,
    /// Latest time that the caller passed in.
    pub(super) latest_time: TimePoint,
    /// End of the last pause of this process; suspicions are timed from here at the earliest.
    pub(super) resumed_at: TimePoint,
    pub(super) forgot_at: TimePoint,
}

impl GroupMembership {
    /// Creates the view of a process that has just started and knows no other member.
    ///
    /// The incarnation in `version` should exceed those of the process's earlier runs, for
    /// instance by using the start time. If it does not, the process learns of the newer version
    /// from other members and raises its own.
    #[must_use]
    pub fn new(record: MemberRecord, version: MemberVersion, options: MembershipOptions) -> Self {
        let mut membership = Self {
            name_hash: hashing::hash_name(record.node.as_str()),
            options,
            record,
            version,
            own_state: MemberState::Alive,
            is_superseded: false,
            load: LoadLevel::default(),
            config: ConfigDigest::default(),
            members: BTreeMap::new(),
            suspects: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            contacts: ContactList::default(),
            queue: UpdateQueue::default(),
            config_reports: ConfigReportTracker::default(),
            store_answers: StoreAnswerTracker::default(),
            buckets: [0; VIEW_BUCKETS],
            probing: ProbeSchedule::default(),
            syncing: SyncSchedule::default(),
            has_urgent_updates: false,
            gossiped_at: TimePoint::START,
            changed_at: TimePoint::START,
            revision: 1,
            report_revision: 1,
            reported_at: TimePoint::START,
            next_reconnect_at: TimePoint::START,
            ticked_at: None,
            latest_time: TimePoint::START,
            resumed_at: TimePoint::START,
            forgot_at: TimePoint::START,
        };
        membership.toggle_own_contribution();
        membership.queue.push(membership.own_update(true));
        membership
    }

    /// Runs all periodic tasks that are due; must be called at least every 50 ms.
    pub fn tick(&mut self, now: TimePoint, rng: &mut impl Rng) -> Vec<OutgoingMessage> {
        let mut outgoing = Vec::new();
        if self.own_state == MemberState::Dead {
            return outgoing;
        }
        self.latest_time = now;
        self.detect_pause(now);
        self.expire_suspicions(now, &mut outgoing);
        self.report_config(now);
        self.probe(now, rng, &mut outgoing);
        self.sync(now, rng, &mut outgoing);
        self.reconnect(now, rng, &mut outgoing);
        self.forget_dead_members(now);
        self.gossip(now, rng, &mut outgoing);
        outgoing
    }

    /// Announces to many members at once that this process stops accepting work.
    pub fn announce_leaving(&mut self, now: TimePoint, rng: &mut impl Rng) -> Vec<OutgoingMessage> {
        if self.own_state != MemberState::Alive {
            return Vec::new();
        }
        self.toggle_own_contribution();
        self.own_state = MemberState::Leaving;
        self.toggle_own_contribution();
        self.queue.push(self.own_update(false));
        self.record_change(now);
        self.broadcast(now, rng)
    }

    /// Announces that this process is stopping; must be the last call before it ends.
    pub fn announce_gone(&mut self, now: TimePoint, rng: &mut impl Rng) -> Vec<OutgoingMessage> {
        let mut outgoing = self.announce_leaving(now, rng);
        self.own_state = MemberState::Dead;
        self.queue.push(self.own_update(false));
        self.record_change(now);
        outgoing.extend(self.broadcast(now, rng));
        outgoing
    }

    /// Sets the utilization that this process reports.
    pub const fn set_load(&mut self, load: LoadLevel) {
        self.load = load;
    }

    /// Sets the configuration that this process reports as in force.
    pub const fn set_config(&mut self, config: ConfigDigest) {
        self.config = config;
    }

    /// Records that the store answered this process.
    pub fn note_store_answer(&mut self, now: TimePoint) {
        self.store_answers.record_own(now);
    }

    /// Returns the time of the store's last known answer to any other member.
    #[must_use]
    pub fn other_store_answered_at(&self) -> Option<TimePoint> {
        self.store_answers.other_answered_at()
    }

    /// Returns true if nothing is due before the next probe.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let is_awaiting = !self.probing.is_idle() || !self.syncing.is_idle();
        !self.has_pending_gossip() && self.suspects.is_empty() && !is_awaiting
    }

    /// Returns true if updates or reports are waiting to be sent.
    pub(super) fn has_pending_gossip(&self) -> bool {
        !self.queue.is_empty() || !self.config_reports.is_empty()
    }

    /// Returns the time of the next probe.
    #[must_use]
    pub const fn next_probe_at(&self) -> TimePoint {
        self.probing.next_probe_at()
    }

    /// Returns the record that this process announces.
    #[must_use]
    pub const fn record(&self) -> &MemberRecord {
        &self.record
    }

    /// Returns the version that this process announces.
    #[must_use]
    pub const fn version(&self) -> MemberVersion {
        self.version
    }

    /// Returns the state that this process announces.
    #[must_use]
    pub const fn own_state(&self) -> MemberState {
        self.own_state
    }

    /// Returns true if a newer process with the same id but another record exists. This process
    /// was replaced while it was paused, and must stop.
    #[must_use]
    pub const fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Returns true once this process has completed its first state sync or has no seeds to join.
    #[must_use]
    pub const fn is_joined(&self) -> bool {
        self.syncing.is_joined
    }

    /// Returns a counter of changes to the members and their states.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a counter of changes to the members' configurations in force.
    #[must_use]
    pub const fn report_revision(&self) -> u64 {
        self.report_revision
    }

    /// Returns the state of a member or of this process; `None` for an unknown node.
    #[must_use]
    pub fn state_of(&self, node: &NodeId) -> Option<MemberState> {
        if *node == self.record.node {
            return Some(self.own_state);
        }
        self.members.get(node).map(|member| member.machine.state())
    }

    /// Returns all members, this process first. Dead members are included until they are
    /// forgotten.
    #[must_use]
    pub fn members(&self) -> Vec<MemberView> {
        let own = MemberView {
            record: Arc::new(self.record.clone()),
            state: self.own_state,
            version: self.version,
            load: self.load,
            last_contact_at: None,
            config: Some(self.config),
            discovered_at: TimePoint::START,
        };
        let others = self.members.values().map(|member| MemberView {
            record: Arc::clone(&member.record),
            state: member.machine.state(),
            version: member.machine.version(),
            load: member.load,
            last_contact_at: member.last_contact_at,
            config: self
                .config_reports
                .get(member.fingerprint)
                .or(member.config),
            discovered_at: member.discovered_at,
        });
        std::iter::once(own).chain(others).collect()
    }

    /// Returns a hash of the view. Equal views have equal hashes.
    #[must_use]
    pub fn view_hash(&self) -> u64 {
        self.buckets.iter().fold(0, |all, bucket| all ^ bucket)
    }

    /// Returns the number of members that are not dead, this process included.
    pub(super) fn live_member_count(&self) -> usize {
        self.contacts.len() + 1
    }

    pub(super) fn own_update(&self, with_record: bool) -> MemberUpdate {
        MemberUpdate {
            node: self.record.node.clone(),
            state: self.own_state,
            version: self.version,
            record: with_record.then(|| self.record.clone()),
        }
    }

    pub(super) fn own_fingerprint(&self) -> u32 {
        config_report_tracker::process_fingerprint(&self.record.node, self.version.incarnation)
    }

    /// Adds this process's contribution to the bucket hashes, or removes it if it was added
    /// before.
    pub(super) fn toggle_own_contribution(&mut self) {
        let (bucket, hash) = member_entry::hash_contribution(
            self.name_hash,
            self.version,
            self.own_state == MemberState::Leaving,
        );
        self.buckets[bucket] ^= hash;
    }

    pub(super) const fn record_change(&mut self, now: TimePoint) {
        self.changed_at = now;
        self.revision += 1;
    }

    /// Applies an event to a known member. A change is queued as an update for the other members;
    /// returns true if there was one.
    pub(super) fn apply_event(
        &mut self,
        node: &NodeId,
        event: MemberEvent,
        now: TimePoint,
    ) -> bool {
        let Some(member) = self.members.get_mut(node) else {
            return false;
        };
        let (bucket, before) = member.hash_contribution();
        let was_dead = member.machine.state() == MemberState::Dead;
        if !member.machine.handle(event) {
            return false;
        }
        self.buckets[bucket] ^= before;
        let (bucket, after) = member.hash_contribution();
        self.buckets[bucket] ^= after;
        let update = member.update(false);
        if update.state == MemberState::Suspect {
            self.suspects.insert(node.clone(), 0);
        } else {
            self.suspects.remove(node);
        }
        let is_dead = update.state == MemberState::Dead;
        let record = Arc::clone(&member.record);
        self.has_urgent_updates = true;
        self.queue.push(update);
        if is_dead {
            self.contacts.remove(node);
        } else if was_dead {
            self.add_contact(&record);
        }
        self.record_change(now);
        true
    }

    /// Adds a member to the destinations of messages.
    pub(super) fn add_contact(&mut self, record: &MemberRecord) {
        let contact = MemberContact {
            node: record.node.clone(),
            address: record.gossip_address,
        };
        let is_in_own_domain = record.domain == self.record.domain;
        self.contacts.add(contact, is_in_own_domain);
    }
}
