//! The platform's host list over HTTP.

use std::net::SocketAddr;

use alderhaven_core::time::TimeSpan;
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::host_list::{HostListing, HostSource};
use crate::http_client::{ClientOptions, HttpClient};
use crate::object_store::{StoreError, StoreResult};

/// The path of the host list.
const HOSTS_PATH: &str = "/hosts";

/// An `HttpHosts` is the host list at one address of the platform.
#[derive(Debug)]
pub struct HttpHosts {
    client: HttpClient,
}

impl HttpHosts {
    /// Returns a client of the host list at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr, options: ClientOptions) -> Self {
        Self {
            client: HttpClient::new(address, options),
        }
    }
}

impl HostSource for HttpHosts {
    async fn hosts(&self) -> StoreResult<HostListing> {
        let request = Request::get(HOSTS_PATH)
            .header(http::header::HOST, self.client.host_header())
            .body(Full::default())
            .map_err(StoreError::not_done)?;
        let response = self.client.call(request, TimeSpan::ZERO).await?;
        match response.status {
            StatusCode::OK => response.parse_json(),
            _ => Err(response.unexpected_status()),
        }
    }
}
