//! Protobuf messages between the system's processes, defined by hand for prost.
//!
//! Times travel as durations in microseconds, since the clocks of two processes aren't comparable.

use alderhaven_core::outcome::{AttemptOutcome, NotRunReason};

use crate::claim_messages::{ClaimAnswer, ClaimQuery};
use crate::exchange_messages::ExchangeFrame;
use crate::group_messages::{GroupClose, GroupReply, GroupRequest};
use crate::strike_messages::StrikeNotice;

/// Version carried by datagrams and by `Hello`; any other version is rejected.
pub const PROTOCOL_VERSION: u32 = 1;

/// One message on a connection between two processes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerFrame {
    /// `None` if the sender is newer and used a message type that is unknown here.
    #[prost(
        oneof = "PeerMessage",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 20, 30, 31, 40, 41, 42"
    )]
    pub message: Option<PeerMessage>,
}

/// All message types between processes.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PeerMessage {
    /// Identifies the sender; the first message on a connection of the exchange.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Attempts that an entry asks a relay to run.
    #[prost(message, tag = "2")]
    Scatter(ScatterRequest),
    /// Result of one attempt, from a relay.
    #[prost(message, tag = "3")]
    Reply(AttemptReply),
    /// Attempts whose results an entry no longer needs.
    #[prost(message, tag = "4")]
    Cancel(CancelAttempts),
    /// A relay is shutting down and accepts no new attempts on this connection.
    #[prost(message, tag = "5")]
    Leaving(LeavingNotice),
    /// Requests that were in flight at targets that crashed.
    #[prost(message, tag = "6")]
    Strikes(StrikeNotice),
    /// Check by an entry that the connection still carries messages.
    #[prost(message, tag = "7")]
    Ping(PingProbe),
    /// Reply to a `Ping`.
    #[prost(message, tag = "8")]
    Pong(PingProbe),
    /// Comparison and transfer of configuration between two nodes.
    #[prost(message, tag = "20")]
    Exchange(ExchangeFrame),
    /// Query by an entry for the outcome of a claimed request.
    #[prost(message, tag = "30")]
    ClaimQuery(ClaimQuery),
    /// Reply to a `ClaimQuery`.
    #[prost(message, tag = "31")]
    ClaimAnswer(ClaimAnswer),
    /// Request by a front for attempts in another front's failure domain.
    #[prost(message, tag = "40")]
    GroupRequest(GroupRequest),
    /// Results of attempts of a `GroupRequest`.
    #[prost(message, tag = "41")]
    GroupReply(GroupReply),
    /// No further replies to a `GroupRequest` are needed.
    #[prost(message, tag = "42")]
    GroupClose(GroupClose),
}

/// Identity of a connection's sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Protocol version that the sender uses.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// Node id of the sender.
    #[prost(string, tag = "2")]
    pub node: String,
    /// Incarnation number of the sender.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
}

/// Attempts of one query at one relay, with the query's parameters carried once for all of them.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ScatterRequest {
    /// Random half of the attempt ids.
    #[prost(uint64, tag = "1")]
    pub origin: u64,
    /// Service that the query addresses.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Name of the query template.
    #[prost(string, tag = "3")]
    pub template: String,
    /// Canonical parameters as JSON.
    #[prost(bytes = "bytes", tag = "4")]
    pub parameters: prost::bytes::Bytes,
    /// Snapshot to which the query is pinned.
    #[prost(uint64, tag = "5")]
    pub snapshot: u64,
    /// Rank of the query's class; 0 is urgent.
    #[prost(uint32, tag = "6")]
    pub class: u32,
    /// Order within the class, lower first; all relays of a query get the same number.
    #[prost(uint64, tag = "7")]
    pub order: u64,
    /// Time left for the query, in microseconds.
    #[prost(uint64, tag = "8")]
    pub remaining_us: u64,
    /// Whether the query may safely be repeated.
    #[prost(bool, tag = "9")]
    pub idempotent: bool,
    /// Attempts to run, one per target.
    #[prost(message, repeated, tag = "10")]
    pub attempts: Vec<ScatterAttempt>,
    /// Whether the attempts are hedges, which run only if a slot is free.
    #[prost(bool, tag = "11")]
    pub is_hedge: bool,
}

/// One attempt of a query at one target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ScatterAttempt {
    /// Sequential half of the attempt id.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Shard that the attempt reads.
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    /// Index version that the snapshot fixes for the shard.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Id of the target.
    #[prost(string, tag = "4")]
    pub target: String,
    /// Address of the target.
    #[prost(string, tag = "5")]
    pub address: String,
    /// Number of slots that the target declares.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// Number of connections that the target declares.
    #[prost(uint32, tag = "7")]
    pub connections: u32,
    /// Failure domain of the target.
    #[prost(string, tag = "8")]
    pub domain: String,
}

/// Result of one attempt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AttemptReply {
    /// Sequential half of the attempt id.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// How the attempt ended.
    #[prost(enumeration = "ReplyStatus", tag = "2")]
    pub status: i32,
    /// Rows as JSON array text, if the target answered.
    #[prost(bytes = "bytes", tag = "3")]
    pub rows: prost::bytes::Bytes,
    /// Snapshot that the target echoed.
    #[prost(uint64, tag = "4")]
    pub snapshot: u64,
    /// Index version that the target echoed.
    #[prost(uint64, tag = "5")]
    pub version: u64,
    /// Time spent in the relay's queue, in microseconds.
    #[prost(uint64, tag = "6")]
    pub queued_us: u64,
    /// Time spent at the target, in microseconds.
    #[prost(uint64, tag = "7")]
    pub service_us: u64,
    /// Expected queue wait of a new attempt of this class at the target, in microseconds.
    #[prost(uint64, tag = "8")]
    pub wait_us: u64,
    /// Whether the attempt reached the target and counts as load.
    #[prost(bool, tag = "9")]
    pub ran: bool,
    /// Whether the reply was lost with an unresponsive connection, which says nothing about the
    /// target.
    #[prost(bool, tag = "10")]
    pub path_lost: bool,
}

/// Wire form of an attempt's outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ReplyStatus {
    /// The attempt may or may not have run; also the default for unknown values.
    Unknown = 0,
    /// The target ran the attempt and answered.
    Answered = 1,
    /// The target ran the attempt and failed.
    Failed = 2,
    /// The target no longer holds the index version.
    VersionGone = 3,
    /// Not run: no byte was sent to the target.
    NotSent = 4,
    /// Not run: the target shed the attempt.
    Shed = 5,
    /// Not run: the target is draining.
    Draining = 6,
    /// Not run: its time expired in the queue.
    Expired = 7,
    /// Not run: the relay's queue was full.
    QueueFull = 8,
    /// Not run: it was cancelled while queued.
    Cancelled = 9,
    /// Not run: the relay doesn't serve the target.
    NoRoute = 10,
    /// Not run: the request is quarantined.
    Quarantined = 11,
}

impl From<AttemptOutcome> for ReplyStatus {
    fn from(outcome: AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::Answered => Self::Answered,
            AttemptOutcome::Failed => Self::Failed,
            AttemptOutcome::VersionGone => Self::VersionGone,
            AttemptOutcome::Unknown => Self::Unknown,
            AttemptOutcome::NotRun(reason) => match reason {
                NotRunReason::NotSent => Self::NotSent,
                NotRunReason::Shed => Self::Shed,
                NotRunReason::Draining => Self::Draining,
                NotRunReason::Expired => Self::Expired,
                NotRunReason::QueueFull => Self::QueueFull,
                NotRunReason::Cancelled => Self::Cancelled,
                NotRunReason::NoRoute => Self::NoRoute,
                NotRunReason::Quarantined => Self::Quarantined,
            },
        }
    }
}

impl From<ReplyStatus> for AttemptOutcome {
    fn from(status: ReplyStatus) -> Self {
        match status {
            ReplyStatus::Unknown => Self::Unknown,
            ReplyStatus::Answered => Self::Answered,
            ReplyStatus::Failed => Self::Failed,
            ReplyStatus::VersionGone => Self::VersionGone,
            ReplyStatus::NotSent => Self::NotRun(NotRunReason::NotSent),
            ReplyStatus::Shed => Self::NotRun(NotRunReason::Shed),
            ReplyStatus::Draining => Self::NotRun(NotRunReason::Draining),
            ReplyStatus::Expired => Self::NotRun(NotRunReason::Expired),
            ReplyStatus::QueueFull => Self::NotRun(NotRunReason::QueueFull),
            ReplyStatus::Cancelled => Self::NotRun(NotRunReason::Cancelled),
            ReplyStatus::NoRoute => Self::NotRun(NotRunReason::NoRoute),
            ReplyStatus::Quarantined => Self::NotRun(NotRunReason::Quarantined),
        }
    }
}

/// Attempts of one origin whose results are no longer needed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CancelAttempts {
    /// Random half of the attempt ids.
    #[prost(uint64, tag = "1")]
    pub origin: u64,
    /// Attempts to cancel.
    #[prost(message, repeated, tag = "2")]
    pub attempts: Vec<CancelledAttempt>,
}

/// One attempt whose result is no longer needed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CancelledAttempt {
    /// Sequential half of the attempt id.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Id of the target, by which the relay finds the attempt.
    #[prost(string, tag = "2")]
    pub target: String,
}

/// Notice that the sender is shutting down.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LeavingNotice {}

/// Check of a connection without other traffic, or the reply to one.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PingProbe {
    /// Number of the check, repeated in the reply.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}
