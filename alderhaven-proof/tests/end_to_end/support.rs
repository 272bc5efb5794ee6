//! Helpers that several test modules share.

use alderhaven_proof::caller::CallerQuery;
use alderhaven_proof::cluster::TestCluster;
use alderhaven_proof::cluster_options::{ClusterOptions, FAN_OUT_TEMPLATE, TestBinaries};
use alderhaven_proof::condition;

/// Starts a cluster of the binaries that were built with this test.
pub async fn start_cluster(options: ClusterOptions) -> TestCluster {
    let binaries = TestBinaries {
        standin: env!("CARGO_BIN_EXE_proof-standin").into(),
        relay: env!("CARGO_BIN_EXE_proof-relay").into(),
        entry: env!("CARGO_BIN_EXE_proof-entry").into(),
        alderctl: env!("CARGO_BIN_EXE_proof-alderctl").into(),
        scratch_base: env!("CARGO_TARGET_TMPDIR").into(),
    };
    TestCluster::start(binaries, &options)
        .await
        .expect("the cluster starts")
}

/// Builds a query of a template without an idempotency key.
pub fn build_query(template: &str, key: &str) -> CallerQuery {
    CallerQuery::builder().template(template).key(key).build()
}

/// Sends fan-out queries until the relays have a dispatcher for every target, and returns the relay
/// with the most dispatchers. The assignment depends on the relays' random ports, so that a relay
/// may have none.
pub async fn relay_with_most_targets(cluster: &TestCluster) -> usize {
    let entry = cluster
        .entry_address(0)
        .expect("the entry reported its address");
    let targets: usize = cluster
        .manifest
        .shards
        .iter()
        .map(|shard| shard.replicas.len())
        .sum();
    condition::until("a dispatcher for every target", async || {
        build_query(FAN_OUT_TEMPLATE, "warm").send(entry).await?;
        let mut counts = Vec::new();
        for relay in 0..cluster.relays.len() {
            counts.push((cluster.target_dispatchers(relay).await?.len(), relay));
        }
        let known: usize = counts.iter().map(|(count, _)| count).sum();
        let most = counts.into_iter().max().map(|(_, relay)| relay);
        Ok(most.filter(|_| known == targets))
    })
    .await
    .expect("every target is queried in time")
}

/// Returns the shards with a replica that the relay dispatches to, in order.
pub async fn shards_of_relay(cluster: &TestCluster, relay: usize) -> Vec<u64> {
    let dispatchers = cluster.target_dispatchers(relay).await;
    let dispatchers = dispatchers.expect("the relay dumps its state");
    let is_dispatched = |target: &str| dispatchers.iter().any(|(name, _)| name == target);
    let shards = cluster.manifest.shards.iter().filter(|shard| {
        let mut replicas = shard.replicas.iter();
        replicas.any(|replica| is_dispatched(replica.target.as_str()))
    });
    shards.map(|shard| u64::from(shard.shard.0)).collect()
}
