//! Connections of the exchange: opened on demand, closed when idle.

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

/// The time within which a connection must be open: a path that is cut drops packets in silence.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The time without messages after which a connection is closed. A link that went silent for good
/// is given up with it; what was asked for on it is asked for elsewhere before.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The most messages that wait for a connection to open.
const MAX_QUEUED_MESSAGES: usize = 64;

/// The most connections that are open at a time: some dozen are in use at any moment, and each holds
/// buffers here and at the peer.
const MAX_LINKS: usize = 64;

/// A `LinkEvent` is what a connection tells the task that drives the exchange.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// A peer connected; messages to it go over its connection.
    Accepted {
        peer: NodeId,
        queue: mpsc::Sender<PeerMessage>,
    },
    /// A message came.
    Received {
        peer: NodeId,
        message: ExchangeMessage,
    },
}

/// An `ExchangeLinks` holds the connections by peer.
#[derive(Debug)]
pub(crate) struct ExchangeLinks {
    hello: Hello,
    links: BTreeMap<NodeId, OpenLink>,
    /// Counts the messages, so that the link that was used longest ago is known.
    use_count: u64,
    events: mpsc::Sender<LinkEvent>,
}

/// An `OpenLink` is a connection as the exchange sees it; dropping it closes it once it is empty.
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

    /// Sends a message over the peer's connection, or opens one where the address is known. A
    /// message that finds no room is dropped: the exchange asks again.
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

    /// Takes the connection that a peer opened.
    pub(crate) fn add_accepted(&mut self, peer: NodeId, queue: mpsc::Sender<PeerMessage>) {
        self.insert_link(peer, queue);
    }

    /// Notes that a peer's connection is in use.
    pub(crate) fn touch(&mut self, peer: &NodeId) {
        self.use_count += 1;
        if let Some(link) = self.links.get_mut(peer) {
            link.last_use = self.use_count;
        }
    }

    /// Keeps a connection; where there are too many, the one that was used longest ago is closed.
    ///
    /// Guards against a group larger than the number of links: a message that found no room was lost, an
    /// answer to whoever had connected included, and each had to be asked for elsewhere a second
    /// later.
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

    /// Serves a connection that came in.
    pub(crate) fn accept(&self, stream: TcpStream) {
        tokio::spawn(accept_link(stream, self.events.clone()));
    }
}

/// A `PeerLink` is one connection's end towards the exchange.
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
    let opened = LinkEvent::Accepted {
        peer: peer.clone(),
        queue,
    };
    if events.send(opened).await.is_ok() {
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

    /// Passes a message on; returns false where the connection is to be closed.
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
