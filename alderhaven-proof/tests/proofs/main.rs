//! End-to-end proofs of the promises over the separate binaries, one module a promise.

mod config;
mod coverage;
mod interface;
mod leaving;
mod not_run;
mod own_answer;
mod snapshot;
mod support;
