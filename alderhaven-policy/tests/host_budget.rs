//! Tests of how the memory and descriptors of a process are divided.

use alderhaven_policy::host_budget::HostResources;

fn assert_fits(memory_mb: usize, descriptors: usize) {
    let resources = HostResources {
        memory_mb,
        descriptors,
    };
    let budget = resources.budget();
    let sockets = budget.caller_connections * 5 / 4
        + budget.directory_connections * 5 / 4
        + 2 * budget.service_connections * 5 / 4
        + 2 * budget.peer_connections;
    assert!(
        sockets <= (descriptors - 200) * 4 / 5,
        "{resources:?}: {budget:?}"
    );
    let memory = budget.requests.as_bytes()
        + budget.replies.as_bytes()
        + budget.frames.as_bytes()
        + budget.caller_connections * (64 << 10);
    assert!(
        memory <= memory_mb * 1_000_000 * 19 / 20,
        "{resources:?}: {budget:?}"
    );
}

// What others make a process hold must leave descriptors and memory for targets, store and the process.
#[test]
fn budget_leaves_a_part_of_the_host() {
    for (memory_mb, descriptors) in [(64, 1_000), (160, 4_100), (260, 4_100), (512, 8_192)] {
        assert_fits(memory_mb, descriptors);
    }
}
