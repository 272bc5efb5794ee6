//! End-to-end tests of the promises with the separate binaries, one module per promise or area.

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
