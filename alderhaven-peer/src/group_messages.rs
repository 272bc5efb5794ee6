//! Messages between fronts: attempts that one front requests at targets in another failure domain,
//! with the replies merged before they cross between the domains.

/// Request for one attempt at each of some targets.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GroupRequest {
    /// Number of the request, unique on its connection.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Sender's monotonic clock in microseconds, by which a late delivery is detected.
    #[prost(uint64, tag = "2")]
    pub sent_us: u64,
    /// HTTP method of the caller's request.
    #[prost(string, tag = "3")]
    pub method: String,
    /// Path and query of the caller's request.
    #[prost(string, tag = "4")]
    pub path: String,
    /// Headers of the caller's request.
    #[prost(message, repeated, tag = "5")]
    pub headers: Vec<HeaderField>,
    /// Body of the caller's request.
    #[prost(bytes = "bytes", tag = "6")]
    pub body: prost::bytes::Bytes,
    /// Id that the caller gave its attempt.
    #[prost(string, tag = "7")]
    pub request_id: String,
    /// Ids of the targets, one for each shard.
    #[prost(string, repeated, tag = "8")]
    pub targets: Vec<String>,
    /// Maximum number of records in the merged result.
    #[prost(uint32, tag = "9")]
    pub max_records: u32,
    /// Time in microseconds after which the replies received so far are sent.
    #[prost(uint64, tag = "10")]
    pub flush_after_us: u64,
    /// Time left for the request, in microseconds.
    #[prost(uint64, tag = "11")]
    pub remaining_us: u64,
    /// Typical latency of an attempt, in microseconds.
    #[prost(uint64, tag = "12")]
    pub typical_latency_us: u64,
    /// Whether each reply is sent individually and at once. Replies to hedges race with the first
    /// attempts, and a merged block could only be accepted or dropped as a whole.
    #[prost(bool, tag = "13")]
    pub has_separate_replies: bool,
}

/// One header of a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeaderField {
    /// Header name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Header value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: prost::bytes::Bytes,
}

/// Results of attempts; the first reply to a request is sent at its flush time or before.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GroupReply {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Attempts that ended since the previous reply.
    #[prost(message, repeated, tag = "2")]
    pub results: Vec<GroupAttemptResult>,
    /// Greatest records of the attempts that succeeded.
    #[prost(bytes = "bytes", tag = "3")]
    pub records: prost::bytes::Bytes,
}

/// Result of one attempt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GroupAttemptResult {
    /// Index of the target in the request.
    #[prost(uint32, tag = "1")]
    pub target_index: u32,
    /// How the attempt ended.
    #[prost(enumeration = "GroupOutcome", tag = "2")]
    pub outcome: i32,
    /// Proof that the target's reply carried.
    #[prost(bytes = "bytes", tag = "3")]
    pub proof: prost::bytes::Bytes,
    /// Duration of the attempt, in microseconds.
    #[prost(uint64, tag = "4")]
    pub elapsed_us: u64,
}

/// How an attempt of a group request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum GroupOutcome {
    /// It may have run, but no reply arrived.
    Lost = 0,
    /// The target ran it and answered.
    Answered = 1,
    /// The target ran it and failed.
    Failed = 2,
    /// The target refused it without running it.
    NotRun = 3,
    /// It was not sent to the target.
    NotSent = 4,
    /// It was not sent, because the request is quarantined.
    Quarantined = 5,
    /// The target replied that the time of the request is over, and may still be running it.
    TimedOut = 6,
}

/// Notice that the requesting front needs no more replies to a request.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct GroupClose {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the query ended without an answer, so that running attempts are cancelled; otherwise
    /// they may finish.
    #[prost(bool, tag = "2")]
    pub is_abandoned: bool,
}
