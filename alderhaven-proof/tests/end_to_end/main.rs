//! End-to-end proofs of the promises over the separate binaries, one module a promise.

mod at_most_once;
mod config;
mod coverage;
mod group;
mod interface;
mod leaving;
mod not_run;
mod own_answer;
mod snapshot;
mod stops;
mod support;
