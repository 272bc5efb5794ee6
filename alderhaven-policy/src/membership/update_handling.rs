//! Handling of incoming messages and the updates that they carry.

use std::net::SocketAddr;
use std::sync::Arc;

use alderhaven_core::time::TimePoint;
use rand::Rng;

use crate::membership::config_report_tracker;
use crate::membership::gossip_message::{
    GossipBody, GossipMessage, MemberUpdate, OutgoingMessage, ReportGroup, SenderHeader,
};
use crate::membership::group_membership::GroupMembership;
use crate::membership::member_entry::MemberEntry;
use crate::membership::member_machine::{MemberEvent, MemberMachine};
use crate::membership::member_record::{MemberState, MemberVersion};

/// How an update arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum UpdateSource {
    /// Piggybacked on a message, soon after the change.
    Gossip,
    /// From a state sync; the change may be old.
    StateSync,
}

impl GroupMembership {
    /// Handles a message from `from`; returns the messages to send.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        message: GossipMessage,
        now: TimePoint,
        rng: &mut impl Rng,
    ) -> Vec<OutgoingMessage> {
        let mut outgoing = Vec::new();
        if self.own_state == MemberState::Dead {
            return outgoing;
        }
        self.latest_time = now;
        let source = match message.body {
            GossipBody::SyncReply { .. } => UpdateSource::StateSync,
            _ => UpdateSource::Gossip,
        };
        for update in message.updates {
            self.handle_update(update, source, now, rng, &mut outgoing);
        }
        self.handle_header(from, &message.sender, now, rng, &mut outgoing);
        if self.options.is_reporting {
            self.handle_reports(message.reports);
        }
        self.handle_body(from, &message.body, now, &mut outgoing);
        self.gossip_urgently(now, rng, &mut outgoing);
        outgoing
    }

    fn handle_reports(&mut self, reports: Vec<ReportGroup>) {
        for group in reports {
            for member in group.members {
                self.report_revision +=
                    u64::from(self.config_reports.record_report(member, group.config));
            }
        }
    }

    fn handle_body(
        &mut self,
        from: SocketAddr,
        body: &GossipBody,
        now: TimePoint,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        match body {
            GossipBody::Updates => {}
            GossipBody::Ping { sequence, target } => {
                self.handle_ping(from, *sequence, target, outgoing);
            }
            GossipBody::PingRequest {
                sequence,
                target,
                address,
            } => self.handle_ping_request(from, *sequence, (target, *address), now, outgoing),
            GossipBody::Ack { sequence } => self.handle_ack(*sequence, outgoing),
            GossipBody::SyncRequest {
                sequence,
                after,
                buckets,
            } => self.handle_sync_request(from, *sequence, after.as_ref(), buckets, outgoing),
            GossipBody::SyncReply {
                sequence,
                continue_after,
            } => {
                self.handle_sync_reply(*sequence, continue_after.clone(), now, outgoing);
            }
        }
    }

    /// Records the sender's self-description, and notifies a sender that is considered suspect or
    /// dead.
    fn handle_header(
        &mut self,
        from: SocketAddr,
        sender: &SenderHeader,
        now: TimePoint,
        rng: &mut impl Rng,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        if sender.node == self.record.node {
            return;
        }
        self.compare_views(from, sender, now, rng, outgoing);
        if let Some(answer) = sender.store_answer {
            self.store_answers
                .record_other(answer, self.own_fingerprint(), now);
        }
        let Some(member) = self.members.get_mut(&sender.node) else {
            return;
        };
        if member.record_incarnation != sender.version.incarnation {
            return;
        }
        member.load = sender.load;
        member.last_contact_at = Some(now);
        member.config = Some(sender.config);
        let fingerprint = member.fingerprint;
        if self.options.is_reporting {
            self.report_revision += u64::from(
                self.config_reports
                    .record_report(fingerprint, sender.config),
            );
        }
        let state = if sender.is_leaving {
            MemberState::Leaving
        } else {
            MemberState::Alive
        };
        let version = sender.version;
        let event = MemberEvent::UpdateReceived {
            state,
            version,
            now,
        };
        self.apply_event(&sender.node, event, now);
        // A process that resumes after a pause does not know that it was declared dead, and would
        // keep serving without getting work. The notification lets it refute.
        let unhealthy_member = self.members.get(&sender.node).filter(|member| {
            matches!(
                member.machine.state(),
                MemberState::Suspect | MemberState::Dead
            )
        });
        if let Some(update) = unhealthy_member.map(|member| member.update(false)) {
            outgoing.push(self.message_with_update(from, GossipBody::Updates, Some(update)));
        }
    }

    fn handle_update(
        &mut self,
        update: MemberUpdate,
        source: UpdateSource,
        now: TimePoint,
        rng: &mut impl Rng,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        if update.node == self.record.node {
            self.handle_update_about_self(&update, now);
            return;
        }
        let Some(member) = self.members.get(&update.node) else {
            self.add_member(update, source, now, rng);
            return;
        };
        let known_version = member.machine.version();
        let is_restart = update.version.incarnation > member.record_incarnation;
        if is_restart && update.record.is_none() && update.state != MemberState::Dead {
            // The old record may have outdated addresses. The new record arrives with a later
            // update or a state sync.
            return;
        }
        let is_unhealthy = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        let is_newer = (update.version, update.state) > (known_version, member.machine.state());
        if source == UpdateSource::StateSync && is_unhealthy && is_newer {
            // After a network split each side considers the other side's members dead. Applying
            // these states in bulk would make each side suspect its own members. Instead, only the
            // member is notified: it refutes, or probes find it dead.
            let address = member.record.gossip_address;
            let update = MemberUpdate {
                record: None,
                ..update
            };
            outgoing.push(self.message_with_update(address, GossipBody::Updates, Some(update)));
            return;
        }
        let event = MemberEvent::UpdateReceived {
            state: update.state,
            version: update.version,
            now,
        };
        if self.apply_event(&update.node, event, now) && is_restart {
            self.apply_restart(update, now, rng);
        }
    }

    /// Replaces the record of a member that has restarted, and queues it for the other members.
    fn apply_restart(&mut self, update: MemberUpdate, now: TimePoint, rng: &mut impl Rng) {
        let Some(member) = self.members.get_mut(&update.node) else {
            return;
        };
        let Some(record) = update.record else {
            return;
        };
        member.replace_record(record, now);
        let update = member.update(true);
        let record = Arc::clone(&member.record);
        self.probing.add(update.node.clone(), rng);
        self.add_contact(&record);
        self.queue.push(update);
        self.record_change(now);
    }

    /// Adds a member that was unknown, unless it is dead or its version is not newer than its
    /// tombstone.
    fn add_member(
        &mut self,
        update: MemberUpdate,
        source: UpdateSource,
        now: TimePoint,
        rng: &mut impl Rng,
    ) {
        let tombstone = self.tombstones.get(&update.node);
        let is_outdated = tombstone.is_some_and(|version| *version >= update.version);
        let Some(record) = update.record.filter(|_| !is_outdated) else {
            return;
        };
        if update.state == MemberState::Dead || record.node != update.node {
            return;
        }
        let machine = MemberMachine::new(update.state, update.version, now);
        if machine.state() == MemberState::Suspect {
            self.suspects.insert(update.node.clone(), 0);
        }
        let member = MemberEntry::new(record, machine, now);
        let (bucket, hash) = member.hash_contribution();
        self.buckets[bucket] ^= hash;
        // Members learned while joining are already known to the group.
        if source == UpdateSource::Gossip || self.syncing.is_joined {
            self.queue.push(member.update(true));
        }
        self.tombstones.remove(&update.node);
        self.add_contact(&member.record);
        self.members.insert(update.node.clone(), member);
        self.probing.add(update.node, rng);
        self.record_change(now);
    }

    /// Refutes an update about this process that is newer than its own version and state.
    fn handle_update_about_self(&mut self, update: &MemberUpdate, now: TimePoint) {
        let own_status = (self.version, self.own_state);
        if self.is_superseded || (update.version, update.state) <= own_status {
            return;
        }
        let has_other_record = update
            .record
            .as_ref()
            .is_some_and(|record| *record != self.record);
        if has_other_record && update.version.incarnation > self.version.incarnation {
            self.is_superseded = true;
            self.record_change(now);
            return;
        }
        let is_restart = update.version.incarnation > self.version.incarnation;
        self.toggle_own_contribution();
        self.version = MemberVersion {
            incarnation: self.version.incarnation.max(update.version.incarnation),
            refutation: update.version.refutation + 1,
        };
        self.toggle_own_contribution();
        if is_restart && self.options.is_reporting {
            self.config_reports.record_report(
                config_report_tracker::process_fingerprint(
                    &self.record.node,
                    self.version.incarnation,
                ),
                self.config,
            );
        }
        self.queue.push(self.own_update(is_restart));
        self.has_urgent_updates = true;
        self.record_change(now);
    }
}
