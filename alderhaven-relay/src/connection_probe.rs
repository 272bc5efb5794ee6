//! The probe of a target: a new connection with a request that costs the target next to nothing.

use std::io;

use alderhaven_core::ids::AttemptId;
use alderhaven_store::target_dialect;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};

use crate::target_connections::TargetConnections;

/// Asks the target, on a new connection, to drop an attempt that it does not know.
///
/// Any reply shows that the target's process runs and that its path is whole. The connection is
/// kept where it was answered.
///
/// # Errors
/// An error of the operating system or of the connection.
pub async fn send(connections: &TargetConnections) -> io::Result<()> {
    let mut sender = connections.connect().await?.sender;
    let attempt = AttemptId {
        origin: rand::random(),
        sequence: 0,
    };
    let request = Request::post(target_dialect::CANCEL_PATH)
        .header(http::header::HOST, connections.address().to_string())
        .header(target_dialect::ATTEMPT_HEADER, attempt.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(io::Error::other)?;
    let response = sender
        .send_request(request)
        .await
        .map_err(io::Error::other)?;
    response
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?;
    connections.give_back(sender);
    Ok(())
}
