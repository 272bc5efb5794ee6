//! Fault switches of targets and commands of the control API.

use std::time::Duration;

use alderhaven_core::ids::{AttemptId, IndexVersion, ShardId, SnapshotId};
use alderhaven_core::outcome::AttemptOutcome;
use alderhaven_core::time::TimeSpan;
use alderhaven_standin::fleet_control::{ControlReply, TargetReport};
use alderhaven_standin::held_indexes::{HeldIndex, HeldIndexes, IndexState};
use alderhaven_standin::http_connection::HttpConnection;
use alderhaven_standin::platform_server::{PlatformOptions, PlatformServer};
use alderhaven_standin::registration;
use alderhaven_standin::run_log::RunStatus;
use alderhaven_standin::service_layout::ServiceLayout;
use alderhaven_standin::service_time::ServiceTime;
use alderhaven_standin::target_faults::TargetFaults;
use alderhaven_standin::target_fleet::{FleetOptions, TargetFleet};
use alderhaven_store::host_list::{HostListing, HostState};
use alderhaven_store::target_dialect::TargetRequest;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};

const TARGET_ID: &str = "sample-1-0";

async fn sample_fleet() -> TargetFleet {
    let layout = ServiceLayout {
        shards: 2,
        connect_cost: TimeSpan::ZERO,
        service_time: ServiceTime {
            mean: TimeSpan::from_millis(1),
            sigma: 0.0,
            ..ServiceTime::default()
        },
        ..ServiceLayout::default()
    };
    TargetFleet::start(FleetOptions {
        services: vec![layout],
        ..FleetOptions::default()
    })
    .await
    .unwrap()
}

fn attempt(sequence: u64, shard: u32, version: u64, text: &str) -> TargetRequest {
    TargetRequest {
        attempt: AttemptId {
            origin: 1,
            sequence,
        },
        service: "sample".to_owned(),
        template: "look-up".to_owned(),
        snapshot: SnapshotId(1),
        shard: ShardId(shard),
        version: IndexVersion(version),
        remaining: TimeSpan::from_secs(5),
        parameters: Bytes::from(json!({ "isbn": text }).to_string()),
    }
}

async fn connect(fleet: &TargetFleet) -> HttpConnection {
    let target = fleet.target(&TARGET_ID.parse().unwrap()).unwrap();
    HttpConnection::connect(target.address()).await.unwrap()
}

async fn send_attempt(connection: &mut HttpConnection, request: &TargetRequest) -> AttemptOutcome {
    let response = connection.send(request.to_http("target").unwrap()).await;
    let response = response.unwrap();
    request.classify_reply(response.status(), response.headers())
}

async fn post_control(fleet: &TargetFleet, call: Value) -> Response<Bytes> {
    let mut connection = HttpConnection::connect(fleet.control_address())
        .await
        .unwrap();
    let request = Request::post("/control").body(Full::from(call.to_string()));
    connection.send(request.unwrap()).await.unwrap()
}

async fn get_json<T: serde::de::DeserializeOwned>(server: std::net::SocketAddr, path: &str) -> T {
    let mut connection = HttpConnection::connect(server).await.unwrap();
    let request = Request::get(path).body(Full::default()).unwrap();
    let response = connection.send(request).await.unwrap();
    serde_json::from_slice(response.body()).unwrap()
}

#[tokio::test]
async fn control_poison_crashes_and_restarts_target() {
    let fleet = sample_fleet().await;
    let call = json!({"call": "set_faults", "targets": [TARGET_ID],
        "faults": {"poison_down_ms": 1}});
    assert_eq!(post_control(&fleet, call).await.status(), StatusCode::OK);
    let mut idle = connect(&fleet).await;
    let sound = attempt(1, 1, 1, "sound");
    assert_eq!(
        send_attempt(&mut idle, &sound).await,
        AttemptOutcome::Answered
    );
    let mut poisoned = connect(&fleet).await;
    let poison = attempt(2, 1, 1, "poison-1").to_http("target").unwrap();
    assert!(poisoned.send(poison).await.is_err());
    // A crash closes the target's other connections too.
    assert!(idle.send(sound.to_http("target").unwrap()).await.is_err());
    let address = fleet.target(&TARGET_ID.parse().unwrap()).unwrap().address();
    let mut reconnected = loop {
        match HttpConnection::connect(address).await {
            Ok(connection) => break connection,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    let again = attempt(3, 1, 1, "sound");
    assert_eq!(
        send_attempt(&mut reconnected, &again).await,
        AttemptOutcome::Answered
    );
    let reports: Vec<TargetReport> = get_json(fleet.control_address(), "/targets").await;
    let crashes: u32 = reports.iter().map(|report| report.crashes).sum();
    assert_eq!(crashes, 1);
    let ends: Vec<RunStatus> = fleet
        .run_log()
        .records()
        .iter()
        .map(|run| run.status)
        .collect();
    assert_eq!(
        ends,
        [RunStatus::Answered, RunStatus::Dropped, RunStatus::Answered]
    );
    fleet.stop().await;
}

#[tokio::test]
async fn control_silence_spares_new_connections() {
    let fleet = sample_fleet().await;
    let mut old = connect(&fleet).await;
    let first = attempt(1, 1, 1, "a");
    assert_eq!(
        send_attempt(&mut old, &first).await,
        AttemptOutcome::Answered
    );
    let call = json!({"call": "silence", "targets": [TARGET_ID]});
    assert_eq!(post_control(&fleet, call).await.status(), StatusCode::OK);
    let silent = tokio::spawn(async move {
        let request = attempt(2, 1, 1, "b").to_http("target").unwrap();
        old.send(request).await
    });
    let mut new = connect(&fleet).await;
    let third = attempt(3, 1, 1, "c");
    assert_eq!(
        send_attempt(&mut new, &third).await,
        AttemptOutcome::Answered
    );
    assert!(!silent.is_finished());
    // The second attempt never reached the target, and the stop doesn't wait for it.
    assert_eq!(fleet.run_log().run_count(), 2);
    fleet.stop().await;
    assert!(silent.await.unwrap().is_err());
}

#[tokio::test]
async fn control_publish_keeps_former_version_for_grace() {
    let platform = PlatformServer::start(PlatformOptions::default());
    let platform = platform.await.unwrap();
    let fleet = sample_fleet().await;
    registration::register(&fleet, platform.address())
        .await
        .unwrap();
    let mut connection = connect(&fleet).await;
    let publish = |grace_ms: u64, shards: Option<u32>| {
        json!({"call": "publish", "service": "sample", "grace_ms": grace_ms,
            "shards": shards, "platform": platform.address()})
    };
    let reply = post_control(&fleet, publish(60_000, None)).await;
    let reply: ControlReply = serde_json::from_slice(reply.body()).unwrap();
    let manifest = reply.manifest.unwrap();
    assert_eq!(manifest.snapshot, SnapshotId(2));
    assert_eq!(manifest.shards[1].version, IndexVersion(2));
    for (number, version) in [(1, 1), (2, 2)] {
        let request = attempt(number, 1, version, "a");
        let outcome = send_attempt(&mut connection, &request).await;
        assert_eq!(outcome, AttemptOutcome::Answered);
    }
    // With one shard, all four targets hold it; without grace, the former version is gone.
    let reply = post_control(&fleet, publish(0, Some(1))).await;
    let reply: ControlReply = serde_json::from_slice(reply.body()).unwrap();
    let manifest = reply.manifest.unwrap();
    assert!(manifest.check().is_empty());
    assert_eq!(manifest.shards.len(), 1);
    assert_eq!(manifest.shards[0].replicas.len(), 4);
    let gone = send_attempt(&mut connection, &attempt(3, 1, 2, "a")).await;
    assert_eq!(gone, AttemptOutcome::VersionGone);
    let held = send_attempt(&mut connection, &attempt(4, 0, 3, "a")).await;
    assert_eq!(held, AttemptOutcome::Answered);
    fleet.stop().await;
    platform.stop().await;
}

#[tokio::test]
async fn control_leave_marks_host_and_stops_target() {
    let platform = PlatformServer::start(PlatformOptions::default());
    let platform = platform.await.unwrap();
    let fleet = sample_fleet().await;
    registration::register(&fleet, platform.address())
        .await
        .unwrap();
    let call = json!({"call": "leave", "targets": [TARGET_ID], "stop_after_ms": 1,
        "platform": platform.address()});
    assert_eq!(post_control(&fleet, call).await.status(), StatusCode::OK);
    let listing: HostListing = get_json(platform.address(), "/hosts").await;
    let leaving = listing
        .hosts
        .iter()
        .filter(|host| host.state == HostState::Leaving);
    let leaving: Vec<&str> = leaving.map(|host| host.host.as_str()).collect();
    assert_eq!(leaving, [TARGET_ID]);
    let target = fleet.target(&TARGET_ID.parse().unwrap()).unwrap();
    while !target.is_stopping() {
        tokio::task::yield_now().await;
    }
    assert_eq!(fleet.host_records().len(), 3);
    let manifest = &fleet.manifests(SnapshotId(2))[0];
    assert_eq!(manifest.shards[1].replicas.len(), 1);
    assert_eq!(fleet.services().leaving_targets().len(), 1);
    fleet.stop().await;
    platform.stop().await;
}

#[tokio::test]
async fn control_rejects_unknown_names() {
    let fleet = sample_fleet().await;
    for call in [
        json!({"call": "silence", "targets": ["sample-9-0"]}),
        json!({"call": "publish", "service": "other", "grace_ms": 0}),
        json!({"call": "publish", "service": "sample", "grace_ms": 0, "shards": 5}),
        json!({"call": "explode"}),
    ] {
        let reply = post_control(&fleet, call).await;
        assert_eq!(reply.status(), StatusCode::BAD_REQUEST);
    }
    fleet.stop().await;
}

#[test]
fn slowdown_factor_cold_by_runs_and_age() {
    let faults = TargetFaults {
        slow_factor: 2.0,
        cold_factor: 5.0,
        cold_runs: 3,
        cold_ms: 100,
        ..TargetFaults::default()
    };
    let factor = |runs, millis| faults.slowdown_factor(runs, Duration::from_millis(millis));
    assert!((factor(2, 500) - 10.0).abs() < 1e-9);
    assert!((factor(3, 99) - 10.0).abs() < 1e-9);
    assert!((factor(3, 100) - 2.0).abs() < 1e-9);
}

#[tokio::test(start_paused = true)]
async fn state_of_former_index_by_time() {
    let index = |shard, version| HeldIndex {
        shard: ShardId(shard),
        version: IndexVersion(version),
    };
    let indexes = HeldIndexes::new(index(1, 1));
    indexes.replace(index(0, 2), Duration::from_secs(1));
    assert_eq!(indexes.state_of(index(1, 1)), IndexState::Held);
    assert_eq!(indexes.state_of(index(0, 1)), IndexState::Gone);
    assert_eq!(indexes.state_of(index(2, 1)), IndexState::OtherShard);
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_eq!(indexes.state_of(index(1, 1)), IndexState::Gone);
    assert_eq!(indexes.state_of(index(0, 2)), IndexState::Held);
}
