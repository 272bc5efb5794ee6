//! Clients of the platform's object API and host list, the state that follows them, the HTTP dialect
//! of the targets, and the HTTP server for operators.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config_follower;
pub mod config_handle;
pub mod config_state;
pub mod host_list;
pub mod http_client;
pub mod http_hosts;
pub mod http_store;
pub mod object_store;
pub mod operator_server;
pub mod page_cursor;
pub mod readable_entries;
pub mod retry_backoff;
pub mod target_dialect;
pub mod target_watch;
pub mod url_text;
