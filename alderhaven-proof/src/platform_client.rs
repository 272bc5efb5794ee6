//! A client of the platform stand-in: object writes, the host list and fault injection.

use std::net::SocketAddr;

use alderhaven_core::config_object::{ObjectKey, StoredObject};
use alderhaven_core::store_version::StoreVersion;
use alderhaven_standin::http_connection::HttpConnection;
use alderhaven_standin::platform_faults::PlatformFaults;
use alderhaven_store::host_list::HostRecord;
use alderhaven_store::object_store::{IF_VERSION_HEADER, WRITE_ID_HEADER};
use bytes::Bytes;
use eyre::{Result, bail};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use uuid::Uuid;

/// Calls the platform, with a new connection for each call.
#[derive(Clone, Copy, Debug)]
pub struct PlatformClient {
    address: SocketAddr,
}

impl PlatformClient {
    /// Creates a client of the platform at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Writes an object over its current version, if any, and returns the new version.
    ///
    /// # Errors
    /// The platform can't be reached or refuses, or another write came in between.
    pub async fn put(&self, key: &ObjectKey, body: String) -> Result<StoreVersion> {
        let path = format!("/objects/{}/{}", key.kind, key.name);
        let expected_version = match self.call(Method::GET, &path, 0, Vec::new()).await? {
            (StatusCode::OK, body) => {
                serde_json::from_slice::<StoredObject>(&body)?
                    .version
                    .revision
            }
            _ => 0,
        };
        let (status, body) = self
            .call(Method::PUT, &path, expected_version, body.into_bytes())
            .await?;
        if status != StatusCode::OK {
            bail!("the write of {key} got status {status}");
        }
        Ok(serde_json::from_slice::<StoredObject>(&body)?.version)
    }

    /// Writes an entry of the host list.
    ///
    /// # Errors
    /// The platform can't be reached or refuses.
    pub async fn put_host(&self, host: &HostRecord) -> Result<()> {
        let path = format!("/hosts/{}", host.host);
        let body = serde_json::to_vec(host)?;
        self.call_expecting_ok(Method::PUT, &path, body).await
    }

    /// Replaces the injected faults.
    ///
    /// # Errors
    /// The platform can't be reached or refuses.
    pub async fn set_faults(&self, faults: &PlatformFaults) -> Result<()> {
        let body = serde_json::to_vec(faults)?;
        self.call_expecting_ok(Method::POST, "/faults", body).await
    }

    async fn call_expecting_ok(&self, method: Method, path: &str, body: Vec<u8>) -> Result<()> {
        match self.call(method, path, 0, body).await? {
            (StatusCode::OK, _) => Ok(()),
            (status, _) => bail!("{path} got status {status}"),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        expected_version: u64,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes)> {
        let mut connection = HttpConnection::connect(self.address).await?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(IF_VERSION_HEADER, expected_version)
            .header(WRITE_ID_HEADER, Uuid::new_v4().to_string())
            .body(Full::from(body))?;
        let response = connection.send(request).await?;
        Ok((response.status(), response.into_body()))
    }
}
