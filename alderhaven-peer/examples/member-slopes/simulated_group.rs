//! Simulation of a group on a virtual clock, with encoded messages.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::{IncarnationNumber, NodeId};
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_peer::exchange_messages::ExchangeFrame;
use alderhaven_peer::gossip_messages;
use alderhaven_policy::config_registry::ConfigRegistry;
use alderhaven_policy::exchange::exchange_message::{ExchangeMessage, ExchangeOutput, ObjectStamp};
use alderhaven_policy::exchange::exchange_options::ExchangeOptions;
use alderhaven_policy::exchange::object_exchange::ObjectExchange;
use alderhaven_policy::exchange::peer_set::PeerSet;
use alderhaven_policy::membership::gossip_message::OutgoingMessage;
use alderhaven_policy::membership::group_membership::GroupMembership;
use alderhaven_policy::membership::member_record::{
    CpuCapacity, MemberRecord, MemberRole, MemberState, MemberVersion,
};
use alderhaven_policy::membership::membership_options::MembershipOptions;
use prost::Message;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::group_costs::{EventCosts, GroupCosts, GroupEvents, PhaseCosts};
use crate::process_usage;

/// Interval between two ticks of a member.
const TICK_INTERVAL: TimeSpan = TimeSpan::from_millis(50);
/// Duration of the measurement without events.
const IDLE_DURATION: TimeSpan = TimeSpan::from_secs(30);
/// Time after which the costs of an event are taken as complete.
const EVENT_DURATION: TimeSpan = TimeSpan::from_secs(15);
/// Members that start in one tick interval.
const STARTS_PER_TICK: usize = 4;
/// Duration of the network partition.
const PARTITION_DURATION: TimeSpan = TimeSpan::from_secs(60);
/// Range of delays within a region, and the additional delay between the two regions.
const REGION_DELAY_RANGE_US: std::ops::Range<u64> = 200..1_500;
const CROSS_REGION_DELAY_US: u64 = 15_000;
/// Size of a datagram's IP and UDP headers.
const DATAGRAM_HEADER_BYTES: usize = 28;
/// Overhead of an exchange frame: its length prefix and the TCP and IP headers.
const FRAME_OVERHEAD_BYTES: usize = 56;
/// Number and size of the configuration objects.
const OBJECT_COUNT: usize = 300;
const OBJECT_BYTES: usize = 2_000;
/// Members that watch the store.
const WATCHER_COUNT: usize = 3;
/// Assumed events per day.
const CHANGES_PER_DAY: f64 = 3_100.0;
const RESTARTS_PER_DAY: f64 = 890.0;
const DEATHS_PER_DAY: f64 = 6.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// Simulated members and the messages in flight between them.
pub struct SimulatedGroup {
    processes: Vec<SimulatedProcess>,
    packets: BinaryHeap<Reverse<(TimePoint, u64, Packet)>>,
    now: TimePoint,
    rng: StdRng,
    traffic: Traffic,
    last_version: u64,
    is_partitioned: bool,
    /// CPU time of the simulation's own checks, which the members' CPU time excludes.
    check_cpu_s: f64,
}

struct SimulatedProcess {
    membership: GroupMembership,
    exchange: ObjectExchange,
    registry: ConfigRegistry,
    is_running: bool,
    /// Offset of the process's ticks within an interval, so that processes don't tick together.
    tick_offset: TimeSpan,
    peers: PeerSet,
    revision: u64,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Packet {
    from: usize,
    to: usize,
    content: PacketContent,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum PacketContent {
    Tick,
    Datagram(Vec<u8>),
    Frame(Vec<u8>),
}

/// Traffic sent and received by all members.
#[derive(Clone, Copy, Default)]
struct Traffic {
    datagrams: usize,
    bytes: usize,
}

/// Traffic and CPU time at the start of a measurement.
struct UsageMark {
    traffic: Traffic,
    cpu_s: f64,
}

fn node_id(index: usize) -> NodeId {
    format!("relay-{index:04}")
        .parse()
        .expect("the text is a valid id")
}

fn index_of(node: &NodeId) -> usize {
    node.as_str()["relay-".len()..]
        .parse()
        .expect("a node id ends with its index")
}

fn address(index: usize) -> SocketAddr {
    let port = 10_000 + u16::try_from(index).expect("the index fits a port number");
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

impl SimulatedProcess {
    fn start(index: usize, incarnation: u64, rng: &mut StdRng) -> Self {
        let record = MemberRecord {
            node: node_id(index),
            role: MemberRole::Relay,
            host: format!("host-{index:04}")
                .parse()
                .expect("the text is a valid id"),
            domain: format!("region-{}-domain-{}", index % 2, index % 7)
                .parse()
                .expect("the text is a valid id"),
            gossip_address: address(index),
            peer_address: Some(address(index)),
            caller_address: None,
            capacity: CpuCapacity::default(),
        };
        let version = MemberVersion {
            incarnation: IncarnationNumber(incarnation),
            refutation: 0,
        };
        let options = MembershipOptions {
            seeds: (0..4).map(address).collect(),
            ..MembershipOptions::default()
        };
        Self {
            membership: GroupMembership::new(record, version, options),
            exchange: ObjectExchange::new(ExchangeOptions::default()),
            registry: ConfigRegistry::default(),
            is_running: true,
            tick_offset: TimeSpan::from_micros(rng.random_range(0..TICK_INTERVAL.as_micros())),
            peers: PeerSet::default(),
            revision: 0,
        }
    }

    /// Updates the exchange's peers after a change of the members, as the driver does.
    fn refresh_peers(&mut self) {
        if self.revision == self.membership.revision() {
            return;
        }
        self.revision = self.membership.revision();
        self.peers = PeerSet::of_members(&self.membership.members());
    }
}

impl SimulatedGroup {
    /// Starts and measures a group of `members` members.
    pub fn measure(members: usize) -> GroupCosts {
        let memory_before = process_usage::resident_kb();
        let mut group = Self::start(members);
        let memory_kb = (process_usage::resident_kb() - memory_before) / members as f64;
        let idle = group.measure_idle();
        let events = Some(group.measure_events(&idle));
        GroupCosts {
            members,
            idle,
            memory_kb,
            events,
        }
    }

    fn measure_events(&mut self, idle: &PhaseCosts) -> GroupEvents {
        let (change, change_reported_s) = self.measure_change(idle);
        let dead = self.processes.len() - 1;
        self.processes[dead].is_running = false;
        let death = self.measure_event(idle, |group| group.all_see_state(dead, MemberState::Dead));
        self.restart(dead);
        self.run(EVENT_DURATION);
        let left = self.processes.len() - 2;
        self.leave(left);
        let leaving = self.measure_event(idle, |group| {
            group.all_see_state(left, MemberState::Leaving)
        });
        self.restart(left);
        let restart =
            self.measure_event(idle, |group| group.all_see_state(left, MemberState::Alive));
        let heal = self.measure_heal(idle);
        let over_a_day = |cost: fn(&EventCosts) -> f64| {
            let restarts = RESTARTS_PER_DAY * (cost(&leaving) + cost(&restart));
            (CHANGES_PER_DAY * cost(&change) + restarts + DEATHS_PER_DAY * cost(&death))
                / SECONDS_PER_DAY
        };
        GroupEvents {
            day_bytes_per_s: idle.bytes_per_s + over_a_day(|event| event.bytes),
            day_core_share: idle.core_share + over_a_day(|event| event.core_us / 1e6),
            change,
            change_reported_s,
            death,
            leaving,
            restart,
            heal,
        }
    }

    /// Starts the members in batches and runs until their views and configurations agree.
    fn start(members: usize) -> Self {
        let mut group = Self {
            processes: Vec::new(),
            packets: BinaryHeap::new(),
            now: TimePoint::from_micros(1_000_000),
            rng: StdRng::seed_from_u64(580),
            traffic: Traffic::default(),
            last_version: 0,
            is_partitioned: false,
            check_cpu_s: 0.0,
        };
        while group.processes.len() < members {
            for _ in 0..STARTS_PER_TICK.min(members - group.processes.len()) {
                let index = group.processes.len();
                let process = SimulatedProcess::start(index, 1, &mut group.rng);
                group.processes.push(process);
                group.schedule_tick(index);
            }
            group.run(TICK_INTERVAL);
        }
        group.publish(0..OBJECT_COUNT);
        let limit = TimeSpan::from_secs(300);
        let settled = group.run_until(limit, |group| {
            group.views_agree() && group.all_hold_config()
        });
        assert!(
            settled.is_some(),
            "the views or configurations of {members} members do not converge"
        );
        group.run(EVENT_DURATION);
        group
    }

    fn measure_idle(&mut self) -> PhaseCosts {
        let mark = self.usage_mark();
        self.run(IDLE_DURATION);
        let (traffic, cpu_s) = self.usage_since(&mark);
        let member_seconds = self.processes.len() as f64 * IDLE_DURATION.as_secs_f64();
        PhaseCosts {
            datagrams_per_s: traffic.datagrams as f64 / member_seconds,
            bytes_per_s: traffic.bytes as f64 / member_seconds,
            core_share: cpu_s / member_seconds,
        }
    }

    fn measure_change(&mut self, idle: &PhaseCosts) -> (EventCosts, f64) {
        let (mark, start) = (self.usage_mark(), self.now);
        self.publish(0..1);
        let known = self.run_until(EVENT_DURATION, Self::all_hold_config);
        self.run_until(EVENT_DURATION, Self::all_reports_current);
        let reported = self.now.since(start);
        self.run(EVENT_DURATION.saturating_sub(reported));
        (
            self.event_costs(&mark, start, known, idle),
            reported.as_secs_f64(),
        )
    }

    fn measure_event(&mut self, idle: &PhaseCosts, is_known: impl Fn(&Self) -> bool) -> EventCosts {
        let (mark, start) = (self.usage_mark(), self.now);
        let known = self.run_until(EVENT_DURATION, is_known);
        self.run(EVENT_DURATION.saturating_sub(self.now.since(start)));
        self.event_costs(&mark, start, known, idle)
    }

    fn measure_heal(&mut self, idle: &PhaseCosts) -> EventCosts {
        self.is_partitioned = true;
        self.run(PARTITION_DURATION);
        self.is_partitioned = false;
        let (mark, start) = (self.usage_mark(), self.now);
        let known = self.run_until(TimeSpan::from_secs(120), Self::views_agree);
        self.event_costs(&mark, start, known, idle)
    }

    fn event_costs(
        &self,
        mark: &UsageMark,
        start: TimePoint,
        known: Option<TimeSpan>,
        idle: &PhaseCosts,
    ) -> EventCosts {
        let (traffic, cpu_s) = self.usage_since(mark);
        let (seconds, members) = (
            self.now.since(start).as_secs_f64(),
            self.processes.len() as f64,
        );
        EventCosts {
            known_to_all_s: known.map_or(f64::INFINITY, TimeSpan::as_secs_f64),
            bytes: traffic.bytes as f64 / members - idle.bytes_per_s * seconds,
            core_us: (cpu_s / members - idle.core_share * seconds) * 1e6,
        }
    }

    fn usage_mark(&self) -> UsageMark {
        UsageMark {
            traffic: self.traffic,
            cpu_s: process_usage::cpu_seconds() - self.check_cpu_s,
        }
    }

    fn usage_since(&self, mark: &UsageMark) -> (Traffic, f64) {
        let traffic = Traffic {
            datagrams: self.traffic.datagrams - mark.traffic.datagrams,
            bytes: self.traffic.bytes - mark.traffic.bytes,
        };
        (
            traffic,
            process_usage::cpu_seconds() - self.check_cpu_s - mark.cpu_s,
        )
    }

    /// Publishes new versions of objects at the members that watch the store.
    fn publish(&mut self, indices: std::ops::Range<usize>) {
        let objects: Vec<StoredObject> = indices.map(|index| self.new_version(index)).collect();
        for watcher in 0..WATCHER_COUNT.min(self.processes.len()) {
            let process = &mut self.processes[watcher];
            process.exchange.mark_complete();
            for object in &objects {
                process.registry.accept(object.clone());
            }
            let stamps = objects.iter().map(ObjectStamp::from).collect();
            let output = process
                .exchange
                .announce_held(stamps, &process.peers, &mut self.rng);
            self.apply_output(watcher, output);
        }
    }

    fn new_version(&mut self, index: usize) -> StoredObject {
        self.last_version += 1;
        StoredObject {
            key: ObjectKey {
                kind: ObjectKind::Drain,
                name: format!("target-{index}"),
            },
            version: StoreVersion::of_revision(self.last_version),
            write_id: self.last_version.to_string(),
            body: Some("x".repeat(OBJECT_BYTES)),
        }
    }

    fn leave(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let outgoing = process.membership.announce_leaving(self.now, &mut self.rng);
        self.send(index, outgoing);
    }

    fn restart(&mut self, index: usize) {
        let was_running = self.processes[index].is_running;
        let incarnation = self.now.as_micros();
        self.processes[index] = SimulatedProcess::start(index, incarnation, &mut self.rng);
        if !was_running {
            self.schedule_tick(index);
        }
    }

    fn views_agree(&self) -> bool {
        let live: Vec<_> = self
            .processes
            .iter()
            .filter(|process| process.is_running)
            .collect();
        let views: BTreeSet<u64> = live
            .iter()
            .map(|process| process.membership.view_hash())
            .collect();
        views.len() == 1 && live[0].membership.members().len() >= live.len()
    }

    fn all_see_state(&self, member: usize, state: MemberState) -> bool {
        let node = node_id(member);
        let live = self.processes.iter().filter(|process| process.is_running);
        live.map(|process| process.membership.state_of(&node))
            .all(|seen_state| seen_state == Some(state))
    }

    fn all_hold_config(&self) -> bool {
        let newest = self.processes[0].exchange.digest();
        let live = self.processes.iter().filter(|process| process.is_running);
        live.map(|process| process.exchange.digest())
            .all(|digest| digest == newest)
    }

    fn all_reports_current(&self) -> bool {
        let newest = Some(self.processes[0].exchange.digest());
        self.processes
            .iter()
            .filter(|process| process.is_running)
            .all(|process| {
                let members = process.membership.members();
                let mut live = members
                    .iter()
                    .filter(|member| member.state != MemberState::Dead);
                live.all(|member| member.config == newest)
            })
    }

    fn run(&mut self, span: TimeSpan) {
        let _never = self.run_until(span, |_| false);
    }

    fn run_until(&mut self, span: TimeSpan, is_done: impl Fn(&Self) -> bool) -> Option<TimeSpan> {
        let start = self.now;
        while self.now.since(start) < span {
            let check_start_s = process_usage::cpu_seconds();
            let is_over = is_done(self);
            // Excluded from the members' CPU time.
            self.check_cpu_s += process_usage::cpu_seconds() - check_start_s;
            if is_over {
                return Some(self.now.since(start));
            }
            self.advance();
        }
        is_done(self).then(|| self.now.since(start))
    }

    fn advance(&mut self) {
        let end = self.now + TICK_INTERVAL;
        while let Some(Reverse((at, _, _))) = self.packets.peek() {
            if *at > end {
                break;
            }
            if let Some(Reverse((at, _, packet))) = self.packets.pop() {
                self.now = self.now.max(at);
                self.deliver(packet);
            }
        }
        self.now = end;
    }

    fn deliver(&mut self, packet: Packet) {
        let process = &mut self.processes[packet.to];
        if !process.is_running {
            return;
        }
        match packet.content {
            PacketContent::Tick => {
                self.tick(packet.to);
                self.schedule_tick(packet.to);
            }
            PacketContent::Datagram(bytes) => {
                self.traffic.datagrams += 1;
                self.traffic.bytes += bytes.len() + DATAGRAM_HEADER_BYTES;
                let message =
                    gossip_messages::decode(&bytes).expect("the simulation encoded the message");
                let sender = &message.sender;
                process.exchange.handle_digest(
                    &sender.node,
                    sender.config,
                    &process.peers,
                    self.now,
                    &mut self.rng,
                );
                let from = address(packet.from);
                let outgoing = process
                    .membership
                    .receive(from, message, self.now, &mut self.rng);
                process.refresh_peers();
                self.send(packet.to, outgoing);
            }
            PacketContent::Frame(bytes) => {
                self.traffic.bytes += bytes.len() + FRAME_OVERHEAD_BYTES;
                let frame = ExchangeFrame::decode(bytes.as_slice())
                    .expect("the simulation encoded the message");
                let message =
                    ExchangeMessage::try_from(frame).expect("the simulation encoded the message");
                let registry = &process.registry;
                let output = process.exchange.receive(
                    &node_id(packet.from),
                    message,
                    |key| registry.object(key).cloned(),
                    &process.peers,
                    self.now,
                    &mut self.rng,
                );
                self.apply_output(packet.to, output);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let process = &mut self.processes[index];
        process.membership.set_config(process.exchange.digest());
        let outgoing = process.membership.tick(self.now, &mut self.rng);
        process.refresh_peers();
        let output = process
            .exchange
            .tick(&process.peers, self.now, &mut self.rng);
        self.send(index, outgoing);
        self.apply_output(index, output);
    }

    fn schedule_tick(&mut self, index: usize) {
        let tick_offset = self.processes[index].tick_offset;
        let whole_ticks = self.now.as_micros() / TICK_INTERVAL.as_micros() + 1;
        let at = TimePoint::from_micros(whole_ticks * TICK_INTERVAL.as_micros()) + tick_offset;
        let packet = Packet {
            from: index,
            to: index,
            content: PacketContent::Tick,
        };
        self.packets.push(Reverse((at, 0, packet)));
    }

    fn apply_output(&mut self, index: usize, output: ExchangeOutput) {
        for object in output.accept {
            self.processes[index].registry.accept(object);
        }
        for (to, message) in output.send {
            let bytes = ExchangeFrame::from(message).encode_to_vec();
            self.traffic.bytes += bytes.len() + FRAME_OVERHEAD_BYTES;
            self.push(index, index_of(&to), PacketContent::Frame(bytes));
        }
    }

    fn send(&mut self, from: usize, outgoing: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, message } in outgoing {
            let bytes = gossip_messages::encode(message);
            self.traffic.datagrams += 1;
            self.traffic.bytes += bytes.len() + DATAGRAM_HEADER_BYTES;
            let to = usize::from(to.port() - 10_000);
            self.push(from, to, PacketContent::Datagram(bytes));
        }
    }

    fn push(&mut self, from: usize, to: usize, content: PacketContent) {
        let is_cross_region = from % 2 != to % 2;
        if to >= self.processes.len() || (is_cross_region && self.is_partitioned) {
            return;
        }
        let extra_us = if is_cross_region {
            CROSS_REGION_DELAY_US
        } else {
            0
        };
        let delay = TimeSpan::from_micros(self.rng.random_range(REGION_DELAY_RANGE_US) + extra_us);
        let order = self.rng.random();
        let packet = Packet { from, to, content };
        self.packets
            .push(Reverse((self.now + delay, order, packet)));
    }
}
