//! Tests of team limits over all fronts: no window exceeds the bound, and what is allowed is served.

mod bucket;
mod changes;
#[path = "../common/mod.rs"]
mod common;
mod denials;
mod pool;
mod renewals;
mod served;
mod simulation;
mod window_bound;
