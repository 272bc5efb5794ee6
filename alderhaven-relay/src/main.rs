//! The `alder-relay` binary, which runs one relay process.

use std::process::ExitCode;

use alderhaven_node::process_main;
use alderhaven_relay::node::RelayNode;

fn main() -> ExitCode {
    process_main::run::<RelayNode>("alder-relay")
}
