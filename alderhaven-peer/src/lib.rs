//! Messages, framing and connections between processes, and the tasks that run group membership and
//! configuration exchange over them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod claim_messages;
pub mod codec;
pub mod connection;
pub mod control_messages;
pub mod exchange_links;
pub mod exchange_messages;
pub mod frame_segments;
pub mod frames;
pub mod gossip_messages;
pub mod group_messages;
pub mod malformed_message;
pub mod peer_driver;
pub mod peer_handle;
pub mod peer_node;
pub mod peer_options;
pub mod peer_traffic;
pub mod strike_messages;
pub mod strike_tracker;
pub mod yielding_reader;
