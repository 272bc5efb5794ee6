//! Protobuf datagrams of the membership protocol, defined by hand for prost.
//!
//! An address is encoded as its IP address and port in network byte order, in 6 or 18 bytes. A
//! record omits the member's id, which its update carries.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use alderhaven_core::ids::{IncarnationNumber, NodeId, StoreEra};
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::membership::digest_progress::DigestProgress;
use alderhaven_policy::membership::gossip_message::{
    GossipBody, GossipMessage, MemberUpdate, ReportGroup, SenderHeader,
};
use alderhaven_policy::membership::member_record::{
    ConfigDigest, CpuCapacity, LoadLevel, MemberRecord, MemberRole, MemberState, MemberVersion,
};
use alderhaven_policy::membership::store_answer::StoreAnswer;
use prost::Message;

use crate::frames::PROTOCOL_VERSION;
use crate::malformed_message::MalformedMessage;

/// Wire form of a [`GossipMessage`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct GossipDatagram {
    #[prost(uint32, tag = "1")]
    protocol: u32,
    #[prost(message, optional, tag = "2")]
    sender: Option<SenderWire>,
    #[prost(oneof = "BodyWire", tags = "3, 4, 5, 6, 7, 8")]
    body: Option<BodyWire>,
    #[prost(message, repeated, tag = "9")]
    updates: Vec<UpdateWire>,
    #[prost(message, repeated, tag = "10")]
    reports: Vec<ReportWire>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct SenderWire {
    #[prost(string, tag = "1")]
    node: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint32, tag = "3")]
    refutation: u32,
    #[prost(bool, tag = "4")]
    is_leaving: bool,
    #[prost(uint32, tag = "5")]
    load: u32,
    #[prost(message, optional, tag = "6")]
    config: Option<DigestWire>,
    #[prost(fixed64, tag = "7")]
    view_hash: u64,
    #[prost(message, optional, tag = "8")]
    store_answer: Option<StoreAnswerWire>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct StoreAnswerWire {
    #[prost(fixed32, tag = "1")]
    origin: u32,
    #[prost(uint32, tag = "2")]
    age_ms: u32,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct DigestWire {
    #[prost(uint64, tag = "1")]
    highest: u64,
    #[prost(uint64, tag = "2")]
    version_sum: u64,
    #[prost(fixed64, tag = "3")]
    hash: u64,
    #[prost(uint64, tag = "4")]
    era_sum: u64,
    #[prost(uint64, tag = "5")]
    carry_sum: u64,
    #[prost(uint64, tag = "6")]
    highest_era: u64,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum BodyWire {
    #[prost(message, tag = "3")]
    Updates(EmptyWire),
    #[prost(message, tag = "4")]
    Ping(PingWire),
    #[prost(message, tag = "5")]
    PingRequest(PingWire),
    #[prost(message, tag = "6")]
    Ack(AckWire),
    #[prost(message, tag = "7")]
    SyncRequest(SyncRequestWire),
    #[prost(message, tag = "8")]
    SyncReply(SyncReplyWire),
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct EmptyWire {}

#[derive(Clone, PartialEq, prost::Message)]
struct PingWire {
    #[prost(uint32, tag = "1")]
    sequence: u32,
    #[prost(string, tag = "2")]
    target: String,
    #[prost(bytes = "vec", tag = "3")]
    address: Vec<u8>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct AckWire {
    #[prost(uint32, tag = "1")]
    sequence: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct SyncRequestWire {
    #[prost(uint32, tag = "1")]
    sequence: u32,
    #[prost(string, tag = "2")]
    after: String,
    #[prost(fixed64, repeated, tag = "3")]
    buckets: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct SyncReplyWire {
    #[prost(uint32, tag = "1")]
    sequence: u32,
    #[prost(string, tag = "2")]
    continue_after: String,
}

#[derive(Clone, PartialEq, prost::Message)]
struct UpdateWire {
    #[prost(string, tag = "1")]
    node: String,
    #[prost(enumeration = "StateWire", tag = "2")]
    state: i32,
    #[prost(uint64, tag = "3")]
    incarnation: u64,
    #[prost(uint32, tag = "4")]
    refutation: u32,
    #[prost(message, optional, tag = "5")]
    record: Option<RecordWire>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct RecordWire {
    #[prost(enumeration = "RoleWire", tag = "1")]
    role: i32,
    #[prost(string, tag = "2")]
    host: String,
    #[prost(string, tag = "3")]
    domain: String,
    #[prost(bytes = "vec", tag = "4")]
    gossip_address: Vec<u8>,
    #[prost(bytes = "vec", tag = "5")]
    peer_address: Vec<u8>,
    #[prost(bytes = "vec", tag = "6")]
    caller_address: Vec<u8>,
    #[prost(uint32, tag = "7")]
    capacity: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ReportWire {
    #[prost(message, optional, tag = "1")]
    config: Option<DigestWire>,
    #[prost(fixed32, repeated, tag = "2")]
    members: Vec<u32>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
enum StateWire {
    Unspecified = 0,
    Alive = 1,
    Suspect = 2,
    Leaving = 3,
    Dead = 4,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
enum RoleWire {
    Unspecified = 0,
    Entry = 1,
    Relay = 2,
}

/// Encodes a message as one datagram.
#[must_use]
pub fn encode(message: GossipMessage) -> Vec<u8> {
    let datagram = GossipDatagram {
        protocol: PROTOCOL_VERSION,
        sender: Some(sender_to_wire(message.sender)),
        body: Some(body_to_wire(message.body)),
        updates: message.updates.into_iter().map(update_to_wire).collect(),
        reports: message.reports.into_iter().map(report_to_wire).collect(),
    };
    datagram.encode_to_vec()
}

/// Decodes and validates one datagram.
///
/// # Errors
/// Returns `MalformedMessage` if the bytes are no datagram of this protocol version, or a field is
/// missing or out of range.
pub fn decode(bytes: &[u8]) -> Result<GossipMessage, MalformedMessage> {
    let datagram = GossipDatagram::decode(bytes)
        .map_err(|error| MalformedMessage::Undecodable(error.to_string()))?;
    if datagram.protocol != PROTOCOL_VERSION {
        return Err(MalformedMessage::UnsupportedProtocol(datagram.protocol));
    }
    let sender = datagram
        .sender
        .ok_or(MalformedMessage::InvalidField("sender"))?;
    let body = datagram
        .body
        .ok_or(MalformedMessage::InvalidField("body"))?;
    let updates: Result<_, _> = datagram.updates.into_iter().map(update_from_wire).collect();
    Ok(GossipMessage {
        sender: sender_from_wire(sender)?,
        body: body_from_wire(body)?,
        updates: updates?,
        reports: datagram.reports.into_iter().map(report_from_wire).collect(),
    })
}

fn sender_to_wire(sender: SenderHeader) -> SenderWire {
    SenderWire {
        node: sender.node.into(),
        incarnation: sender.version.incarnation.0,
        refutation: sender.version.refutation,
        is_leaving: sender.is_leaving,
        load: sender.load.0,
        config: Some(digest_to_wire(sender.config)),
        view_hash: sender.view_hash,
        store_answer: sender.store_answer.map(store_answer_to_wire),
    }
}

fn sender_from_wire(wire: SenderWire) -> Result<SenderHeader, MalformedMessage> {
    Ok(SenderHeader {
        node: node_from_wire(wire.node)?,
        version: version_from_wire(wire.incarnation, wire.refutation),
        is_leaving: wire.is_leaving,
        load: LoadLevel(wire.load),
        config: digest_from_wire(wire.config),
        view_hash: wire.view_hash,
        store_answer: wire.store_answer.map(store_answer_from_wire),
    })
}

fn store_answer_to_wire(answer: StoreAnswer) -> StoreAnswerWire {
    StoreAnswerWire {
        origin: answer.origin,
        age_ms: u32::try_from(answer.age.as_millis()).unwrap_or(u32::MAX),
    }
}

fn store_answer_from_wire(wire: StoreAnswerWire) -> StoreAnswer {
    StoreAnswer {
        origin: wire.origin,
        age: TimeSpan::from_millis(u64::from(wire.age_ms)),
    }
}

fn body_to_wire(body: GossipBody) -> BodyWire {
    match body {
        GossipBody::Updates => BodyWire::Updates(EmptyWire {}),
        GossipBody::Ping { sequence, target } => BodyWire::Ping(PingWire {
            sequence,
            target: target.into(),
            address: Vec::new(),
        }),
        GossipBody::PingRequest {
            sequence,
            target,
            address,
        } => BodyWire::PingRequest(PingWire {
            sequence,
            target: target.into(),
            address: address_to_wire(address),
        }),
        GossipBody::Ack { sequence } => BodyWire::Ack(AckWire { sequence }),
        GossipBody::SyncRequest {
            sequence,
            after,
            buckets,
        } => BodyWire::SyncRequest(SyncRequestWire {
            sequence,
            after: after.map(String::from).unwrap_or_default(),
            buckets: buckets.to_vec(),
        }),
        GossipBody::SyncReply {
            sequence,
            continue_after,
        } => BodyWire::SyncReply(SyncReplyWire {
            sequence,
            continue_after: continue_after.map(String::from).unwrap_or_default(),
        }),
    }
}

fn body_from_wire(wire: BodyWire) -> Result<GossipBody, MalformedMessage> {
    Ok(match wire {
        BodyWire::Updates(_) => GossipBody::Updates,
        BodyWire::Ping(ping) => GossipBody::Ping {
            sequence: ping.sequence,
            target: node_from_wire(ping.target)?,
        },
        BodyWire::PingRequest(ping) => GossipBody::PingRequest {
            sequence: ping.sequence,
            target: node_from_wire(ping.target)?,
            address: address_from_wire(&ping.address)?,
        },
        BodyWire::Ack(ack) => GossipBody::Ack {
            sequence: ack.sequence,
        },
        BodyWire::SyncRequest(request) => GossipBody::SyncRequest {
            sequence: request.sequence,
            after: optional_node_from_wire(request.after)?,
            buckets: request.buckets.into(),
        },
        BodyWire::SyncReply(reply) => GossipBody::SyncReply {
            sequence: reply.sequence,
            continue_after: optional_node_from_wire(reply.continue_after)?,
        },
    })
}

fn update_to_wire(update: MemberUpdate) -> UpdateWire {
    let state = match update.state {
        MemberState::Alive => StateWire::Alive,
        MemberState::Suspect => StateWire::Suspect,
        MemberState::Leaving => StateWire::Leaving,
        MemberState::Dead => StateWire::Dead,
    };
    UpdateWire {
        node: update.node.into(),
        state: state.into(),
        incarnation: update.version.incarnation.0,
        refutation: update.version.refutation,
        record: update.record.map(record_to_wire),
    }
}

fn update_from_wire(wire: UpdateWire) -> Result<MemberUpdate, MalformedMessage> {
    let state = match wire.state() {
        StateWire::Unspecified => return Err(MalformedMessage::InvalidField("state")),
        StateWire::Alive => MemberState::Alive,
        StateWire::Suspect => MemberState::Suspect,
        StateWire::Leaving => MemberState::Leaving,
        StateWire::Dead => MemberState::Dead,
    };
    let node = node_from_wire(wire.node)?;
    let record = wire
        .record
        .as_ref()
        .map(|record| record_from_wire(record, node.clone()));
    Ok(MemberUpdate {
        state,
        version: version_from_wire(wire.incarnation, wire.refutation),
        record: record.transpose()?,
        node,
    })
}

fn record_to_wire(record: MemberRecord) -> RecordWire {
    let role = match record.role {
        MemberRole::Entry => RoleWire::Entry,
        MemberRole::Relay => RoleWire::Relay,
    };
    RecordWire {
        role: role.into(),
        host: record.host.into(),
        domain: record.domain.into(),
        gossip_address: address_to_wire(record.gossip_address),
        peer_address: record.peer_address.map(address_to_wire).unwrap_or_default(),
        caller_address: record
            .caller_address
            .map(address_to_wire)
            .unwrap_or_default(),
        capacity: record.capacity.0,
    }
}

fn record_from_wire(wire: &RecordWire, node: NodeId) -> Result<MemberRecord, MalformedMessage> {
    let role = match wire.role() {
        RoleWire::Unspecified => return Err(MalformedMessage::InvalidField("role")),
        RoleWire::Entry => MemberRole::Entry,
        RoleWire::Relay => MemberRole::Relay,
    };
    let invalid = |field: &'static str| MalformedMessage::InvalidField(field);
    Ok(MemberRecord {
        node,
        role,
        host: wire.host.parse().map_err(|_| invalid("host"))?,
        domain: wire.domain.parse().map_err(|_| invalid("domain"))?,
        gossip_address: address_from_wire(&wire.gossip_address)?,
        peer_address: optional_address_from_wire(&wire.peer_address)?,
        caller_address: optional_address_from_wire(&wire.caller_address)?,
        capacity: CpuCapacity(wire.capacity),
    })
}

fn report_to_wire(report: ReportGroup) -> ReportWire {
    ReportWire {
        config: Some(digest_to_wire(report.config)),
        members: report.members,
    }
}

fn report_from_wire(wire: ReportWire) -> ReportGroup {
    ReportGroup {
        config: digest_from_wire(wire.config),
        members: wire.members,
    }
}

const fn digest_to_wire(config: ConfigDigest) -> DigestWire {
    DigestWire {
        highest: config.highest.revision,
        version_sum: config.progress.version_sum,
        hash: config.hash,
        era_sum: config.progress.era_sum,
        carry_sum: config.progress.carry_sum,
        highest_era: config.highest.era.0,
    }
}

fn digest_from_wire(wire: Option<DigestWire>) -> ConfigDigest {
    let wire = wire.unwrap_or_default();
    ConfigDigest {
        highest: StoreVersion::of_revision(wire.highest).in_era(StoreEra(wire.highest_era)),
        progress: DigestProgress {
            era_sum: wire.era_sum,
            version_sum: wire.version_sum,
            carry_sum: wire.carry_sum,
        },
        hash: wire.hash,
    }
}

const fn version_from_wire(incarnation: u64, refutation: u32) -> MemberVersion {
    MemberVersion {
        incarnation: IncarnationNumber(incarnation),
        refutation,
    }
}

fn node_from_wire(text: String) -> Result<NodeId, MalformedMessage> {
    NodeId::try_from(text).map_err(|_| MalformedMessage::InvalidField("node"))
}

fn optional_node_from_wire(text: String) -> Result<Option<NodeId>, MalformedMessage> {
    if text.is_empty() {
        return Ok(None);
    }
    node_from_wire(text).map(Some)
}

fn address_to_wire(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}

fn optional_address_from_wire(bytes: &[u8]) -> Result<Option<SocketAddr>, MalformedMessage> {
    if bytes.is_empty() {
        return Ok(None);
    }
    address_from_wire(bytes).map(Some)
}

fn address_from_wire(bytes: &[u8]) -> Result<SocketAddr, MalformedMessage> {
    let invalid = MalformedMessage::InvalidField("address");
    let Some((ip, port)) = bytes.split_last_chunk::<2>() else {
        return Err(invalid);
    };
    let ip: IpAddr = if let Ok(octets) = <[u8; 4]>::try_from(ip) {
        Ipv4Addr::from(octets).into()
    } else if let Ok(octets) = <[u8; 16]>::try_from(ip) {
        Ipv6Addr::from(octets).into()
    } else {
        return Err(invalid);
    };
    Ok(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}
