//! Requests that may run at most once, end to end over stand-ins on loopback.

mod scenarios;
mod small_system;
