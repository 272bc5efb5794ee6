//! The edges towards the outside: the platform's object API, its host list and the targets' dialect.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod dialect;
pub mod host_list;
pub mod object_store;
pub mod operator_server;
