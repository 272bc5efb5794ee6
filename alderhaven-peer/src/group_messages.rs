//! What a front asks of one in another failure domain: attempts at targets there, with the replies
//! merged before they cross between the domains.

/// A `GroupAsk` asks for one attempt at each of some targets.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GroupRequest {
    /// The number of the ask on its connection.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The sender's steady clock in microseconds, by which a late delivery is noticed.
    #[prost(uint64, tag = "2")]
    pub sent_us: u64,
    /// The method of the caller's request.
    #[prost(string, tag = "3")]
    pub method: String,
    /// The path and query.
    #[prost(string, tag = "4")]
    pub path: String,
    /// The headers.
    #[prost(message, repeated, tag = "5")]
    pub headers: Vec<HeaderField>,
    /// The body.
    #[prost(bytes = "bytes", tag = "6")]
    pub body: prost::bytes::Bytes,
    /// The caller's id of its attempt.
    #[prost(string, tag = "7")]
    pub request_id: String,
    /// The targets' ids, one for each shard.
    #[prost(string, repeated, tag = "8")]
    pub targets: Vec<String>,
    /// The most records that are wanted.
    #[prost(uint32, tag = "9")]
    pub max_records: u32,
    /// The time in microseconds after which the replies that are in are sent.
    #[prost(uint64, tag = "10")]
    pub flush_after_us: u64,
    /// The time in microseconds that is left for the request.
    #[prost(uint64, tag = "11")]
    pub remaining_us: u64,
    /// The usual time of an attempt in microseconds.
    #[prost(uint64, tag = "12")]
    pub typical_latency_us: u64,
    /// Whether each reply is sent by itself and at once: those to hedges race with the first attempts,
    /// and a merged block could only be taken or dropped as a whole.
    #[prost(bool, tag = "13")]
    pub has_separate_replies: bool,
}

/// A `HeaderField` is one header of a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeaderField {
    /// The name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: prost::bytes::Bytes,
}

/// A `GroupReply` carries ends of attempts; the first one of an ask comes at its flush or before.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GroupReply {
    /// The number of the ask.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The attempts that have ended.
    #[prost(message, repeated, tag = "2")]
    pub results: Vec<GroupAttemptResult>,
    /// The greatest records of those that succeeded.
    #[prost(bytes = "bytes", tag = "3")]
    pub records: prost::bytes::Bytes,
}

/// A `GroupEnd` is the end of one attempt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GroupAttemptResult {
    /// The place of the target in the ask.
    #[prost(uint32, tag = "1")]
    pub target_index: u32,
    /// How it ended.
    #[prost(enumeration = "GroupOutcome", tag = "2")]
    pub outcome: i32,
    /// The proof of the target's reply.
    #[prost(bytes = "bytes", tag = "3")]
    pub proof: prost::bytes::Bytes,
    /// The time that it took in microseconds.
    #[prost(uint64, tag = "4")]
    pub elapsed_us: u64,
}

/// A `GroupOutcome` says how an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum GroupOutcome {
    /// It may have run, and there is no reply.
    Lost = 0,
    /// The target answered.
    Answered = 1,
    /// The target ran it and failed.
    Failed = 2,
    /// The target refused it without running it.
    NotRun = 3,
    /// It was not sent.
    NotSent = 4,
}

/// A `GroupClose` says that the asking front needs no more replies to an ask.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct GroupClose {
    /// The number of the ask.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the caller has left, so that the attempts are to be broken off.
    #[prost(bool, tag = "2")]
    pub is_abandoned: bool,
}
