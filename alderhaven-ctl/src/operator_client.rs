//! The HTTP client for the operator endpoints of nodes.

use std::net::SocketAddr;

use alderhaven_core::time::TimeSpan;
use alderhaven_store::operator_server::{DRAIN_PATH, DUMP_PATH, STATUS_PATH};
use http::{Method, Request, header};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::net::TcpStream;

use crate::node_probe::{NodeProbe, ProbeError, ProbeResult};
use crate::node_status::NodeStatus;

/// The default of [`OperatorClient::timeout`].
pub const DEFAULT_CALL_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);
/// The largest response body that is read; a dump of a busy relay has a few MB.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Opens a new connection for each call, so that no call fails on a stale one.
#[derive(Clone, Copy, Debug)]
pub struct OperatorClient {
    /// The time limit of a whole call, including the connection setup.
    pub timeout: TimeSpan,
}

impl Default for OperatorClient {
    fn default() -> Self {
        Self {
            timeout: DEFAULT_CALL_TIMEOUT,
        }
    }
}

impl OperatorClient {
    async fn call<T: DeserializeOwned>(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
    ) -> ProbeResult<T> {
        let call = send_and_receive(node, method, path);
        let body = tokio::time::timeout(self.timeout.as_duration(), call)
            .await
            .map_err(|_| ProbeError::new(format!("no answer within {}", self.timeout)))??;
        serde_json::from_slice(&body)
            .map_err(|error| ProbeError::new(format!("invalid response from {path}: {error}")))
    }
}

impl NodeProbe for OperatorClient {
    async fn status(&self, node: SocketAddr) -> ProbeResult<NodeStatus> {
        self.call(node, Method::GET, STATUS_PATH).await
    }

    async fn dump(&self, node: SocketAddr) -> ProbeResult<Value> {
        self.call(node, Method::GET, DUMP_PATH).await
    }

    async fn drain(&self, node: SocketAddr) -> ProbeResult<()> {
        let _answer: Value = self.call(node, Method::POST, DRAIN_PATH).await?;
        Ok(())
    }
}

async fn send_and_receive(node: SocketAddr, method: Method, path: &str) -> ProbeResult<Bytes> {
    let stream = TcpStream::connect(node).await.map_err(ProbeError::new)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(ProbeError::new)?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, node.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(ProbeError::new)?;
    let receiving = async {
        let response = sender
            .send_request(request)
            .await
            .map_err(ProbeError::new)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(ProbeError::new)?
            .to_bytes();
        if status.is_success() {
            Ok(body)
        } else {
            Err(ProbeError::new(format!("{path} returned status {status}")))
        }
    };
    // The connection must be polled while the request is in flight. Its branch stays pending after
    // its end, so that the request alone determines the result.
    tokio::select! {
        biased;
        answer = receiving => answer,
        ended = async {
            let _ended = connection.await;
            std::future::pending::<()>().await;
        } => { let () = ended; Err(ProbeError::new("the connection closed before the response")) }
    }
}
