//! Tests of the exchange over an in-memory network with simulated time.

mod domains;
mod failures;
mod fuzz;
mod network;
