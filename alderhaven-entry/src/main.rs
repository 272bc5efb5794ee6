//! The alder-entry binary: one entry on one host.

use std::process::ExitCode;

use alderhaven_entry::node::EntryNode;
use alderhaven_node::process_main;

fn main() -> ExitCode {
    process_main::run::<EntryNode>("alder-entry")
}
