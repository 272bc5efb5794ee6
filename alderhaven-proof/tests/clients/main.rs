//! Crowds of callers and peers that hold requests and frames open at entries and relays.

use std::net::SocketAddr;
use std::time::Duration;

use alderhaven_proof::caller::CallerQuery;
use alderhaven_proof::cluster::TestCluster;
use alderhaven_proof::cluster_options::{ClusterOptions, FAN_OUT_TEMPLATE, TestBinaries};
use alderhaven_standin::crowd::Crowd;
use alderhaven_standin::held_request::HeldRequest;
use alderhaven_standin::process_usage::ProcessUsage;
use tokio::sync::Mutex;
use tokio::time;

/// The memory of a process's machine, in bytes.
const MEMORY_BYTES: usize = 64_000_000;
/// How long a crowd stands before it is judged; ordinary callers come throughout.
const STANDING_TIME: Duration = Duration::from_secs(3);
/// The pause between two looks at the process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// The attempts of an ordinary caller, which comes back after a refusal.
const CALLER_ATTEMPTS: usize = 5;
/// The largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// The largest frame, in bytes.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// Only one crowd stands at a time.
static TURN: Mutex<()> = Mutex::const_new(());

/// A process whose address a crowd uses.
struct TestedProcess {
    pid: u32,
    address: SocketAddr,
}

impl TestedProcess {
    fn usage(&self) -> ProcessUsage {
        let usage = ProcessUsage::read(self.pid, |address| address == self.address);
        usage.expect("the process lives")
    }

    /// Lets a crowd stand, and asserts that ordinary callers are served meanwhile and afterwards and that
    /// the process stays within its memory.
    async fn assert_withstands(&self, cluster: &TestCluster, count: usize, request: &HeldRequest) {
        let crowd = Crowd::start(self.address, count, request);
        let mut peak = ProcessUsage::default();
        let standing = async {
            let end = time::Instant::now() + STANDING_TIME;
            while time::Instant::now() < end {
                assert_serves_callers(cluster).await;
            }
        };
        let sampling = async {
            loop {
                peak = peak.max(self.usage());
                time::sleep(SAMPLE_INTERVAL).await;
            }
        };
        tokio::select! {
            () = standing => {}
            () = sampling => {}
        }
        drop(crowd);
        assert_serves_callers(cluster).await;
        let peak = peak.max(self.usage());
        println!("{peak:?}");
        let memory = peak.resident_bytes + peak.queued_bytes;
        assert!(memory <= MEMORY_BYTES, "{peak:?}");
    }
}

async fn assert_serves_callers(cluster: &TestCluster) {
    let entry = cluster.entry_address(0).expect("the entry has an address");
    let mut outcome = String::new();
    for attempt in 0..CALLER_ATTEMPTS {
        let query = CallerQuery::builder().template(FAN_OUT_TEMPLATE);
        let query = query.key(format!("ordinary-{attempt}")).build();
        if let Ok(reply) = query.send(entry).await {
            reply.outcome_or_code().clone_into(&mut outcome);
        }
        if outcome == "complete" {
            return;
        }
        time::sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(outcome, "complete");
}

fn head() -> String {
    format!("POST /v1/query/{FAN_OUT_TEMPLATE} HTTP/1.1\r\nHost: entry\r\nX-Request-Id: crowd\r\n")
}

fn entry_process(cluster: &TestCluster, field: &str) -> TestedProcess {
    let entry = &cluster.entries[0];
    TestedProcess {
        pid: entry.id(),
        address: entry.address(field).expect("the entry has an address"),
    }
}

fn relay_process(cluster: &TestCluster, field: &str) -> TestedProcess {
    let relay = &cluster.relays[0];
    TestedProcess {
        pid: relay.id(),
        address: relay.address(field).expect("the relay has an address"),
    }
}

/// A frame of the largest size that stops one byte short.
fn held_frame() -> HeldRequest {
    let length = u32::try_from(MAX_FRAME_BYTES).expect("the length fits");
    let body = vec![0; MAX_FRAME_BYTES - 1];
    HeldRequest::Sent([&length.to_be_bytes()[..], &body].concat())
}

async fn start_cluster(is_group: bool) -> TestCluster {
    let binaries = TestBinaries {
        standin: env!("CARGO_BIN_EXE_proof-standin").into(),
        relay: env!("CARGO_BIN_EXE_proof-relay").into(),
        entry: env!("CARGO_BIN_EXE_proof-entry").into(),
        alderctl: env!("CARGO_BIN_EXE_proof-alderctl").into(),
        scratch_base: env!("CARGO_TARGET_TMPDIR").into(),
    };
    let options = ClusterOptions::builder().is_group(is_group).build();
    let cluster = TestCluster::start(binaries, &options).await;
    cluster.expect("the cluster starts")
}

// Memory grew with the sum of all bodies that stopped one byte short.
#[tokio::test(flavor = "multi_thread")]
async fn crowd_bodies_at_an_entry() {
    let _turn = TURN.lock().await;
    let cluster = start_cluster(false).await;
    let entry = entry_process(&cluster, "listen");
    let request = HeldRequest::with_length(&head(), MAX_BODY_BYTES, MAX_BODY_BYTES - 1);
    entry.assert_withstands(&cluster, 1_000, &request).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crowd_bodies_in_chunks_at_an_entry() {
    let _turn = TURN.lock().await;
    let cluster = start_cluster(false).await;
    let entry = entry_process(&cluster, "listen");
    let request = HeldRequest::in_chunks(&head(), MAX_BODY_BYTES - 1, 1);
    entry.assert_withstands(&cluster, 300, &request).await;
}

// Heads took twice their limit each.
#[tokio::test(flavor = "multi_thread")]
async fn crowd_heads_at_an_entry() {
    let _turn = TURN.lock().await;
    let cluster = start_cluster(false).await;
    let entry = entry_process(&cluster, "listen");
    let request = HeldRequest::endless_head(&head(), 28_000);
    entry.assert_withstands(&cluster, 1_200, &request).await;
}

// Heads at the address of operators took up to 400 KB each.
#[tokio::test(flavor = "multi_thread")]
async fn crowd_heads_at_the_operator_address() {
    let _turn = TURN.lock().await;
    let cluster = start_cluster(false).await;
    let entry = entry_process(&cluster, "operator");
    let request = HeldRequest::endless_head(&head(), 380 << 10);
    entry.assert_withstands(&cluster, 400, &request).await;
}

// Frames that stopped short of their end took 8 MB each.
#[tokio::test(flavor = "multi_thread")]
async fn crowd_frames_at_a_relay() {
    let _turn = TURN.lock().await;
    let cluster = start_cluster(false).await;
    let relay = relay_process(&cluster, "peer");
    relay.assert_withstands(&cluster, 20, &held_frame()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crowd_frames_at_the_gossip_address_of_an_entry() {
    let _turn = TURN.lock().await;
    let cluster = start_cluster(true).await;
    let entry = entry_process(&cluster, "gossip");
    entry.assert_withstands(&cluster, 20, &held_frame()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crowd_frames_at_the_gossip_address_of_a_relay() {
    let _turn = TURN.lock().await;
    let cluster = start_cluster(true).await;
    let relay = relay_process(&cluster, "gossip");
    relay.assert_withstands(&cluster, 20, &held_frame()).await;
}
