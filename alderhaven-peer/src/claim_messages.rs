//! Messages between entries about requests that may run at most once.

/// Query to the entry that claimed a key for the outcome of its request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimQuery {
    /// Idempotency key of the request.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Fingerprint of template, parameters and team; no outcome is returned to a request with
    /// another fingerprint.
    #[prost(string, tag = "2")]
    pub fingerprint: String,
    /// How long the sender waits for a request that is still running, in microseconds.
    #[prost(uint64, tag = "3")]
    pub remaining_us: u64,
}

/// Reply to the single query of a connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimAnswer {
    /// Outcome as JSON; empty if the entry doesn't hold it.
    #[prost(bytes = "bytes", tag = "1")]
    pub outcome: prost::bytes::Bytes,
}
