//! What the system's own processes say to each other: frames, connections, membership and exchange.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod codec;
pub mod connection;
pub mod frames;
pub mod strike_board;
pub mod strike_frames;
