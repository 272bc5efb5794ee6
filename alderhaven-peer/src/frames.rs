//! The messages between the system's processes, as prost messages written by hand.
//!
//! Times that cross are remaining microseconds, since clocks of two processes are not comparable.

use alderhaven_core::outcome::{AttemptOutcome, NotRunReason};

use crate::claim_messages::{ClaimAnswer, ClaimQuery};
use crate::exchange_messages::ExchangeFrame;
use crate::group_messages::{GroupClose, GroupReply, GroupRequest};
use crate::strike_messages::StrikeNotice;

/// The version of the protocol; a frame of another major version is refused.
pub const PROTOCOL_VERSION: u32 = 1;

/// A `PeerFrame` is one message on a connection between two processes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerFrame {
    /// The message; none where the sender is newer and the message is not known here.
    #[prost(
        oneof = "PeerMessage",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 20, 30, 31, 40, 41, 42"
    )]
    pub message: Option<PeerMessage>,
}

/// A `PeerMessage` is the closed set of messages.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PeerMessage {
    /// The first message in each direction.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// An entry asks a relay to run attempts.
    #[prost(message, tag = "2")]
    Scatter(ScatterRequest),
    /// A relay answers one attempt.
    #[prost(message, tag = "3")]
    Reply(AttemptReply),
    /// An entry no longer wants the answers of attempts.
    #[prost(message, tag = "4")]
    Cancel(CancelAttempts),
    /// A relay stops: it takes no new attempts on this connection.
    #[prost(message, tag = "5")]
    Leaving(LeavingNotice),
    /// Requests were in flight at targets that crashed.
    #[prost(message, tag = "6")]
    Strikes(StrikeNotice),
    /// An entry asks whether the connection still carries anything.
    #[prost(message, tag = "7")]
    Ping(PingProbe),
    /// The answer to a `Ping`.
    #[prost(message, tag = "8")]
    Pong(PingProbe),
    /// Two nodes compare and pass on configuration.
    #[prost(message, tag = "20")]
    Exchange(ExchangeFrame),
    /// An entry asks another for the outcome of a claimed request.
    #[prost(message, tag = "30")]
    ClaimQuery(ClaimQuery),
    /// An entry answers such a query.
    #[prost(message, tag = "31")]
    ClaimAnswer(ClaimAnswer),
    /// A front asks another one for attempts in its failure domain.
    #[prost(message, tag = "40")]
    GroupRequest(GroupRequest),
    /// Ends of such attempts.
    #[prost(message, tag = "41")]
    GroupReply(GroupReply),
    /// No more replies are needed.
    #[prost(message, tag = "42")]
    GroupClose(GroupClose),
}

/// A `Hello` says who speaks.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// The protocol's version.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// The sender's node id.
    #[prost(string, tag = "2")]
    pub node: String,
    /// The sender's incarnation.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
}

/// A `ScatterRequest` carries one query's parameters once for all its attempts at one relay.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ScatterRequest {
    /// The random half of the attempt ids.
    #[prost(uint64, tag = "1")]
    pub origin: u64,
    /// The service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The template's name.
    #[prost(string, tag = "3")]
    pub template: String,
    /// The canonical parameters as JSON.
    #[prost(bytes = "bytes", tag = "4")]
    pub parameters: prost::bytes::Bytes,
    /// The pinned snapshot.
    #[prost(uint64, tag = "5")]
    pub snapshot: u64,
    /// The rank of the query's class, 0 for urgent.
    #[prost(uint32, tag = "6")]
    pub class: u32,
    /// The order within the class, lower first; all relays of a query get the same number.
    #[prost(uint64, tag = "7")]
    pub order: u64,
    /// The remaining time of the query in microseconds.
    #[prost(uint64, tag = "8")]
    pub remaining_us: u64,
    /// Whether the query may be repeated without harm.
    #[prost(bool, tag = "9")]
    pub idempotent: bool,
    /// The attempts, one a target.
    #[prost(message, repeated, tag = "10")]
    pub attempts: Vec<ScatterAttempt>,
    /// Whether the attempts are hedges, which run only where a slot is free.
    #[prost(bool, tag = "11")]
    pub is_hedge: bool,
}

/// A `ScatterAttempt` is one attempt of a query at one target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ScatterAttempt {
    /// The counting half of the attempt id.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The shard.
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    /// The index version that the snapshot fixes for the shard.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// The target's id.
    #[prost(string, tag = "4")]
    pub target: String,
    /// The target's address.
    #[prost(string, tag = "5")]
    pub address: String,
    /// The target's declared slots.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// The target's declared connections.
    #[prost(uint32, tag = "7")]
    pub connections: u32,
    /// The target's failure domain.
    #[prost(string, tag = "8")]
    pub domain: String,
}

/// An `AttemptReply` is what became of one attempt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AttemptReply {
    /// The counting half of the attempt id.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The outcome.
    #[prost(enumeration = "ReplyStatus", tag = "2")]
    pub status: i32,
    /// The rows as the text of a JSON array, where the target answered.
    #[prost(bytes = "bytes", tag = "3")]
    pub rows: prost::bytes::Bytes,
    /// The snapshot that the target echoed.
    #[prost(uint64, tag = "4")]
    pub snapshot: u64,
    /// The index version that the target echoed.
    #[prost(uint64, tag = "5")]
    pub version: u64,
    /// The time in the relay's queue, in microseconds.
    #[prost(uint64, tag = "6")]
    pub queued_us: u64,
    /// The time at the target, in microseconds.
    #[prost(uint64, tag = "7")]
    pub service_us: u64,
    /// The wait that a new attempt of this class would have at the target now, in microseconds.
    #[prost(uint64, tag = "8")]
    pub wait_us: u64,
    /// Whether the attempt reached the target, so that it counts as load.
    #[prost(bool, tag = "9")]
    pub ran: bool,
    /// Whether the reply was lost with a silent connection, which says nothing of the target.
    #[prost(bool, tag = "10")]
    pub path_lost: bool,
}

/// A `ReplyStatus` is the wire form of an attempt's outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ReplyStatus {
    /// The attempt may or may not have run; also what an unknown number is read as.
    Unknown = 0,
    /// The target answered.
    Answered = 1,
    /// The target failed the attempt after running it.
    Failed = 2,
    /// The target no longer holds the version.
    VersionGone = 3,
    /// Not run: no byte was sent.
    NotSent = 4,
    /// Not run: the target shed it.
    Shed = 5,
    /// Not run: the target drains.
    Draining = 6,
    /// Not run: its time was up in the queue.
    Expired = 7,
    /// Not run: the queue was full.
    QueueFull = 8,
    /// Not run: it was cancelled in the queue.
    Cancelled = 9,
    /// Not run: the relay does not serve the target.
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

/// A `CancelAttempts` names attempts whose answers are no longer wanted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CancelAttempts {
    /// The random half of the attempt ids.
    #[prost(uint64, tag = "1")]
    pub origin: u64,
    /// The attempts.
    #[prost(message, repeated, tag = "2")]
    pub attempts: Vec<CancelledAttempt>,
}

/// A `CancelledAttempt` is one attempt whose answer is no longer wanted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CancelledAttempt {
    /// The counting half of the attempt's id.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The target's id, by which the relay finds the attempt.
    #[prost(string, tag = "2")]
    pub target: String,
}

/// A `LeavingNotice` says that the sender stops.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LeavingNotice {}

/// A `PingProbe` is a question, or its answer, on a connection that carries nothing else just now.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PingProbe {
    /// The number of the question, which the answer repeats.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}
