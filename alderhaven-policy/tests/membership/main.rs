//! Tests of membership over a small in-memory network with passed-in time.

mod domains;
mod failures;
mod fuzz;
mod lifecycle;
mod network;
mod reports;
mod store_answers;
