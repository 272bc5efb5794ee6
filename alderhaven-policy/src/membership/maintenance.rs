//! Periodic tasks besides probing, gossip and state sync: pauses, suspicions, reconnection and the
//! removal of dead members.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use alderhaven_core::ids::NodeId;
use alderhaven_core::time::{TimePoint, TimeSpan};
use rand::{Rng, RngExt};

use crate::membership::gossip_message::OutgoingMessage;
use crate::membership::group_membership::GroupMembership;
use crate::membership::member_machine::MemberEvent;
use crate::membership::member_record::MemberState;

/// Maximum number of dead members whose version is kept after their record was dropped.
const MAX_TOMBSTONES: usize = 1 << 12;

/// Number of direct pings that a suspected member gets before its suspicion expires.
const PINGS_PER_SUSPICION: u32 = 2;

impl GroupMembership {
    /// Detects from a late tick that this process was paused; cancels the running probe and
    /// restarts all suspicion timeouts.
    ///
    /// Answers that arrived during the pause are still unread. Without this check, a process that
    /// resumes would declare the members dead that it had been waiting for.
    pub(super) fn detect_pause(&mut self, now: TimePoint) {
        let is_paused = self
            .ticked_at
            .is_some_and(|ticked_at| now.since(ticked_at) > self.options.probe_period);
        if is_paused {
            self.resumed_at = now;
            self.probing.cancel_current(now);
        }
        self.ticked_at = Some(now);
    }

    /// Declares members dead whose suspicion has expired.
    ///
    /// On lossy paths the refutation may not reach this process. It therefore pings the member
    /// directly after one third and after two thirds of the timeout.
    pub(super) fn expire_suspicions(
        &mut self,
        now: TimePoint,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        let timeout = self.options.suspicion_timeout(self.live_member_count());
        let mut expired = Vec::new();
        let mut to_ping = Vec::new();
        for (node, ping_count) in &mut self.suspects {
            let Some(member) = self.members.get(node) else {
                continue;
            };
            let elapsed = now.since(member.machine.since().max(self.resumed_at));
            if elapsed >= timeout {
                expired.push(node.clone());
            } else if elapsed
                >= timeout.mul_f64(f64::from(*ping_count + 1) / f64::from(PINGS_PER_SUSPICION + 1))
            {
                *ping_count += 1;
                to_ping.push((node.clone(), member.record.gossip_address));
            }
        }
        for (node, address) in to_ping {
            outgoing.push(self.ping(address, &node));
        }
        for node in expired {
            self.apply_event(&node, MemberEvent::SuspicionExpired { now }, now);
        }
    }

    /// Queues a report if the configuration in force has changed and a report is due.
    pub(super) fn report_config(&mut self, now: TimePoint) {
        let is_due = now.since(self.reported_at) >= self.options.report_period;
        if !self.options.is_reporting || !is_due {
            return;
        }
        if self
            .config_reports
            .record_report(self.own_fingerprint(), self.config)
        {
            self.reported_at = now;
            self.report_revision += 1;
        }
    }

    /// Tries to reach a dead member or an unknown seed, since after a network split no other
    /// message crosses between the two sides. The probability decreases with the group size, so
    /// that a failed host does not get a message from every member.
    pub(super) fn reconnect(
        &mut self,
        now: TimePoint,
        rng: &mut impl Rng,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        if now < self.next_reconnect_at {
            return;
        }
        self.next_reconnect_at = now + jittered(self.options.reconnect_period, rng);
        let candidates: Vec<(SocketAddr, Option<NodeId>)> = self.reconnect_candidates();
        if candidates.is_empty()
            || !rng.random_bool(
                (10.0 * candidates.len() as f64 / self.live_member_count() as f64).min(1.0),
            )
        {
            return;
        }
        match &candidates[rng.random_range(0..candidates.len())] {
            (address, Some(node)) => outgoing.push(self.ping(*address, node)),
            (address, None) => self.begin_sync(*address, now, outgoing),
        }
    }

    /// Returns dead members, and seeds that belong to no known member.
    fn reconnect_candidates(&self) -> Vec<(SocketAddr, Option<NodeId>)> {
        let dead = self
            .members
            .values()
            .filter(|member| member.machine.state() == MemberState::Dead)
            .map(|member| {
                (
                    member.record.gossip_address,
                    Some(member.record.node.clone()),
                )
            });
        let is_known = |address: SocketAddr| {
            address == self.record.gossip_address
                || self
                    .members
                    .values()
                    .any(|member| member.record.gossip_address == address)
        };
        let seeds = self.options.seeds.iter().filter(|seed| !is_known(**seed));
        dead.chain(seeds.map(|seed| (*seed, None))).collect()
    }

    /// Drops the records of members that have been dead for `forget_after`.
    ///
    /// Their versions are kept as tombstones: a process that resumes after a long pause may still
    /// report them as alive.
    pub(super) fn forget_dead_members(&mut self, now: TimePoint) {
        if now.since(self.forgot_at) < self.options.reconnect_period {
            return;
        }
        self.forgot_at = now;
        let forget_after = self.options.forget_after;
        let forgotten: Vec<NodeId> = self
            .members
            .values()
            .filter(|member| member.machine.state() == MemberState::Dead)
            .filter(|member| now.since(member.machine.since()) >= forget_after)
            .map(|member| member.record.node.clone())
            .collect();
        for node in forgotten {
            if let Some(member) = self.members.remove(&node) {
                self.tombstones.insert(node, member.machine.version());
            }
            self.revision += 1;
        }
        while self.tombstones.len() > MAX_TOMBSTONES {
            let oldest = self.tombstones.iter().min_by_key(|(_, version)| **version);
            let Some(node) = oldest.map(|(node, _)| node.clone()) else {
                break;
            };
            self.tombstones.remove(&node);
        }
        let mut known_fingerprints: BTreeSet<u32> = self
            .members
            .values()
            .map(|member| member.fingerprint)
            .collect();
        known_fingerprints.insert(self.own_fingerprint());
        self.config_reports
            .retain(|fingerprint| known_fingerprints.contains(&fingerprint));
    }
}

/// Varies a period by up to a quarter, so that processes started together do not act at the same
/// time.
pub(super) fn jittered(period: TimeSpan, rng: &mut impl Rng) -> TimeSpan {
    period.mul_f64(rng.random_range(0.75..1.25))
}
