//! What entries and relays have in common as processes: their main function, their part in the group and planned
//! stops.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod member_list;
pub mod node_group;
pub mod process_main;
pub mod stop_handle;
