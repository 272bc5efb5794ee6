//! Tests of membership over an in-memory network with simulated time.

mod domains;
mod failures;
mod fuzz;
mod lifecycle;
mod network;
mod reports;
mod store_answers;
