//! Connections that go silent while new connections work.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use alderhaven_policy::connection_health::HealthOptions;
use alderhaven_store::operator_server::OperatorSource;
use serde_json::json;
use tokio::io;
use tokio::net::{TcpListener, TcpStream};

use crate::system::{TestSystem, metric, send_query, wait_until};

/// The network path between a relay and its targets drops the state of all open connections.
/// Callers must not wait for their deadline, and targets must not be ejected.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_target_connections_are_replaced() {
    let settings = json!({ "relay": { "health": { "idle_suspect": "0us" } } });
    let system = TestSystem::start(3, 1, &settings).await;
    for round in 0..30 {
        assert_eq!(
            system.query(0, &format!("a-{round}")).await["outcome"],
            "complete"
        );
    }
    for target in &system.targets {
        target.silence_connections();
    }
    let mut longest_silence = 0;
    for round in 0..30 {
        let answer = system.query(0, &format!("b-{round}")).await;
        assert_eq!(answer["outcome"], "complete", "{answer}");
        let timing = |name: &str| answer["timing"][name].as_u64().unwrap();
        let elsewhere = timing("total_us") - timing("slowest_target_us");
        longest_silence = longest_silence.max(elsewhere);
    }
    // The silence must not count as service time, or a healthy target would appear slow.
    let bound = HealthOptions::default().min_silence.as_micros();
    assert!(longest_silence >= bound, "{longest_silence}");
    let relay = system.relays[0].state().metrics();
    assert!(metric(&relay, "alderhaven_relay_silent_connections_total") > 0);
    assert_eq!(metric(&relay, "alderhaven_relay_target_crashes_total"), 0);
    let entry = system.entries[0].state().metrics();
    assert_eq!(metric(&entry, "alderhaven_entry_ejections_total"), 0);
    assert_eq!(system.dead_target_count(), 0);
}

/// The network path between an entry and its relay drops the state of the connection. Only pings
/// reveal this in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_relay_link_is_replaced() {
    let mut system = TestSystem::start(2, 1, &json!({})).await;
    let path = FreezableProxy::start(system.relays[0].peer_address()).await;
    // A single failure would eject a target.
    let settings = json!({
        "links": { "ping_every": "20ms", "max_silence": "200ms" },
        "choices": { "replicas": { "eject_after": 1 } },
    });
    system.add_entry(1, &[path.address], &settings).await;
    assert_eq!(system.query(1, "before").await["outcome"], "complete");
    // By the first answer, the relay has also answered a ping.
    path.freeze();
    let entry = system.entries[1].caller_address();
    let queries =
        (0..20).map(|round| async move { send_query(entry, &format!("after-{round}")).await });
    for answer in futures::future::join_all(queries).await {
        assert_eq!(answer["outcome"], "complete", "{answer}");
    }
    let entry = system.entries[1].state();
    // A lost path between entry and relay must not eject targets.
    assert_eq!(
        metric(&entry.metrics(), "alderhaven_entry_ejections_total"),
        0
    );
    wait_until("one silent link is counted", || {
        metric(&entry.metrics(), "alderhaven_entry_silent_links_total") == 1
    })
    .await;
}

/// A TCP proxy that can freeze its open connections.
struct FreezableProxy {
    address: SocketAddr,
    generation: Arc<AtomicU64>,
}

impl FreezableProxy {
    async fn start(relay: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let generation = Arc::new(AtomicU64::new(0));
        let shared = Arc::clone(&generation);
        tokio::spawn(async move {
            while let Ok((entry, _)) = listener.accept().await {
                let relay = TcpStream::connect(relay).await.unwrap();
                tokio::spawn(forward_bytes(entry, relay, Arc::clone(&shared)));
            }
        });
        Self {
            address,
            generation,
        }
    }

    fn freeze(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

/// Forwards bytes both ways until the proxy is frozen. Then it keeps both connections open.
async fn forward_bytes(entry: TcpStream, relay: TcpStream, shared: Arc<AtomicU64>) {
    let generation = shared.load(Ordering::SeqCst);
    let mut buffers = ([0_u8; 4096], [0_u8; 4096]);
    loop {
        let (from, to, count, buffer) = tokio::select! {
            ready = entry.readable() => (ready, &relay, entry.try_read(&mut buffers.0), &buffers.0),
            ready = relay.readable() => (ready, &entry, relay.try_read(&mut buffers.1), &buffers.1),
        };
        let is_frozen = shared.load(Ordering::SeqCst) != generation;
        match (from, count) {
            (Ok(()), Ok(0)) | (Err(_), _) => return,
            (Ok(()), Ok(count)) if !is_frozen => write_all(to, &buffer[..count]).await,
            (Ok(()), Ok(_)) => {}
            (Ok(()), Err(error)) if error.kind() == io::ErrorKind::WouldBlock => {}
            (Ok(()), Err(_)) => return,
        }
    }
}

async fn write_all(stream: &TcpStream, mut bytes: &[u8]) {
    while !bytes.is_empty() && stream.writable().await.is_ok() {
        if let Ok(count) = stream.try_write(bytes) {
            bytes = &bytes[count..];
        }
    }
}
