//! Tests of the exchange over a small in-memory network with passed-in time.

mod domains;
mod failures;
mod fuzz;
mod network;
