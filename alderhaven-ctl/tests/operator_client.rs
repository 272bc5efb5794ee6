//! Tests of the HTTP client against the operator server of entries and relays.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use alderhaven_core::time::TimeSpan;
use alderhaven_ctl::node_probe::NodeProbe;
use alderhaven_ctl::operator_client::OperatorClient;
use alderhaven_store::operator_server::{self, OperatorSource};
use serde_json::{Value, json};
use tokio::net::TcpListener;

#[derive(Default)]
struct FakeProcess {
    is_draining: AtomicBool,
}

impl OperatorSource for FakeProcess {
    fn metrics(&self) -> String {
        String::new()
    }

    fn dump(&self) -> Value {
        json!({ "members": [] })
    }

    fn status(&self) -> Value {
        json!({
            "node": "relay-1", "role": "relay",
            "config": { "contact": { "state": "following" }, "revision": 17, "rejected": [] },
        })
    }

    fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }
}

#[tokio::test]
async fn operator_client_calls_each_path() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let process = Arc::new(FakeProcess::default());
    let serving = tokio::spawn(operator_server::serve(listener, Arc::clone(&process)));
    let client = OperatorClient::default();
    let status = client.status(address).await.expect("the node answers");
    assert_eq!(
        status.config.revision.map(|revision| revision.revision),
        Some(17)
    );
    assert_eq!(
        client.dump(address).await.expect("the node answers"),
        json!({ "members": [] })
    );
    client.drain(address).await.expect("the node answers");
    assert!(process.is_draining.load(Ordering::Relaxed));
    serving.abort();
}

/// A call to a node that accepts the connection but never replies must end in bounded time, or it
/// would block the report of a publication.
#[tokio::test]
async fn operator_client_times_out_on_silent_node() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let client = OperatorClient {
        timeout: TimeSpan::from_millis(20),
    };
    let error = client
        .dump(address)
        .await
        .expect_err("the node does not answer");
    assert!(error.reason.contains("no answer within 20ms"), "{error}");
    drop(listener);
    assert!(client.dump(address).await.is_err());
}
