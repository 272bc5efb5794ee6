//! Measures the cost of membership and exchange per member for several group sizes, as JSON lines.
//!
//! `cargo run --release -p alderhaven-peer --example member-slopes` simulates the groups in one
//! process on a virtual clock with encoded messages; all figures except CPU time and memory are
//! deterministic. `-- loopback` uses real sockets on loopback instead, which includes the cost of
//! system calls and timers. Numbers as arguments replace the default sizes.

mod group_costs;
mod loopback_group;
mod process_usage;
mod simulated_group;

use group_costs::GroupCosts;
use loopback_group::LoopbackGroup;
use serde::Serialize;
use simulated_group::SimulatedGroup;

/// Group sizes of the simulation unless given as arguments.
const DEFAULT_MEMBER_COUNTS: [usize; 4] = [8, 64, 256, 580];

/// Group sizes on loopback unless given as arguments; larger groups overload the worker threads and
/// don't converge.
const DEFAULT_LOOPBACK_MEMBER_COUNTS: [usize; 3] = [8, 64, 256];

/// Growth of a cost from the smallest to the largest group.
#[derive(Serialize)]
struct SlopeLine {
    slope: &'static str,
    at_smallest: f64,
    at_largest: f64,
    per_100_members: f64,
}

fn main() {
    let is_loopback = std::env::args().any(|argument| argument == "loopback");
    let given_sizes: Vec<usize> = std::env::args()
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let sizes = match (given_sizes.is_empty(), is_loopback) {
        (false, _) => given_sizes,
        (true, false) => DEFAULT_MEMBER_COUNTS.to_vec(),
        (true, true) => DEFAULT_LOOPBACK_MEMBER_COUNTS.to_vec(),
    };
    let costs: Vec<GroupCosts> = sizes
        .into_iter()
        .map(|size| {
            let costs = if is_loopback {
                LoopbackGroup::measure(size)
            } else {
                SimulatedGroup::measure(size)
            };
            print_line(&costs);
            costs
        })
        .collect();
    print_slope("bytes/s a member at rest", &costs, |costs| {
        Some(costs.idle.bytes_per_s)
    });
    print_slope("datagrams/s a member at rest", &costs, |costs| {
        Some(costs.idle.datagrams_per_s)
    });
    print_slope("share of a core a member at rest", &costs, |costs| {
        Some(costs.idle.core_share)
    });
    print_slope("KB of memory a member", &costs, |costs| {
        Some(costs.memory_kb)
    });
    print_slope("bytes/s a member over a day", &costs, |costs| {
        costs.events.as_ref().map(|events| events.day_bytes_per_s)
    });
    print_slope("share of a core a member over a day", &costs, |costs| {
        costs.events.as_ref().map(|events| events.day_core_share)
    });
}

/// Prints the growth of a cost if it was measured for the first and the last size.
fn print_slope(
    slope: &'static str,
    costs: &[GroupCosts],
    cost: impl Fn(&GroupCosts) -> Option<f64>,
) {
    let [first, .., last] = costs else {
        return;
    };
    let (Some(at_smallest), Some(at_largest)) = (cost(first), cost(last)) else {
        return;
    };
    let added_members = last.members as f64 - first.members as f64;
    print_line(&SlopeLine {
        slope,
        at_smallest,
        at_largest,
        per_100_members: (at_largest - at_smallest) * 100.0 / added_members,
    });
}

fn print_line(line: &impl Serialize) {
    match serde_json::to_string(line) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("the line can't be serialized as JSON: {error}"),
    }
}
