//! Registers a fleet's manifests and hosts at the platform over HTTP.

use std::net::SocketAddr;

use alderhaven_core::config_object::{ObjectKind, StoredObject};
use alderhaven_core::ids::SnapshotId;
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_store::host_list::HostRecord;
use alderhaven_store::object_store::{IF_VERSION_HEADER, WRITE_ID_HEADER};
use bytes::Bytes;
use eyre::{Result, WrapErr, bail};
use http::{Method, Request, StatusCode};
use http_body_util::Full;

use crate::http_connection::HttpConnection;
use crate::target_fleet::TargetFleet;

/// Writes all manifests and hosts of a fleet; returns the manifests as written.
///
/// A service that has a manifest already gets the next snapshot number.
///
/// # Errors
/// Where the platform can't be reached or refuses a write.
pub async fn register(fleet: &TargetFleet, platform: SocketAddr) -> Result<Vec<SnapshotManifest>> {
    let mut connection = connect(platform).await?;
    let mut written = Vec::new();
    for manifest in fleet.manifests(SnapshotId(1)) {
        written.push(put_manifest(&mut connection, manifest).await?);
    }
    for host in fleet.host_records() {
        write_host(&mut connection, &host).await?;
    }
    Ok(written)
}

/// Publishes a manifest under the next snapshot number, and returns it as written.
///
/// # Errors
/// Where the platform can't be reached or refuses the write.
pub async fn publish(platform: SocketAddr, manifest: SnapshotManifest) -> Result<SnapshotManifest> {
    put_manifest(&mut connect(platform).await?, manifest).await
}

/// Writes one entry of the host list.
///
/// # Errors
/// Where the platform can't be reached or refuses the write.
pub async fn put_host(platform: SocketAddr, host: &HostRecord) -> Result<()> {
    write_host(&mut connect(platform).await?, host).await
}

async fn connect(platform: SocketAddr) -> Result<HttpConnection> {
    HttpConnection::connect(platform)
        .await
        .wrap_err_with(|| format!("can't reach the platform at {platform}"))
}

async fn write_host(connection: &mut HttpConnection, host: &HostRecord) -> Result<()> {
    let path = format!("/hosts/{}", host.host);
    let body = serde_json::to_vec(host)?;
    send_request(connection, Method::PUT, &path, 0, body).await?;
    Ok(())
}

async fn put_manifest(
    connection: &mut HttpConnection,
    mut manifest: SnapshotManifest,
) -> Result<SnapshotManifest> {
    let path = format!("/objects/{}/{}", ObjectKind::Manifest, manifest.service);
    let (status, body) = send_request(connection, Method::GET, &path, 0, Vec::new()).await?;
    let mut expected = 0;
    if status == StatusCode::OK {
        let stored: StoredObject = serde_json::from_slice(&body)?;
        expected = stored.version.revision;
        if let Some(text) = stored.body {
            let current: SnapshotManifest = serde_json::from_str(&text)?;
            manifest.snapshot = SnapshotId(current.snapshot.0 + 1);
        }
    }
    let body = serde_json::to_vec(&manifest)?;
    let (status, _) = send_request(connection, Method::PUT, &path, expected, body).await?;
    if status == StatusCode::CONFLICT {
        bail!("conflict: another writer changed {path}");
    }
    Ok(manifest)
}

/// Any status other than 200, 404 and 409 is an error.
async fn send_request(
    connection: &mut HttpConnection,
    method: Method,
    path: &str,
    expected: u64,
    body: Vec<u8>,
) -> Result<(StatusCode, Bytes)> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(IF_VERSION_HEADER, expected)
        .header(WRITE_ID_HEADER, uuid::Uuid::new_v4().to_string())
        .body(Full::new(Bytes::from(body)))?;
    let response = connection.send(request).await?;
    match response.status() {
        status @ (StatusCode::OK | StatusCode::NOT_FOUND | StatusCode::CONFLICT) => {
            Ok((status, response.into_body()))
        }
        status => bail!("the platform answered {path} with status {status}"),
    }
}
