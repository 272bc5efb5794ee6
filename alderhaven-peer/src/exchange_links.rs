//! TCP connections of the exchange, opened on demand and closed when idle.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use alderhaven_core::ids::NodeId;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_intake::connection_limit::ConnectionLimit;
use alderhaven_intake::connection_slot::ConnectionSlot;
use alderhaven_policy::exchange::exchange_message::ExchangeMessage;
use alderhaven_policy::link_liveness::{LinkLiveness, LinkState, LivenessOptions};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time;

use crate::connection::{self, FrameReader, FrameSender};
use crate::frames::{Hello, PROTOCOL_VERSION, PeerMessage, PingProbe};

/// Time limit for opening a connection and for the first message on an accepted one; a broken path
/// may drop packets silently.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limits of a connection. The reply of a peer that is only busy comes earlier; if it does not,
/// a new connection costs little.
const LIVENESS: LivenessOptions = LivenessOptions {
    reply_timeout: TimeSpan::from_millis(600),
    idle_timeout: TimeSpan::from_secs(10),
};

/// Capacity of a connection's queue of outgoing messages.
const MAX_QUEUED_MESSAGES: usize = 64;

/// Limit on open connections, each of which holds buffers at both ends.
const MAX_LINKS: usize = 64;

/// Limit of accepted connections, most of which have yet to say whose they are.
const MAX_ACCEPTED: usize = 128;

/// Events that connections send to the task that drives the exchange.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// A peer connected; messages to it go through this queue.
    Accepted {
        peer: NodeId,
        queue: mpsc::Sender<PeerMessage>,
        heard_at: HeardTime,
    },
    /// An exchange message was received.
    Received {
        peer: NodeId,
        message: ExchangeMessage,
    },
    /// A peer did not reply in time; what was sent to it since then is lost.
    Silent { peer: NodeId, since: TimePoint },
}

/// Open connections by peer.
#[derive(Debug)]
pub(crate) struct ExchangeLinks {
    hello: Hello,
    links: BTreeMap<NodeId, OpenLink>,
    /// Counter of uses, by which the least recently used connection is found.
    use_count: u64,
    events: mpsc::Sender<LinkEvent>,
    clock: ProcessClock,
    /// The accepted connections.
    accepted: Arc<ConnectionLimit>,
}

/// Outgoing queue of a connection. Dropping it closes the connection once queued messages are sent.
#[derive(Debug)]
struct OpenLink {
    queue: mpsc::Sender<PeerMessage>,
    last_use: u64,
    heard_at: HeardTime,
}

/// When a connection was opened or last received a message, in microseconds of the process clock.
/// Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct HeardTime {
    micros: Arc<AtomicU64>,
}

impl HeardTime {
    fn new(now: TimePoint) -> Self {
        Self {
            micros: Arc::new(AtomicU64::new(now.as_micros())),
        }
    }

    fn set(&self, now: TimePoint) {
        self.micros.store(now.as_micros(), Ordering::Relaxed);
    }

    fn get(&self) -> TimePoint {
        TimePoint::from_micros(self.micros.load(Ordering::Relaxed))
    }
}

impl ExchangeLinks {
    pub(crate) fn new(hello: Hello, events: mpsc::Sender<LinkEvent>, clock: ProcessClock) -> Self {
        Self {
            hello,
            links: BTreeMap::new(),
            use_count: 0,
            events,
            clock,
            accepted: ConnectionLimit::new(MAX_ACCEPTED, clock),
        }
    }

    /// Sends a message over the peer's connection, or opens one if the address is known. A message
    /// that can't be queued is dropped; the exchange retries.
    pub(crate) fn send(&mut self, peer: NodeId, address: Option<SocketAddr>, message: PeerMessage) {
        self.links.retain(|_, link| !link.queue.is_closed());
        self.touch(&peer);
        if let Some(link) = self.links.get(&peer) {
            let _is_queued = link.queue.try_send(message).is_ok();
            return;
        }
        let Some(address) = address else {
            return;
        };
        let (queue, outgoing) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let _is_queued = queue.try_send(message).is_ok();
        let heard_at = HeardTime::new(self.clock.now());
        let link = LinkTask {
            peer: peer.clone(),
            outgoing,
            events: self.events.clone(),
            clock: self.clock,
            heard_at: heard_at.clone(),
        };
        self.insert_link(peer, queue, heard_at);
        tokio::spawn(open_link(address, self.hello.clone(), link));
    }

    /// Adds a connection that was opened by the peer.
    pub(crate) fn add_accepted(
        &mut self,
        peer: NodeId,
        queue: mpsc::Sender<PeerMessage>,
        heard_at: HeardTime,
    ) {
        self.insert_link(peer, queue, heard_at);
    }

    /// Closes the connections on which nothing was received since `since`. A network failure silences
    /// many connections at the same time, and each of them would lose messages before it is noticed.
    pub(crate) fn close_unheard(&mut self, since: TimePoint) {
        self.links.retain(|_, link| link.heard_at.get() > since);
    }

    /// Marks the peer's connection as used.
    pub(crate) fn touch(&mut self, peer: &NodeId) {
        self.use_count += 1;
        if let Some(link) = self.links.get_mut(peer) {
            link.last_use = self.use_count;
        }
    }

    /// Adds a connection; at the limit, closes the least recently used one. Refusing the new one
    /// instead would lose its messages, including replies to a peer that has just connected.
    fn insert_link(&mut self, peer: NodeId, queue: mpsc::Sender<PeerMessage>, heard_at: HeardTime) {
        if self.links.len() >= MAX_LINKS && !self.links.contains_key(&peer) {
            let oldest = self.links.iter().min_by_key(|(_, link)| link.last_use);
            if let Some(oldest) = oldest.map(|(peer, _)| peer.clone()) {
                self.links.remove(&oldest);
            }
        }
        self.use_count += 1;
        let last_use = self.use_count;
        let link = OpenLink {
            queue,
            last_use,
            heard_at,
        };
        self.links.insert(peer, link);
    }

    /// Spawns the task that serves an accepted connection.
    pub(crate) fn accept(&self, stream: TcpStream) {
        // Links that are in use belong to peers, and their number has a limit of its own.
        let Some(slot) = self.accepted.admit() else {
            return;
        };
        let (events, clock) = (self.events.clone(), self.clock);
        tokio::spawn(async move {
            tokio::select! {
                () = accept_link(stream, &slot, events, clock) => {}
                () = slot.closed() => {}
            }
        });
    }
}

/// Task that forwards messages between one connection and the exchange.
struct LinkTask {
    peer: NodeId,
    outgoing: mpsc::Receiver<PeerMessage>,
    events: mpsc::Sender<LinkEvent>,
    clock: ProcessClock,
    heard_at: HeardTime,
}

async fn open_link(address: SocketAddr, hello: Hello, link: LinkTask) {
    let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let Ok(Ok(stream)) = connecting.await else {
        return;
    };
    let Ok((sender, reader)) = connection::split(stream) else {
        return;
    };
    if sender.send(PeerMessage::Hello(hello)).is_ok() {
        link.run(&sender, reader).await;
    }
}

async fn accept_link(
    stream: TcpStream,
    slot: &ConnectionSlot,
    events: mpsc::Sender<LinkEvent>,
    clock: ProcessClock,
) {
    let Ok((sender, mut reader)) = connection::split(stream) else {
        return;
    };
    let first = time::timeout(CONNECT_TIMEOUT, connection::next_message(&mut reader));
    let Ok(Some(PeerMessage::Hello(hello))) = first.await else {
        return;
    };
    let Ok(peer) = hello.node.parse::<NodeId>() else {
        return;
    };
    if hello.protocol != PROTOCOL_VERSION {
        return;
    }
    let (queue, outgoing) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let heard_at = HeardTime::new(clock.now());
    let accepted = LinkEvent::Accepted {
        peer: peer.clone(),
        queue,
        heard_at: heard_at.clone(),
    };
    let _in_use = slot.begin_run();
    if events.send(accepted).await.is_ok() {
        let link = LinkTask {
            peer,
            outgoing,
            events,
            clock,
            heard_at,
        };
        link.run(&sender, reader).await;
    }
}

impl LinkTask {
    async fn run(mut self, sender: &FrameSender, mut reader: FrameReader) {
        let mut liveness = LinkLiveness::new(LIVENESS, self.clock.now());
        loop {
            let check_at = time::Instant::from_std(self.clock.instant(liveness.next_check()));
            let is_open = tokio::select! {
                message = self.outgoing.recv() => match message {
                    Some(message) => self.send(message, sender, &mut liveness),
                    None => false,
                },
                message = connection::next_message(&mut reader) => {
                    let now = self.clock.now();
                    liveness.record_received(now);
                    self.heard_at.set(now);
                    self.handle_message(message, sender).await
                }
                () = time::sleep_until(check_at) => self.is_usable(&liveness).await,
            };
            if !is_open {
                return;
            }
        }
    }

    /// Sends a message, and asks for a reply if it has none of its own; returns false if the connection
    /// is closed.
    fn send(
        &self,
        message: PeerMessage,
        sender: &FrameSender,
        liveness: &mut LinkLiveness,
    ) -> bool {
        let expects_reply =
            matches!(&message, PeerMessage::Exchange(frame) if frame.expects_reply());
        if sender.send(message).is_err() {
            return false;
        }
        let needs_reply = liveness.record_sent(self.clock.now());
        expects_reply
            || !needs_reply
            || sender.send(PeerMessage::Ping(PingProbe::default())).is_ok()
    }

    /// Returns false if the connection is idle or silent; a silent one is reported.
    async fn is_usable(&self, liveness: &LinkLiveness) -> bool {
        match liveness.state(self.clock.now()) {
            LinkState::Usable => true,
            LinkState::Idle => false,
            LinkState::Silent(since) => {
                let peer = self.peer.clone();
                // The receiver is gone only if the process ends.
                let _is_sent = self.events.send(LinkEvent::Silent { peer, since }).await;
                false
            }
        }
    }

    /// Handles a received message; returns false if the connection must be closed.
    async fn handle_message(&self, message: Option<PeerMessage>, sender: &FrameSender) -> bool {
        let frame = match message {
            Some(PeerMessage::Exchange(frame)) => frame,
            Some(PeerMessage::Ping(ping)) => return sender.send(PeerMessage::Pong(ping)).is_ok(),
            other => return other.is_some(),
        };
        let Ok(message) = ExchangeMessage::try_from(frame) else {
            return false;
        };
        let peer = self.peer.clone();
        let received = LinkEvent::Received { peer, message };
        self.events.send(received).await.is_ok()
    }
}
