//! Tests of what callers are told by a running entry.

mod connections;
mod refusals;
mod request_log;
mod support;
