//! End-to-end proofs of the promises over the separate binaries, one module a promise.

mod coverage;
mod not_run;
mod own_answer;
mod support;
