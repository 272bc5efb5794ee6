//! End-to-end tests of non-idempotent requests, with stand-ins on loopback.

mod scenarios;
mod small_system;
