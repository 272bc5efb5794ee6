//! HTTP interfaces of the stand-ins on loopback.

use alderhaven_core::config_object::StoredObject;
use alderhaven_core::ids::{AttemptId, IndexVersion, ShardId, SnapshotId};
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_core::outcome::{AttemptOutcome, NotRunReason};
use alderhaven_core::time::TimeSpan;
use alderhaven_standin::http_connection::HttpConnection;
use alderhaven_standin::platform_faults::PlatformFaults;
use alderhaven_standin::platform_server::{PlatformOptions, PlatformServer};
use alderhaven_standin::registration;
use alderhaven_standin::rows::{DerivedRow, derive_rows};
use alderhaven_standin::run_log::{RunRecord, RunStatus};
use alderhaven_standin::service_layout::{DeploymentKind, ServiceLayout};
use alderhaven_standin::service_time::ServiceTime;
use alderhaven_standin::target_faults::TargetFaults;
use alderhaven_standin::target_fleet::{FleetOptions, TargetFleet};
use alderhaven_store::host_list::HostListing;
use alderhaven_store::object_store::{IF_VERSION_HEADER, ObjectList, WRITE_ID_HEADER};
use alderhaven_store::target_dialect::{TargetRequest, free_slots};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;

const PARAMETERS: &str = r#"{"isbn":"9780000000002"}"#;

fn sample_layout() -> ServiceLayout {
    ServiceLayout {
        shards: 2,
        slots: 1,
        max_queue_length: 0,
        service_time: ServiceTime {
            mean: TimeSpan::from_millis(1),
            ..ServiceTime::default()
        },
        ..ServiceLayout::default()
    }
}

async fn sample_fleet(layout: ServiceLayout) -> TargetFleet {
    TargetFleet::start(FleetOptions {
        services: vec![layout],
        ..FleetOptions::default()
    })
    .await
    .unwrap()
}

fn attempt(sequence: u64, version: u64) -> TargetRequest {
    TargetRequest {
        attempt: AttemptId {
            origin: 1,
            sequence,
        },
        service: "sample".to_owned(),
        template: "look-up".to_owned(),
        snapshot: SnapshotId(1),
        shard: ShardId(1),
        version: IndexVersion(version),
        remaining: TimeSpan::from_secs(5),
        parameters: Bytes::from_static(PARAMETERS.as_bytes()),
    }
}

async fn send(connection: &mut HttpConnection, request: &TargetRequest) -> Response<Bytes> {
    let request = request.to_http("target").unwrap();
    connection.send(request).await.unwrap()
}

fn get(path: &str) -> Request<Full<Bytes>> {
    Request::get(path).body(Full::default()).unwrap()
}

fn put(path: &str, version: u64, body: &'static str) -> Request<Full<Bytes>> {
    Request::put(path)
        .header(IF_VERSION_HEADER, version)
        .header(WRITE_ID_HEADER, "w1")
        .body(Full::from(body))
        .unwrap()
}

fn parse_body<T: serde::de::DeserializeOwned>(response: &Response<Bytes>) -> T {
    serde_json::from_slice(response.body()).unwrap()
}

#[tokio::test]
async fn platform_writes_and_conflicts() {
    let platform = PlatformServer::start(PlatformOptions::default())
        .await
        .unwrap();
    let mut connection = HttpConnection::connect(platform.address()).await.unwrap();
    let absent = connection.send(get("/objects/team/desk")).await.unwrap();
    assert_eq!(absent.status(), StatusCode::NOT_FOUND);
    let written = connection.send(put("/objects/team/desk", 0, "{}")).await;
    let written: StoredObject = parse_body(&written.unwrap());
    assert_eq!(written.version.revision, 1);
    let conflict = connection.send(put("/objects/team/desk", 0, "{}")).await;
    let conflict = conflict.unwrap();
    assert_eq!(conflict.status(), StatusCode::CONFLICT);
    assert_eq!(parse_body::<StoredObject>(&conflict), written);
    let none = connection.send(put("/objects/team/other", 3, "{}")).await;
    assert_eq!(none.unwrap().body().as_ref(), b"null");
    let watched = connection.send(get("/watch?kinds=team,template&after=0&wait_ms=1000"));
    let watched: ObjectList = parse_body(&watched.await.unwrap());
    assert_eq!(watched.objects, vec![written]);
    let unavailable = connection
        .send(get("/watch?kinds=team&after=9&wait_ms=0"))
        .await;
    assert_eq!(unavailable.unwrap().status(), StatusCode::GONE);
    platform.stop().await;
}

#[tokio::test]
async fn platform_faults_over_http() {
    let platform = PlatformServer::start(PlatformOptions::default())
        .await
        .unwrap();
    let mut connection = HttpConnection::connect(platform.address()).await.unwrap();
    let faults = Request::post("/faults")
        .body(Full::from(r#"{"lose_write_replies":1}"#))
        .unwrap();
    assert_eq!(
        connection.send(faults).await.unwrap().status(),
        StatusCode::OK
    );
    let lost = connection.send(put("/objects/team/desk", 0, "{}")).await;
    assert!(lost.is_err(), "a lost reply must close the connection");
    assert_eq!(platform.store().table().revision().revision, 1);
    platform.store().set_faults(PlatformFaults {
        throttle: true,
        ..PlatformFaults::default()
    });
    let mut connection = HttpConnection::connect(platform.address()).await.unwrap();
    let throttled = connection.send(get("/objects?kinds=team")).await.unwrap();
    assert_eq!(throttled.status(), StatusCode::TOO_MANY_REQUESTS);
    assert!(throttled.headers().contains_key("retry-after-ms"));
    platform.stop().await;
}

#[tokio::test]
async fn platform_stops_while_watched() {
    let platform = PlatformServer::start(PlatformOptions::default())
        .await
        .unwrap();
    let mut connection = HttpConnection::connect(platform.address()).await.unwrap();
    let watch = tokio::spawn(async move {
        let path = "/watch?kinds=team&after=0&wait_ms=30000";
        connection.send(get(path)).await
    });
    while platform.store().call_counts().watches == 0 {
        tokio::task::yield_now().await;
    }
    platform.stop().await;
    assert!(watch.await.unwrap().is_err());
}

#[tokio::test]
async fn fleet_registers_and_answers() {
    let platform = PlatformServer::start(PlatformOptions::default())
        .await
        .unwrap();
    let fleet = sample_fleet(sample_layout()).await;
    registration::register(&fleet, platform.address())
        .await
        .unwrap();
    let manifests = registration::register(&fleet, platform.address())
        .await
        .unwrap();
    assert_eq!(manifests[0].snapshot, SnapshotId(2));
    assert!(manifests[0].check().is_empty());
    let mut connection = HttpConnection::connect(platform.address()).await.unwrap();
    let listed = connection
        .send(get("/objects?kinds=manifest"))
        .await
        .unwrap();
    let listed: ObjectList = parse_body(&listed);
    let body = listed.objects[0].body.as_ref().unwrap();
    let manifest: SnapshotManifest = serde_json::from_str(body).unwrap();
    assert_eq!(manifest, manifests[0]);
    let hosts: HostListing = parse_body(&connection.send(get("/hosts")).await.unwrap());
    assert_eq!(hosts.hosts.len(), 4);

    let address = manifest.shards[1].replicas[0].address;
    let mut connection = HttpConnection::connect(address).await.unwrap();
    let request = attempt(1, 1);
    let response = send(&mut connection, &request).await;
    let outcome = request.classify_reply(response.status(), response.headers());
    assert_eq!(outcome, AttemptOutcome::Answered);
    assert_eq!(free_slots(response.headers()), Some(1));
    let rows: Vec<DerivedRow> = parse_body(&response);
    let service = "sample".parse().unwrap();
    assert_eq!(
        rows,
        derive_rows(&service, ShardId(1), IndexVersion(1), PARAMETERS)
    );
    let gone = attempt(2, 7);
    let response = send(&mut connection, &gone).await;
    let outcome = gone.classify_reply(response.status(), response.headers());
    assert_eq!(outcome, AttemptOutcome::VersionGone);

    let mut control = HttpConnection::connect(fleet.control_address())
        .await
        .unwrap();
    let runs: Vec<RunRecord> = parse_body(&control.send(get("/runs")).await.unwrap());
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].attempt, request.attempt);
    assert_eq!(runs[0].status, RunStatus::Answered);
    fleet.stop().await;
    platform.stop().await;
}

#[tokio::test]
async fn target_sheds_cancels_and_drains() {
    let mut layout = sample_layout();
    layout.service_time.mean = TimeSpan::from_secs(60);
    layout.service_time.sigma = 0.0;
    let fleet = sample_fleet(layout).await;
    let target = fleet.target(&"sample-1-0".parse().unwrap()).unwrap();
    let long = attempt(1, 1);
    let mut busy = HttpConnection::connect(target.address()).await.unwrap();
    let running = tokio::spawn({
        let long = long.clone();
        async move { send(&mut busy, &long).await }
    });
    while fleet.run_log().run_count() == 0 {
        tokio::task::yield_now().await;
    }
    let mut connection = HttpConnection::connect(target.address()).await.unwrap();
    let shed = attempt(2, 1);
    let response = send(&mut connection, &shed).await;
    let outcome = shed.classify_reply(response.status(), response.headers());
    assert_eq!(outcome, AttemptOutcome::NotRun(NotRunReason::Shed));

    assert!(target.state().cancel(long.attempt));
    let response = running.await.unwrap();
    let outcome = long.classify_reply(response.status(), response.headers());
    assert_eq!(outcome, AttemptOutcome::Failed);
    assert_eq!(fleet.run_log().records()[0].status, RunStatus::Cancelled);

    target.state().set_faults(TargetFaults {
        draining: true,
        ..TargetFaults::default()
    });
    let response = send(&mut connection, &shed).await;
    let outcome = shed.classify_reply(response.status(), response.headers());
    assert_eq!(outcome, AttemptOutcome::NotRun(NotRunReason::Draining));
    assert_eq!(fleet.run_log().run_count(), 1);
    fleet.stop().await;
}

#[tokio::test]
async fn target_connection_limit() {
    let layout = ServiceLayout {
        connections: 1,
        ..sample_layout()
    };
    let fleet = sample_fleet(layout).await;
    let target = fleet.target(&"sample-1-0".parse().unwrap()).unwrap();
    let mut first = HttpConnection::connect(target.address()).await.unwrap();
    send(&mut first, &attempt(1, 1)).await;
    let mut second = HttpConnection::connect(target.address()).await.unwrap();
    let request = attempt(2, 1).to_http("target").unwrap();
    assert!(second.send(request).await.is_err());
    fleet.stop().await;
}

#[test]
fn layouts_match_deployments() {
    let slots = |kind: DeploymentKind| -> u32 {
        let layouts = kind.layouts();
        layouts
            .iter()
            .map(|layout| layout.shards * layout.replicas * layout.slots)
            .sum()
    };
    assert_eq!(slots(DeploymentKind::Volta), 232);
    assert_eq!(slots(DeploymentKind::Lagerblik), 245);
}
