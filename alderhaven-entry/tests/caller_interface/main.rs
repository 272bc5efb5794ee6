//! Tests of the HTTP interface for callers, against a running entry.

mod connections;
mod refusals;
mod request_log;
mod support;
