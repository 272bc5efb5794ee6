//! Tests of team limits over all fronts: no window exceeds the bound, and what is allowed is served.

mod bucket;
mod served;
mod simulation;
mod window_bound;
