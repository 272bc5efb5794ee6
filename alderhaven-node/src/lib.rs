//! What entries and relays have in common as processes: their part in the group and planned stops.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod node_group;
pub mod stop_handle;
