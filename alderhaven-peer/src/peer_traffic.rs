//! What a process sends to its peers, by kind of message and by whether it leaves the failure domain.

use std::fmt;

use alderhaven_policy::exchange::exchange_message::ExchangeMessage;
use alderhaven_policy::membership::gossip_message::GossipBody;
use serde::Serialize;

/// A `MessageKind` is what a message to a peer is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MessageKind {
    /// A probe of a member, a request for one, or the answer.
    Probe,
    /// News of members.
    #[serde(rename = "news")]
    Updates,
    /// A comparison of views of the members.
    Sync,
    /// An announcement of new versions of objects.
    Announcement,
    /// A comparison of versions of objects.
    Comparison,
    /// A request for objects.
    Fetch,
    /// Objects themselves.
    Objects,
}

impl MessageKind {
    /// All kinds.
    pub const ALL: [Self; 7] = [
        Self::Probe,
        Self::Updates,
        Self::Sync,
        Self::Announcement,
        Self::Comparison,
        Self::Fetch,
        Self::Objects,
    ];

    /// Gets the kind of a datagram.
    #[must_use]
    pub const fn of_gossip(body: &GossipBody) -> Self {
        match body {
            GossipBody::Updates => Self::Updates,
            GossipBody::Ping { .. } | GossipBody::PingRequest { .. } | GossipBody::Ack { .. } => {
                Self::Probe
            }
            GossipBody::SyncRequest { .. } | GossipBody::SyncReply { .. } => Self::Sync,
        }
    }

    /// Gets the kind of a message of the exchange.
    #[must_use]
    pub const fn of_exchange(message: &ExchangeMessage) -> Self {
        match message {
            ExchangeMessage::Announce { .. } => Self::Announcement,
            ExchangeMessage::Compare { .. } | ExchangeMessage::Stamps { .. } => Self::Comparison,
            ExchangeMessage::Fetch { .. } => Self::Fetch,
            ExchangeMessage::Objects { .. } => Self::Objects,
        }
    }
}

impl fmt::Display for MessageKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Probe => "probe",
            Self::Updates => "news",
            Self::Sync => "sync",
            Self::Announcement => "announcement",
            Self::Comparison => "comparison",
            Self::Fetch => "fetch",
            Self::Objects => "objects",
        })
    }
}

/// A `KindCount` counts the messages of one kind that were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SentTraffic {
    /// The messages.
    pub messages: u64,
    /// Their bytes, without what the network adds, to peers in the process's own failure domain.
    #[serde(rename = "near_bytes")]
    pub own_domain_bytes: u64,
    /// The same to peers elsewhere.
    #[serde(rename = "far_bytes")]
    pub cross_domain_bytes: u64,
}

/// A `PeerTraffic` counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PeerTraffic {
    /// The datagrams received.
    pub datagrams_received: u64,
    /// The bytes of the datagrams received.
    pub bytes_received: u64,
    /// The datagrams that could not be read.
    #[serde(rename = "malformed")]
    pub malformed_datagrams: u64,
    /// The exchange's messages received.
    #[serde(rename = "exchange_received")]
    pub exchange_messages_received: u64,
    /// What was sent, in the order of [`MessageKind::ALL`].
    pub sent: [SentTraffic; MessageKind::ALL.len()],
}

impl PeerTraffic {
    /// Counts a message that was sent.
    pub const fn record_sent(&mut self, kind: MessageKind, bytes: usize, is_own_domain: bool) {
        let count = &mut self.sent[kind as usize];
        count.messages += 1;
        if is_own_domain {
            count.own_domain_bytes += bytes as u64;
        } else {
            count.cross_domain_bytes += bytes as u64;
        }
    }

    /// Gets what was sent of a kind.
    #[must_use]
    pub const fn sent_traffic(&self, kind: MessageKind) -> SentTraffic {
        self.sent[kind as usize]
    }
}
