//! TCP connections of the exchange, opened on demand and closed when idle.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use alderhaven_core::ids::NodeId;
use alderhaven_policy::exchange::exchange_message::ExchangeMessage;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time;

use crate::connection::{self, FrameReader, FrameSender};
use crate::frames::{Hello, PROTOCOL_VERSION, PeerMessage};

/// Time limit for opening a connection and for the first message on an accepted one; a broken path
/// may drop packets silently.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without messages after which a connection is closed, which also covers silently broken
/// ones. The exchange requests missing objects from other peers before that.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Capacity of a connection's queue of outgoing messages.
const MAX_QUEUED_MESSAGES: usize = 64;

/// Limit on open connections, each of which holds buffers at both ends.
const MAX_LINKS: usize = 64;

/// Events that connections send to the task that drives the exchange.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// A peer connected; messages to it go through this queue.
    Accepted {
        peer: NodeId,
        queue: mpsc::Sender<PeerMessage>,
    },
    /// An exchange message was received.
    Received {
        peer: NodeId,
        message: ExchangeMessage,
    },
}

/// Open connections by peer.
#[derive(Debug)]
pub(crate) struct ExchangeLinks {
    hello: Hello,
    links: BTreeMap<NodeId, OpenLink>,
    /// Counter of uses, by which the least recently used connection is found.
    use_count: u64,
    events: mpsc::Sender<LinkEvent>,
}

/// Outgoing queue of a connection. Dropping it closes the connection once queued messages are sent.
#[derive(Debug)]
struct OpenLink {
    queue: mpsc::Sender<PeerMessage>,
    last_use: u64,
}

impl ExchangeLinks {
    pub(crate) fn new(hello: Hello, events: mpsc::Sender<LinkEvent>) -> Self {
        Self {
            hello,
            links: BTreeMap::new(),
            use_count: 0,
            events,
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
        let link = LinkTask {
            peer: peer.clone(),
            outgoing,
            events: self.events.clone(),
        };
        self.insert_link(peer, queue);
        tokio::spawn(open_link(address, self.hello.clone(), link));
    }

    /// Adds a connection that was opened by the peer.
    pub(crate) fn add_accepted(&mut self, peer: NodeId, queue: mpsc::Sender<PeerMessage>) {
        self.insert_link(peer, queue);
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
    fn insert_link(&mut self, peer: NodeId, queue: mpsc::Sender<PeerMessage>) {
        if self.links.len() >= MAX_LINKS && !self.links.contains_key(&peer) {
            let oldest = self.links.iter().min_by_key(|(_, link)| link.last_use);
            if let Some(oldest) = oldest.map(|(peer, _)| peer.clone()) {
                self.links.remove(&oldest);
            }
        }
        self.use_count += 1;
        let last_use = self.use_count;
        self.links.insert(peer, OpenLink { queue, last_use });
    }

    /// Spawns the task that serves an accepted connection.
    pub(crate) fn accept(&self, stream: TcpStream) {
        tokio::spawn(accept_link(stream, self.events.clone()));
    }
}

/// Task that forwards messages between one connection and the exchange.
struct LinkTask {
    peer: NodeId,
    outgoing: mpsc::Receiver<PeerMessage>,
    events: mpsc::Sender<LinkEvent>,
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

async fn accept_link(stream: TcpStream, events: mpsc::Sender<LinkEvent>) {
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
    let accepted = LinkEvent::Accepted {
        peer: peer.clone(),
        queue,
    };
    if events.send(accepted).await.is_ok() {
        let link = LinkTask {
            peer,
            outgoing,
            events,
        };
        link.run(&sender, reader).await;
    }
}

impl LinkTask {
    async fn run(mut self, sender: &FrameSender, mut reader: FrameReader) {
        loop {
            let is_open = tokio::select! {
                message = self.outgoing.recv() => {
                    message.is_some_and(|message| sender.send(message).is_ok())
                }
                message = connection::next_message(&mut reader) => self.forward_message(message).await,
                () = time::sleep(IDLE_TIMEOUT) => false,
            };
            if !is_open {
                return;
            }
        }
    }

    /// Forwards a received message to the exchange; returns false if the connection must be closed.
    async fn forward_message(&self, message: Option<PeerMessage>) -> bool {
        let Some(PeerMessage::Exchange(frame)) = message else {
            return message.is_some();
        };
        let Ok(message) = ExchangeMessage::try_from(frame) else {
            return false;
        };
        let peer = self.peer.clone();
        let received = LinkEvent::Received { peer, message };
        self.events.send(received).await.is_ok()
    }
}
