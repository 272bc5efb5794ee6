//! Failure detection: one member is probed each period, directly and then through other members.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use alderhaven_core::ids::NodeId;
use alderhaven_core::time::TimePoint;
use rand::seq::SliceRandom;
use rand::{Rng, RngExt};

use crate::membership::gossip_message::{GossipBody, OutgoingMessage};
use crate::membership::group_membership::GroupMembership;
use crate::membership::member_machine::MemberEvent;
use crate::membership::member_record::MemberState;

/// Maximum number of concurrent probes on behalf of other members.
const MAX_FORWARDED_PROBES: usize = 1 << 10;

/// Order of probes and outstanding acknowledgements.
///
/// Members are probed in a random order that is shuffled after each round. Each member is probed
/// once a round, and processes do not probe in the same order.
#[derive(Debug, Default)]
pub(super) struct ProbeSchedule {
    probe_order: Vec<NodeId>,
    next_index: usize,
    period_ends_at: TimePoint,
    current: Option<CurrentProbe>,
    forwarded_probes: BTreeMap<u32, ForwardedProbe>,
    sequence: u32,
}

/// The probe of the current period, until it is acknowledged.
#[derive(Debug)]
struct CurrentProbe {
    node: NodeId,
    sequence: u32,
    sent_at: TimePoint,
    is_indirect: bool,
}

/// A probe on behalf of another member, until it is acknowledged or expires.
#[derive(Debug)]
struct ForwardedProbe {
    requester: SocketAddr,
    sequence: u32,
    expires_at: TimePoint,
}

impl ProbeSchedule {
    pub(super) const fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// Returns true if no acknowledgement is outstanding.
    pub(super) const fn is_idle(&self) -> bool {
        self.current.is_none()
    }

    /// Returns the time of the next probe.
    pub(super) const fn next_probe_at(&self) -> TimePoint {
        self.period_ends_at
    }

    /// Inserts a member at a random position in the rest of the current round.
    pub(super) fn add(&mut self, node: NodeId, rng: &mut impl Rng) {
        let index =
            rng.random_range(self.next_index.min(self.probe_order.len())..=self.probe_order.len());
        self.probe_order.insert(index, node);
    }

    /// Drops the current probe without a result; the next one is due immediately.
    pub(super) fn cancel_current(&mut self, now: TimePoint) {
        self.current = None;
        self.period_ends_at = now;
    }
}

impl GroupMembership {
    /// Requests indirect probes after `direct_timeout`, and at the end of a period suspects a
    /// member that did not answer and probes the next one.
    pub(super) fn probe(
        &mut self,
        now: TimePoint,
        rng: &mut impl Rng,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        self.request_indirect_probes(now, rng, outgoing);
        if now < self.probing.period_ends_at {
            return;
        }
        if let Some(probe) = self.probing.current.take() {
            self.fail_probe(&probe.node, now, outgoing);
        }
        self.probing
            .forwarded_probes
            .retain(|_, forwarded| forwarded.expires_at > now);
        // A first period of random length desynchronizes processes that started together.
        let is_first_period = self.probing.period_ends_at == TimePoint::START;
        let period = if is_first_period {
            self.options.probe_period.mul_f64(rng.random())
        } else {
            self.options.probe_period
        };
        self.probing.period_ends_at = now + period;
        if !is_first_period && let Some(node) = self.next_probe_target(rng) {
            self.begin_probe(node, now, outgoing);
        }
    }

    pub(super) fn ping(&mut self, address: SocketAddr, node: &NodeId) -> OutgoingMessage {
        let sequence = self.probing.next_sequence();
        self.ping_with(sequence, address, node)
    }

    /// Acknowledges a ping, if it is meant for this process.
    pub(super) fn handle_ping(
        &mut self,
        from: SocketAddr,
        sequence: u32,
        target: &NodeId,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        if *target == self.record.node && !self.is_superseded {
            outgoing.push(self.message_to(from, GossipBody::Ack { sequence }));
        }
    }

    /// Probes a target on behalf of the requester, unless too many such probes are running.
    pub(super) fn handle_ping_request(
        &mut self,
        requester: SocketAddr,
        sequence: u32,
        (target, address): (&NodeId, SocketAddr),
        now: TimePoint,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        if self.probing.forwarded_probes.len() >= MAX_FORWARDED_PROBES {
            return;
        }
        let own_sequence = self.probing.next_sequence();
        let forwarded = ForwardedProbe {
            requester,
            sequence,
            expires_at: now + self.options.probe_period,
        };
        self.probing
            .forwarded_probes
            .insert(own_sequence, forwarded);
        outgoing.push(self.ping_with(own_sequence, address, target));
    }

    pub(super) fn handle_ack(&mut self, sequence: u32, outgoing: &mut Vec<OutgoingMessage>) {
        let is_current = self
            .probing
            .current
            .as_ref()
            .is_some_and(|probe| probe.sequence == sequence);
        if is_current {
            self.probing.current = None;
        } else if let Some(forwarded) = self.probing.forwarded_probes.remove(&sequence) {
            let sequence = forwarded.sequence;
            outgoing.push(self.message_to(forwarded.requester, GossipBody::Ack { sequence }));
        }
    }

    fn ping_with(&mut self, sequence: u32, address: SocketAddr, node: &NodeId) -> OutgoingMessage {
        let body = GossipBody::Ping {
            sequence,
            target: node.clone(),
        };
        // A suspected or dead member is notified, so that its answer can refute the state.
        let required_update = self.members.get(node).filter(|member| {
            matches!(
                member.machine.state(),
                MemberState::Suspect | MemberState::Dead
            )
        });
        let required_update = required_update.map(|member| member.update(false));
        self.message_with_update(address, body, required_update)
    }

    /// Returns the next member in probe order that is not dead.
    fn next_probe_target(&mut self, rng: &mut impl Rng) -> Option<NodeId> {
        // One new round is enough: if it contains no live member, there is none.
        for _ in 0..2 {
            while let Some(node) = self.probing.probe_order.get(self.probing.next_index) {
                self.probing.next_index += 1;
                let is_live = self
                    .members
                    .get(node)
                    .is_some_and(|member| member.machine.state() != MemberState::Dead);
                if is_live {
                    return Some(node.clone());
                }
            }
            self.probing.probe_order = self.contacts.nodes().cloned().collect();
            self.probing.probe_order.shuffle(rng);
            self.probing.next_index = 0;
        }
        None
    }

    fn begin_probe(&mut self, node: NodeId, now: TimePoint, outgoing: &mut Vec<OutgoingMessage>) {
        let Some(member) = self.members.get(&node) else {
            return;
        };
        let address = member.record.gossip_address;
        let sequence = self.probing.next_sequence();
        outgoing.push(self.ping_with(sequence, address, &node));
        self.probing.current = Some(CurrentProbe {
            node,
            sequence,
            sent_at: now,
            is_indirect: false,
        });
    }

    /// Asks other members to probe the target, once it has not answered for `direct_timeout`.
    fn request_indirect_probes(
        &mut self,
        now: TimePoint,
        rng: &mut impl Rng,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        let direct_timeout = self.options.direct_timeout;
        let Some(probe) = &mut self.probing.current else {
            return;
        };
        if probe.is_indirect || now.since(probe.sent_at) < direct_timeout {
            return;
        }
        probe.is_indirect = true;
        let (target, sequence) = (probe.node.clone(), probe.sequence);
        let Some(member) = self.members.get(&target) else {
            return;
        };
        let address = member.record.gossip_address;
        let helpers =
            self.contacts
                .sample_uniform(self.options.indirect_probes, Some(&target), rng);
        for helper in helpers {
            let body = GossipBody::PingRequest {
                sequence,
                target: target.clone(),
                address,
            };
            outgoing.push(self.message_to(helper, body));
        }
    }

    fn fail_probe(&mut self, node: &NodeId, now: TimePoint, outgoing: &mut Vec<OutgoingMessage>) {
        if !self.apply_event(node, MemberEvent::ProbeFailed { now }, now) {
            return;
        }
        // The suspected member is notified immediately, so that it can refute in time.
        if let Some(member) = self.members.get(node) {
            let (address, required_update) = (member.record.gossip_address, member.update(false));
            outgoing.push(self.message_with_update(
                address,
                GossipBody::Updates,
                Some(required_update),
            ));
        }
    }
}
