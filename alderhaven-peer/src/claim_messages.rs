//! What entries ask each other about requests that may run at most once.

/// A `ClaimQuery` asks the entry that claimed a key for the outcome of its request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimQuery {
    /// The idempotency key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The fingerprint of template, parameters and team; the outcome of another request is not told.
    #[prost(string, tag = "2")]
    pub fingerprint: String,
    /// How long the asker waits for a request that still runs, in microseconds.
    #[prost(uint64, tag = "3")]
    pub remaining_us: u64,
}

/// A `ClaimAnswer` answers the one query of a connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimAnswer {
    /// The outcome as JSON; empty where the entry does not hold it.
    #[prost(bytes = "bytes", tag = "1")]
    pub outcome: prost::bytes::Bytes,
}
