//! Tests of an entry and its relays where targets crash and connections fall silent.

mod quarantine;
mod silence;
mod system;
mod target;
