//! What processes take in from others: bytes held in memory and open connections, within limits.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod body_error;
pub mod byte_ledger;
pub mod connection_limit;
pub mod connection_slot;
pub mod head_account;
pub mod held_buffer;
pub mod held_bytes;
pub mod holding;
pub mod intake_metrics;
pub mod lingering_stream;
pub mod metered_stream;
pub mod socket_options;
