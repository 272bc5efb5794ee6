//! Tests that a leaving target gets no new attempts after a time bound, whether the host list, an
//! operator or the target itself reports first that it is leaving.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use alderhaven_core::ids::SnapshotId;
use alderhaven_core::time::TimeSpan;
use alderhaven_proof::cluster::TestCluster;
use alderhaven_proof::cluster_options::{ClusterOptions, FAN_OUT_TEMPLATE};
use alderhaven_proof::{condition, operator_view};
use alderhaven_standin::platform_faults::PlatformFaults;
use alderhaven_standin::run_log::RunLog;
use alderhaven_standin::service_time::ServiceTime;
use alderhaven_standin::target_server::TargetServer;
use alderhaven_standin::target_state::{TargetFaults, TargetSpec};
use alderhaven_store::host_list::{HostRecord, HostRole, HostState};
use serde_json::{Value, json};

use crate::support;

/// The time within which all nodes must stop sending attempts to a leaving target.
const LEAVING_BOUND: Duration = Duration::from_secs(3);
/// The timeout until a target is used, initially or again.
const CONVERGENCE_BOUND: Duration = Duration::from_secs(9);
/// The most queries that the background load sends to each entry.
const MAX_QUERIES: usize = 5_000;
/// The number of queries to each entry that must not reach the leaving target.
const QUERIES_PER_ENTRY: usize = 40;
/// The shard of the leaving target, which is in process 0.
const LEAVING_SHARD: usize = 1;

/// Background load: sends sequential queries to each entry and checks that each answer is complete.
struct SteadyLoad {
    stop: Arc<AtomicBool>,
    callers: Vec<tokio::task::JoinHandle<usize>>,
}

impl SteadyLoad {
    fn start(entries: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let callers = entries.iter().map(|entry| {
            let (entry, stop) = (*entry, Arc::clone(&stop));
            tokio::spawn(async move {
                let mut sent = 0;
                while sent < MAX_QUERIES && !stop.load(Ordering::Relaxed) {
                    let query = support::build_query(FAN_OUT_TEMPLATE, "steady");
                    let reply = query.send(entry).await.unwrap();
                    assert_eq!(reply.outcome_or_code(), "complete", "{}", reply.body);
                    sent += 1;
                }
                sent
            })
        });
        Self {
            callers: callers.collect(),
            stop,
        }
    }

    async fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for caller in self.callers {
            assert!(caller.await.unwrap() > 0);
        }
    }
}

async fn start() -> (TestCluster, Vec<SocketAddr>) {
    let options = ClusterOptions::builder().entries(2).build();
    let cluster = support::start_cluster(options).await;
    let entries = (0..2).map(|number| cluster.entry_address(number).unwrap());
    let entries = entries.collect();
    (cluster, entries)
}

/// Returns the number of runs at the leaving target so far.
async fn target_run_count(cluster: &TestCluster) -> usize {
    let query = support::build_query(FAN_OUT_TEMPLATE, "steady");
    let runs = cluster.runs_at(0, &query).await.unwrap();
    runs.iter()
        .filter(|run| run.shard.0 as usize == LEAVING_SHARD)
        .count()
}

async fn await_more_runs(cluster: &TestCluster, more_than: usize) {
    condition::within(CONVERGENCE_BOUND, "a run at the target", async || {
        Ok((target_run_count(cluster).await > more_than).then_some(()))
    })
    .await
    .unwrap();
}

/// Returns true if a node's debug dump shows the target as leaving and its dispatcher as empty.
fn is_drained(dump: &Value, target: &str) -> bool {
    let leaving = dump["leaving_targets"].as_array();
    let dispatcher = &dump["lanes"][target];
    let is_empty =
        dispatcher.is_null() || (dispatcher["in_flight"] == 0 && dispatcher["queued"] == 0);
    leaving.is_some_and(|names| names.contains(&json!(target))) && is_empty
}

/// Checks that all nodes drain the target within [`LEAVING_BOUND`], and that it gets no run after
/// that while every answer is complete.
async fn assert_no_new_work(cluster: &TestCluster, entries: &[SocketAddr], target: &str) {
    let operators = cluster.operator_addresses().unwrap();
    condition::within(
        LEAVING_BOUND,
        "all nodes have drained the target",
        async || {
            for operator in &operators {
                let dump: Value = operator_view::get_json(*operator, "/debug/dump").await?;
                if !is_drained(&dump, target) {
                    return Ok(None);
                }
            }
            Ok(Some(()))
        },
    )
    .await
    .unwrap();
    let before = target_run_count(cluster).await;
    for entry in entries {
        for _ in 0..QUERIES_PER_ENTRY {
            let reply = support::build_query(FAN_OUT_TEMPLATE, "steady")
                .send(*entry)
                .await
                .unwrap();
            assert_eq!(reply.outcome_or_code(), "complete", "{}", reply.body);
        }
    }
    assert_eq!(
        target_run_count(cluster).await,
        before,
        "{target} got a run after it was drained"
    );
}

/// The host list reports a leaving target with a lag of one second. Answers stay complete, and the
/// target gets no run after the bound. It is used again after the host list shows it as live.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_reported_by_host_list() {
    let (cluster, entries) = start().await;
    let platform = cluster.platform_client().unwrap();
    let faults = PlatformFaults {
        host_lag_ms: 1_000,
        ..PlatformFaults::default()
    };
    platform.set_faults(&faults).await.unwrap();
    let replica = cluster.manifest.shards[LEAVING_SHARD].replicas[0].clone();
    let target = replica.target.to_string();
    let load = SteadyLoad::start(&entries);
    await_more_runs(&cluster, 0).await;
    let leaving = HostRecord {
        host: target.parse().unwrap(),
        role: HostRole::Target,
        domain: replica.domain,
        address: replica.address,
        state: HostState::Leaving,
    };
    platform.put_host(&leaving).await.unwrap();
    assert_no_new_work(&cluster, &entries, &target).await;
    // The target is used again after the platform lists it as live.
    let live = HostRecord {
        state: HostState::Live,
        ..leaving
    };
    platform.put_host(&live).await.unwrap();
    await_more_runs(&cluster, target_run_count(&cluster).await).await;
    load.stop().await;
}

/// An operator drains a target with `alderctl` and ends the drain later. Answers stay complete, and
/// the target gets no run in between and runs again afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_published_by_operator() {
    let (cluster, entries) = start().await;
    let target = cluster.manifest.shards[LEAVING_SHARD].replicas[0]
        .target
        .to_string();
    let load = SteadyLoad::start(&entries);
    await_more_runs(&cluster, 0).await;
    let arguments = ["drain", "--target", &target];
    let drained = cluster.alderctl("ama", &arguments).await.unwrap();
    assert_eq!(drained.exit_code, Some(0), "{}", drained.report);
    assert_no_new_work(&cluster, &entries, &target).await;
    let arguments = ["drain", "--target", &target, "--end"];
    let ended = cluster.alderctl("ama", &arguments).await.unwrap();
    assert_eq!(ended.exit_code, Some(0), "{}", ended.report);
    await_more_runs(&cluster, target_run_count(&cluster).await).await;
    load.stop().await;
}

/// A target reports in its replies that it is draining, and refuses attempts without running them.
/// Answers stay complete, and the entries send it no attempt after a refusal, although it accepts
/// them again.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_reported_in_reply() {
    let (cluster, entries) = start().await;
    let mut manifest = cluster.manifest.clone();
    let shard = &mut manifest.shards[LEAVING_SHARD];
    let spec = TargetSpec {
        target: "sample-1-9".parse().unwrap(),
        domain: shard.replicas[0].domain.clone(),
        service: manifest.service.clone(),
        shard: shard.shard,
        version: shard.version,
        slots: 2,
        connections: 25,
        max_queue_length: 4,
        connect_cost: TimeSpan::ZERO,
        service_time: ServiceTime::default(),
        seed: 1,
    };
    let runs = Arc::new(RunLog::default());
    let target = TargetServer::start(spec, Arc::clone(&runs)).await.unwrap();
    shard.replicas[0] = target.replica_entry();
    manifest.snapshot = SnapshotId(2);
    let version = cluster.publish_manifest(&manifest).await.unwrap();
    cluster.await_in_force(version).await.unwrap();
    let load = SteadyLoad::start(&entries);
    condition::within(CONVERGENCE_BOUND, "a run at the target", async || {
        Ok((!runs.records().is_empty()).then_some(()))
    })
    .await
    .unwrap();
    let draining = TargetFaults {
        draining: true,
        ..TargetFaults::default()
    };
    target.state().set_faults(draining);
    let operators = cluster.operator_addresses().unwrap();
    condition::within(
        LEAVING_BOUND,
        "the entries have drained the target",
        async || {
            for operator in &operators[..entries.len()] {
                let dump: Value = operator_view::get_json(*operator, "/debug/dump").await?;
                if !is_drained(&dump, "sample-1-9") {
                    return Ok(None);
                }
            }
            Ok(Some(()))
        },
    )
    .await
    .unwrap();
    target.state().set_faults(TargetFaults::default());
    let before = runs.records().len();
    for entry in &entries {
        for _ in 0..QUERIES_PER_ENTRY {
            let reply = support::build_query(FAN_OUT_TEMPLATE, "steady")
                .send(*entry)
                .await
                .unwrap();
            assert_eq!(reply.outcome_or_code(), "complete", "{}", reply.body);
        }
    }
    assert_eq!(
        runs.records().len(),
        before,
        "the target got a run after it was drained"
    );
    load.stop().await;
}
