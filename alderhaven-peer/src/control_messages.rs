//! Datagrams between fronts: proofs that a configuration is the newest, and credit of teams.
//!
//! Each message fits into one datagram. A lost one is sent again by its sender, with a new number.

use prost::Message;

use crate::frames::PROTOCOL_VERSION;
use crate::malformed_message::MalformedMessage;

/// Wire form of a [`ControlMessage`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct ControlDatagram {
    #[prost(uint32, tag = "1")]
    protocol: u32,
    #[prost(oneof = "ControlMessage", tags = "2, 3, 4, 5")]
    message: Option<ControlMessage>,
}

/// A message between two fronts.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ControlMessage {
    /// Asks for a proof that a configuration is the newest.
    #[prost(message, tag = "2")]
    LeaseQuery(LeaseQuery),
    /// Reply to a `LeaseQuery`.
    #[prost(message, tag = "3")]
    LeaseReply(LeaseReply),
    /// Delegates a share of all limits and asks for credit.
    #[prost(message, tag = "4")]
    CreditQuery(CreditQuery),
    /// Reply to a `CreditQuery`.
    #[prost(message, tag = "5")]
    CreditReply(CreditReply),
}

/// Asks another front for the proof that it holds.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LeaseQuery {
    /// Number of the query, unique in the sending process.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// The proof that a front holds.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LeaseReply {
    /// Number of the query.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Age of the proof in microseconds when the reply was sent; `None` without a proof.
    #[prost(uint64, optional, tag = "2")]
    pub proof_age_us: Option<u64>,
    /// Store era of the configuration that was proven to be the newest.
    #[prost(uint64, tag = "3")]
    pub era: u64,
    /// Store revision of that configuration.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
}

/// Delegates the sender's share of all limits to the receiver and asks for credit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CreditQuery {
    /// Number of the query; increases with each query of the sending process.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Node id of the sender.
    #[prost(string, tag = "2")]
    pub node: String,
    /// Random number that the sender drew at its start.
    #[prost(fixed64, tag = "3")]
    pub sender_epoch: u64,
    /// The delegation; `None` if the sender has not received a reply of this pool yet, or
    /// delegates nothing.
    #[prost(message, optional, tag = "4")]
    pub delegation: Option<ShareDelegation>,
    /// Credit that is asked for and returned, by team.
    #[prost(message, repeated, tag = "5")]
    pub teams: Vec<CreditDemand>,
}

/// A delegated share. The pool counts its lifetime from its own timestamp, which is echoed here.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ShareDelegation {
    /// Random number that the pool drew at its start.
    #[prost(fixed64, tag = "1")]
    pub pool_epoch: u64,
    /// The pool's clock in microseconds, from its latest reply.
    #[prost(uint64, tag = "2")]
    pub pool_time_us: u64,
    /// The delegated share of each limit, from 0 to 1.
    #[prost(double, tag = "3")]
    pub share: f64,
}

/// Credit of one team that a front asks for or returns.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CreditDemand {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Number of requests for which credit is asked.
    #[prost(uint32, tag = "2")]
    pub wanted: u32,
    /// Credit that was granted and not used.
    #[prost(uint32, tag = "3")]
    pub returned: u32,
    /// The pool's clock in microseconds when it granted the returned credit.
    #[prost(uint64, tag = "4")]
    pub granted_at_us: u64,
}

/// Credit that a pool grants.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CreditReply {
    /// Number of the query.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Random number that the pool drew at its start.
    #[prost(fixed64, tag = "2")]
    pub pool_epoch: u64,
    /// The pool's clock in microseconds when it sent the reply.
    #[prost(uint64, tag = "3")]
    pub pool_time_us: u64,
    /// Result for each team of the query that the pool knows.
    #[prost(message, repeated, tag = "4")]
    pub grants: Vec<CreditGrant>,
}

/// Credit granted to one team at one front.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CreditGrant {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Number of requests granted.
    #[prost(uint32, tag = "2")]
    pub granted: u32,
    /// Time in microseconds until the pool has credit for this team again; 0 if all was granted.
    #[prost(uint64, tag = "3")]
    pub available_after_us: u64,
}

/// Encodes a message.
#[must_use]
pub fn encode(message: ControlMessage) -> Vec<u8> {
    let datagram = ControlDatagram {
        protocol: PROTOCOL_VERSION,
        message: Some(message),
    };
    datagram.encode_to_vec()
}

/// Decodes a message; `None` if a newer sender used a type that is unknown here.
///
/// # Errors
/// The datagram is malformed or of another protocol version.
pub fn decode(bytes: &[u8]) -> Result<Option<ControlMessage>, MalformedMessage> {
    let datagram = ControlDatagram::decode(bytes)
        .map_err(|error| MalformedMessage::Undecodable(error.to_string()))?;
    if datagram.protocol != PROTOCOL_VERSION {
        return Err(MalformedMessage::UnsupportedProtocol(datagram.protocol));
    }
    Ok(datagram.message)
}
