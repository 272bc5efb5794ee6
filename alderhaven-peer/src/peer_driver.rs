//! Event loop that runs membership and exchange over the network.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use alderhaven_core::ids::NodeId;
use alderhaven_core::logging;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::exchange::exchange_message::{ExchangeMessage, ExchangeOutput};
use alderhaven_policy::exchange::object_exchange::ObjectExchange;
use alderhaven_policy::exchange::peer_set::PeerSet;
use alderhaven_policy::membership::gossip_message::OutgoingMessage;
use alderhaven_policy::membership::group_membership::GroupMembership;
use alderhaven_policy::membership::member_record::MemberState;
use log::Level;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::{self, Instant};

use crate::exchange_links::{ExchangeLinks, LinkEvent};
use crate::frames::PeerMessage;
use crate::gossip_messages;
use crate::peer_handle::{PeerCommand, PeerSnapshot, SharedPeers};
use crate::peer_options::ConfigAccess;
use crate::peer_traffic::{MessageKind, PeerTraffic};

/// Log events of the driver.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum PeerEvent {
    /// A peer did not reply on its connection, which is closed.
    ExchangeSilent {
        /// The id of the peer.
        peer: String,
        /// The time since the first message without a reply.
        silent_for: TimeSpan,
    },
}

/// Interval between ticks while membership or exchange has pending work.
const ACTIVE_TICK_INTERVAL: TimeSpan = TimeSpan::from_millis(50);

/// Longest interval between ticks while idle. It stays below the gap that membership takes for a
/// pause of the process.
const MAX_IDLE_TICK_INTERVAL: TimeSpan = TimeSpan::from_millis(200);

/// Size of the receive buffer; every datagram of this protocol is smaller.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Shortest interval between snapshots after a change of the members. A snapshot copies the whole
/// view, so that changes of a burst are published together.
const MIN_PUBLISH_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

/// Shortest interval between snapshots that differ only in reports, loads and counters.
const MIN_REPORT_PUBLISH_INTERVAL: TimeSpan = TimeSpan::from_millis(500);

/// Owns the membership and exchange state of one process. Other tasks read published snapshots, so
/// the state needs no lock.
#[derive(bon::Builder)]
pub(crate) struct PeerDriver {
    membership: GroupMembership,
    exchange: ObjectExchange,
    links: ExchangeLinks,
    socket: UdpSocket,
    config: ConfigAccess,
    shared: Arc<SharedPeers>,
    clock: ProcessClock,
    #[builder(default = StdRng::from_rng(&mut rand::rng()))]
    rng: StdRng,
    #[builder(default)]
    traffic: PeerTraffic,
    /// Gossip addresses of the other live members; updated when the membership revision changes.
    #[builder(default)]
    peer_addresses: BTreeMap<NodeId, SocketAddr>,
    #[builder(default)]
    peers: PeerSet,
    /// Gossip addresses of the other live members in this process's failure domain.
    #[builder(default)]
    own_domain_addresses: BTreeSet<SocketAddr>,
    #[builder(default)]
    published_revision: u64,
    #[builder(default)]
    ticked_at: TimePoint,
    #[builder(default)]
    published_at: TimePoint,
}

impl PeerDriver {
    pub(crate) async fn run(
        mut self,
        listener: TcpListener,
        mut events: mpsc::Receiver<LinkEvent>,
        mut commands: mpsc::UnboundedReceiver<PeerCommand>,
    ) {
        let mut datagram = [0; MAX_DATAGRAM_BYTES];
        let mut changes = self.config.changes.clone();
        self.read_config().await;
        loop {
            tokio::select! {
                () = time::sleep_until(self.next_tick()) => self.tick().await,
                received = self.socket.recv_from(&mut datagram) => {
                    self.receive(received, &datagram).await;
                }
                Some(event) = events.recv() => self.handle_link_event(event).await,
                Ok((stream, _)) = listener.accept() => self.links.accept(stream),
                () = next_change(&mut changes) => self.read_config().await,
                command = commands.recv() => {
                    let Some(command) = command else {
                        return;
                    };
                    if self.handle_command(command).await {
                        return;
                    }
                }
            }
            self.publish();
        }
    }

    /// Returns when the next tick is due: after the active interval while work is pending;
    /// otherwise with the next probe, but no later than the idle interval.
    fn next_tick(&self) -> Instant {
        let is_idle = self.membership.is_idle() && self.exchange.is_idle();
        let due_at = if is_idle {
            let probe_at = self.membership.next_probe_at();
            probe_at.min(self.ticked_at + MAX_IDLE_TICK_INTERVAL)
        } else {
            self.ticked_at + ACTIVE_TICK_INTERVAL
        };
        Instant::from_std(self.clock.instant(due_at))
    }

    async fn tick(&mut self) {
        let now = self.clock.now();
        self.ticked_at = now;
        self.membership.set_config(self.exchange.digest());
        let outgoing = self.membership.tick(now, &mut self.rng);
        self.send_all(outgoing).await;
        let output = self.exchange.tick(&self.peers, now, &mut self.rng);
        self.apply_output(output);
    }

    async fn receive(&mut self, received: io::Result<(usize, SocketAddr)>, datagram: &[u8]) {
        // The socket reports here that an earlier datagram was rejected by its destination; the
        // probe's timeout handles that.
        let Ok((length, from)) = received else {
            return;
        };
        self.traffic.datagrams_received += 1;
        self.traffic.bytes_received += length as u64;
        let Ok(message) = gossip_messages::decode(&datagram[..length]) else {
            self.traffic.malformed_datagrams += 1;
            return;
        };
        let now = self.clock.now();
        let (node, config) = (&message.sender.node, message.sender.config);
        self.exchange
            .handle_digest(node, config, &self.peers, now, &mut self.rng);
        let outgoing = self.membership.receive(from, message, now, &mut self.rng);
        if let Some(answered_at) = self.membership.other_store_answered_at() {
            let answered_us = answered_at.as_micros();
            self.shared
                .other_store_answer_us
                .store(answered_us, Ordering::Relaxed);
        }
        self.send_all(outgoing).await;
    }

    async fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Accepted {
                peer,
                queue,
                heard_at,
            } => self.links.add_accepted(peer, queue, heard_at),
            LinkEvent::Received { peer, message } => {
                self.traffic.exchange_messages_received += 1;
                self.links.touch(&peer);
                self.handle_exchange_message(&peer, message);
            }
            LinkEvent::Silent { peer, since } => {
                self.traffic.silent_links += 1;
                logging::emit(
                    Level::Info,
                    &PeerEvent::ExchangeSilent {
                        peer: peer.to_string(),
                        silent_for: self.clock.now().since(since),
                    },
                );
                self.links.close_unheard(since);
                self.exchange.give_up_requests(&peer);
            }
        }
        // Yields so that a burst of link events doesn't delay datagrams.
        tokio::task::yield_now().await;
    }

    fn handle_exchange_message(&mut self, peer: &NodeId, message: ExchangeMessage) {
        let output = self.exchange.receive(
            peer,
            message,
            &self.config.look_up,
            &self.peers,
            self.clock.now(),
            &mut self.rng,
        );
        self.apply_output(output);
    }

    /// Announces the objects that this process holds to the exchange.
    async fn read_config(&mut self) {
        // Read before the stamps, which may lack the objects of a list that arrives in between.
        let is_fully_listed = (self.config.is_fully_listed)();
        let stamps = (self.config.stamps)();
        let output = self
            .exchange
            .announce_held(stamps, &self.peers, &mut self.rng);
        self.apply_output(output);
        if is_fully_listed {
            self.exchange.mark_complete();
        }
        tokio::task::yield_now().await;
    }

    fn apply_output(&mut self, output: ExchangeOutput) {
        if !output.accept.is_empty() {
            (self.config.accept)(output.accept);
        }
        for (peer, message) in output.send {
            let kind = MessageKind::of_exchange(&message);
            let message = PeerMessage::Exchange(message.into());
            let address = self.peer_addresses.get(&peer).copied();
            let is_own_domain =
                address.is_some_and(|address| self.own_domain_addresses.contains(&address));
            self.traffic
                .record_sent(kind, message.encoded_len(), is_own_domain);
            self.links.send(peer, address, message);
        }
    }

    async fn send_all(&mut self, outgoing: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, message } in outgoing {
            let kind = MessageKind::of_gossip(&message.body);
            let bytes = gossip_messages::encode(message);
            self.traffic
                .record_sent(kind, bytes.len(), self.own_domain_addresses.contains(&to));
            // A datagram that can't be sent counts as lost, which the protocol tolerates.
            let _is_sent = self.socket.send_to(&bytes, to).await.is_ok();
        }
    }

    /// Executes a command; returns true if the task must end.
    async fn handle_command(&mut self, command: PeerCommand) -> bool {
        let now = self.clock.now();
        match command {
            PeerCommand::SetLoad(load) => self.membership.set_load(load),
            PeerCommand::RecordStoreAnswer => self.membership.note_store_answer(now),
            PeerCommand::Leave(sender) => {
                let outgoing = self.membership.announce_leaving(now, &mut self.rng);
                self.send_all(outgoing).await;
                let _receiver_is_gone = sender.send(()).is_err();
            }
            PeerCommand::ShutDown(sender) => {
                let outgoing = self.membership.announce_gone(now, &mut self.rng);
                self.send_all(outgoing).await;
                // Ignores the publish interval: the task ends, so no later snapshot would follow.
                self.publish_now(now);
                let _receiver_is_gone = sender.send(()).is_err();
                return true;
            }
        }
        false
    }

    fn publish(&mut self) {
        let now = self.clock.now();
        let is_changed = self.published_revision != self.membership.revision()
            || self.exchange.has_compared() != self.shared.snapshot.load().has_compared;
        let interval = if is_changed {
            MIN_PUBLISH_INTERVAL
        } else {
            MIN_REPORT_PUBLISH_INTERVAL
        };
        if now.since(self.published_at) >= interval {
            self.publish_now(now);
        }
    }

    fn publish_now(&mut self, now: TimePoint) {
        let is_changed = self.published_revision != self.membership.revision();
        self.published_at = now;
        self.published_revision = self.membership.revision();
        let members = self.membership.members();
        if is_changed {
            let others = members.iter().skip(1);
            let live = others.filter(|member| member.state != MemberState::Dead);
            self.peer_addresses = live
                .map(|member| (member.record.node.clone(), member.record.gossip_address))
                .collect();
            self.peers = PeerSet::of_members(&members);
            let own_domain = self.peer_addresses.iter();
            let own_domain = own_domain.filter(|(node, _)| self.peers.is_in_own_domain(node));
            self.own_domain_addresses = own_domain.map(|(_, address)| *address).collect();
        }
        self.shared.snapshot.store(Arc::new(PeerSnapshot {
            members,
            is_joined: self.membership.is_joined(),
            is_superseded: self.membership.is_superseded(),
            is_complete: self.exchange.is_complete(),
            has_compared: self.exchange.has_compared(),
            config: self.exchange.digest(),
            missing_objects: self.exchange.missing_count(),
            traffic: self.traffic,
        }));
        self.shared
            .snapshot_changes
            .send_modify(|count| *count += 1);
    }
}

/// Waits for a configuration change; never returns once the sender has been dropped.
async fn next_change(changes: &mut watch::Receiver<u64>) {
    if changes.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
