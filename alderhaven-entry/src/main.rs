//! The `alder-entry` binary: runs one entry.

use std::process::ExitCode;

use alderhaven_entry::node::EntryNode;
use alderhaven_node::process_main;

fn main() -> ExitCode {
    process_main::run::<EntryNode>("alder-entry")
}
