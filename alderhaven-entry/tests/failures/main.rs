//! Tests of entries and relays when targets crash and connections go silent.

mod quarantine;
mod silence;
mod stopping;
mod system;
mod target;
