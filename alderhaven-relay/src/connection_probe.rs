//! Probe of a target: a cheap request on a new connection.

use std::io;

use alderhaven_core::ids::AttemptId;
use alderhaven_store::target_dialect;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};

use crate::target_connections::TargetConnections;

/// Asks the target, on a new connection, to cancel an attempt that does not exist.
///
/// Any reply shows that the target's process runs and that the network path works. After a reply
/// the connection is kept for attempts.
///
/// # Errors
/// Returns an I/O error if the connection can't be opened or fails before the reply is complete.
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
