//! Counters of the messages exchanged with peers, by message kind and by whether they leave the
//! failure domain.

use std::fmt;

use alderhaven_policy::exchange::exchange_message::ExchangeMessage;
use alderhaven_policy::membership::gossip_message::GossipBody;
use serde::Serialize;

/// Purpose of a message to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MessageKind {
    /// Ping, ping request or acknowledgement.
    Probe,
    /// Member updates without a probe or a sync.
    #[serde(rename = "news")]
    Updates,
    /// Comparison of membership views.
    Sync,
    /// Announcement of new object versions.
    Announcement,
    /// Comparison of object versions.
    Comparison,
    /// Request for objects.
    Fetch,
    /// Transfer of objects.
    Objects,
}

impl MessageKind {
    /// All kinds in the order of their discriminants.
    pub const ALL: [Self; 7] = [
        Self::Probe,
        Self::Updates,
        Self::Sync,
        Self::Announcement,
        Self::Comparison,
        Self::Fetch,
        Self::Objects,
    ];

    /// Returns the kind of a gossip datagram.
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

    /// Returns the kind of an exchange message.
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

/// Messages of one kind that were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SentTraffic {
    /// Number of messages.
    pub messages: u64,
    /// Bytes sent to peers in this process's failure domain, without transport headers.
    #[serde(rename = "near_bytes")]
    pub own_domain_bytes: u64,
    /// Bytes sent to peers in other failure domains, without transport headers.
    #[serde(rename = "far_bytes")]
    pub cross_domain_bytes: u64,
}

/// Traffic counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PeerTraffic {
    /// Number of datagrams received, including malformed ones.
    pub datagrams_received: u64,
    /// Bytes of the received datagrams, without transport headers.
    pub bytes_received: u64,
    /// Number of received datagrams that could not be decoded.
    #[serde(rename = "malformed")]
    pub malformed_datagrams: u64,
    /// Connections of the exchange that were closed because their peer did not reply.
    pub silent_links: u64,
    /// Number of exchange messages received.
    #[serde(rename = "exchange_received")]
    pub exchange_messages_received: u64,
    /// Traffic sent by kind, in the order of [`MessageKind::ALL`].
    pub sent: [SentTraffic; MessageKind::ALL.len()],
}

impl PeerTraffic {
    /// Counts a message of `bytes` bytes that was sent.
    pub const fn record_sent(&mut self, kind: MessageKind, bytes: usize, is_own_domain: bool) {
        let count = &mut self.sent[kind as usize];
        count.messages += 1;
        if is_own_domain {
            count.own_domain_bytes += bytes as u64;
        } else {
            count.cross_domain_bytes += bytes as u64;
        }
    }

    /// Returns the traffic sent of one kind.
    #[must_use]
    pub const fn sent_traffic(&self, kind: MessageKind) -> SentTraffic {
        self.sent[kind as usize]
    }
}
