//! In-memory network of memberships with simulated time. Messages can be lost, duplicated, delayed
//! and reordered.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use alderhaven_core::ids::{IncarnationNumber, NodeId};
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::membership::gossip_message::{
    GossipBody, GossipMessage, MemberUpdate, OutgoingMessage,
};
use alderhaven_policy::membership::group_membership::GroupMembership;
use alderhaven_policy::membership::member_record::{
    MemberRecord, MemberRole, MemberState, MemberVersion,
};
use alderhaven_policy::membership::membership_options::MembershipOptions;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Time between two ticks of each process; the resolution of the simulation.
const TICK_PERIOD: TimeSpan = TimeSpan::from_millis(50);

/// Maximum number of messages queued for a paused process; as with a socket buffer, further ones
/// are dropped.
const MAX_QUEUED_PACKETS: usize = 200;

/// Runs several memberships and delivers their messages.
pub struct GossipNetwork {
    /// Processes by index.
    pub nodes: Vec<FakeProcess>,
    /// Simulated time.
    pub now: TimePoint,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is duplicated.
    pub duplicates: f64,
    /// Longest delay of a message.
    pub max_delay: TimeSpan,
    /// Two processes that can't reach each other.
    pub cut_link: Option<(usize, usize)>,
    /// Whether messages to a paused process are queued; otherwise they are lost.
    pub keeps_messages_while_paused: bool,
    options: MembershipOptions,
    rng: StdRng,
    packets: BTreeMap<(TimePoint, u64), Packet>,
    /// Number of messages sent.
    pub sent: u64,
    /// Number of member updates sent between failure domains, state syncs excluded.
    pub cross_domain_updates: usize,
    domain_count: usize,
    packet_count: u64,
    start_count: u64,
}

/// A process that may be stopped, paused or restarted.
pub struct FakeProcess {
    /// `None` while the process does not run.
    pub membership: Option<GroupMembership>,
    /// Whether the process is paused: it neither ticks nor receives.
    pub is_paused: bool,
    /// Side of a network split that the process is on.
    pub side: u8,
    queued_packets: Vec<Packet>,
}

struct Packet {
    from: usize,
    to: usize,
    message: GossipMessage,
}

/// Returns the node id of a process.
pub fn node_id(index: usize) -> NodeId {
    format!("node-{index}").parse().expect("the id is valid")
}

/// Returns the gossip address of a process.
pub fn address(index: usize) -> SocketAddr {
    let index = u16::try_from(index).expect("a process index fits into a port number");
    SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + index))
}

impl GossipNetwork {
    /// Starts `count` processes that join through the first two.
    pub fn start(count: usize, seed: u64) -> Self {
        let options = MembershipOptions {
            seeds: vec![address(0), address(1)],
            ..MembershipOptions::default()
        };
        Self::start_with(count, seed, options)
    }

    /// Starts `count` processes with the given settings.
    pub fn start_with(count: usize, seed: u64, options: MembershipOptions) -> Self {
        Self::empty(seed, options).with_processes(count)
    }

    /// Starts `count` processes, assigned to failure domains in rotation.
    pub fn start_in_domains(count: usize, domains: usize, seed: u64) -> Self {
        let options = MembershipOptions {
            seeds: vec![address(0), address(1)],
            ..MembershipOptions::default()
        };
        let network = Self {
            domain_count: domains,
            ..Self::empty(seed, options)
        };
        network.with_processes(count)
    }

    fn empty(seed: u64, options: MembershipOptions) -> Self {
        Self {
            domain_count: 3,
            cross_domain_updates: 0,
            options,
            nodes: Vec::new(),
            now: TimePoint::from_micros(1_000_000),
            loss: 0.0,
            duplicates: 0.0,
            max_delay: TimeSpan::from_millis(3),
            cut_link: None,
            keeps_messages_while_paused: true,
            rng: StdRng::seed_from_u64(seed),
            packets: BTreeMap::new(),
            sent: 0,
            packet_count: 0,
            start_count: 0,
        }
    }

    fn with_processes(mut self, count: usize) -> Self {
        for index in 0..count {
            self.nodes.push(FakeProcess {
                membership: None,
                is_paused: false,
                side: 0,
                queued_packets: Vec::new(),
            });
            self.restart(index);
        }
        self
    }

    /// Restarts a process without state, with a higher incarnation.
    pub fn restart(&mut self, index: usize) {
        self.start_count += 1;
        self.restart_with_incarnation(index, 1_000 + self.start_count);
    }

    /// Restarts a process without state, with the given incarnation.
    pub fn restart_with_incarnation(&mut self, index: usize, incarnation: u64) {
        let record = MemberRecord::builder()
            .node(node_id(index))
            .role(MemberRole::Entry)
            .host(format!("host-{index}").parse().expect("the id is valid"))
            .domain(
                format!("domain-{}", index % self.domain_count)
                    .parse()
                    .expect("the id is valid"),
            )
            .gossip_address(address(index))
            .build();
        let version = MemberVersion {
            incarnation: IncarnationNumber(incarnation),
            refutation: 0,
        };
        let options = self.options.clone();
        let node = &mut self.nodes[index];
        node.membership = Some(GroupMembership::new(record, version, options));
        node.is_paused = false;
    }

    /// Stops a process without notice.
    pub fn crash(&mut self, index: usize) {
        self.nodes[index].membership = None;
    }

    /// Lets a process announce that it leaves.
    pub fn leave(&mut self, index: usize) {
        if let Some(membership) = &mut self.nodes[index].membership {
            let outgoing = membership.announce_leaving(self.now, &mut self.rng);
            self.send(index, outgoing);
        }
    }

    /// Returns a message in which a process reports a member that it knows.
    pub fn message_about(&mut self, index: usize, member: usize) -> GossipMessage {
        let membership = self.nodes[index]
            .membership
            .as_mut()
            .expect("the process is running");
        let view = membership
            .members()
            .into_iter()
            .find(|view| view.record.node == node_id(member))
            .expect("the process knows the member");
        let mut outgoing = membership.announce_leaving(self.now, &mut self.rng);
        let mut message = outgoing
            .pop()
            .expect("the process has other members to notify")
            .message;
        message.updates = vec![MemberUpdate {
            node: view.record.node.clone(),
            state: view.state,
            version: view.version,
            record: Some(MemberRecord::clone(&view.record)),
        }];
        message
    }

    /// Delivers a message to a process; returns its replies without sending them.
    pub fn receive(
        &mut self,
        to: usize,
        from: usize,
        message: GossipMessage,
    ) -> Vec<OutgoingMessage> {
        let membership = self.nodes[to]
            .membership
            .as_mut()
            .expect("the process is running");
        membership.receive(address(from), message, self.now, &mut self.rng)
    }

    /// Advances the simulated time.
    pub fn run(&mut self, span: TimeSpan) {
        self.run_until(span, |_| false);
    }

    /// Advances the simulated time until a condition holds, at most for `span`; returns the
    /// elapsed time.
    pub fn run_until(
        &mut self,
        span: TimeSpan,
        is_done: impl Fn(&Self) -> bool,
    ) -> Option<TimeSpan> {
        let start = self.now;
        while self.now.since(start) < span {
            if is_done(self) {
                return Some(self.now.since(start));
            }
            self.step();
        }
        is_done(self).then(|| self.now.since(start))
    }

    /// Returns the state of a member as one process sees it; `None` if it does not know the
    /// member.
    pub fn observed_state(&self, observer: usize, member: usize) -> Option<MemberState> {
        let membership = self.nodes[observer].membership.as_ref()?;
        membership.state_of(&node_id(member))
    }

    /// Returns true if every running process observes the member in one of the states.
    pub fn all_observe(&self, member: usize, states: &[Option<MemberState>]) -> bool {
        (0..self.nodes.len())
            .filter(|observer| self.nodes[*observer].membership.is_some())
            .all(|observer| states.contains(&self.observed_state(observer, member)))
    }

    /// Returns true if any running process would send work to the member.
    pub fn is_offered_work(&self, member: usize) -> bool {
        (0..self.nodes.len()).any(|observer| {
            self.observed_state(observer, member)
                .is_some_and(MemberState::takes_work)
        })
    }

    /// Returns true if every running process observes the actual state of every other one.
    pub fn all_views_correct(&self) -> bool {
        (0..self.nodes.len()).all(|member| match &self.nodes[member].membership {
            Some(membership) => self.all_observe(member, &[Some(membership.own_state())]),
            None => self.all_observe(member, &[Some(MemberState::Dead), None]),
        })
    }

    fn step(&mut self) {
        let end = self.now + TICK_PERIOD;
        while let Some((&(at, number), _)) = self.packets.first_key_value() {
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            if let Some(packet) = self.packets.remove(&(at, number)) {
                self.deliver(packet);
            }
        }
        self.now = end;
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if node.is_paused {
                continue;
            }
            if let Some(membership) = &mut node.membership {
                let outgoing = membership.tick(end, &mut self.rng);
                self.send(index, outgoing);
            }
            // A process that resumes may tick before it reads its queued messages.
            for packet in std::mem::take(&mut self.nodes[index].queued_packets) {
                self.deliver(packet);
            }
        }
    }

    fn deliver(&mut self, packet: Packet) {
        let node = &mut self.nodes[packet.to];
        if node.is_paused {
            if self.keeps_messages_while_paused && node.queued_packets.len() < MAX_QUEUED_PACKETS {
                node.queued_packets.push(packet);
            }
            return;
        }
        let Some(membership) = &mut node.membership else {
            return;
        };
        let (from, to) = (address(packet.from), packet.to);
        let outgoing = membership.receive(from, packet.message, self.now, &mut self.rng);
        self.send(to, outgoing);
    }

    fn send(&mut self, from: usize, outgoing: Vec<OutgoingMessage>) {
        self.sent += outgoing.len() as u64;
        for OutgoingMessage { to, message } in outgoing {
            let to = usize::from(to.port() - 10_000);
            let is_sync = matches!(message.body, GossipBody::SyncReply { .. });
            if to % self.domain_count != from % self.domain_count && !is_sync {
                self.cross_domain_updates += message.updates.len();
            }
            let is_cut = self
                .nodes
                .get(to)
                .is_none_or(|receiver| receiver.side != self.nodes[from].side)
                || self.cut_link == Some((from, to))
                || self.cut_link == Some((to, from));
            if is_cut || self.rng.random_bool(self.loss) {
                continue;
            }
            let copies = 1 + usize::from(self.rng.random_bool(self.duplicates));
            for _ in 0..copies {
                let delay =
                    TimeSpan::from_micros(self.rng.random_range(200..=self.max_delay.as_micros()));
                self.packet_count += 1;
                let packet = Packet {
                    from,
                    to,
                    message: message.clone(),
                };
                self.packets
                    .insert((self.now + delay, self.packet_count), packet);
            }
        }
    }
}
