//! Shared parts of the long-running processes: the main function, participation in the group, and
//! graceful shutdown.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod member_list;
pub mod node_group;
pub mod process_main;
pub mod stop_handle;
