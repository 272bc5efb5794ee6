//! HTTP client for the platform's host list.

use std::net::SocketAddr;

use alderhaven_core::time::TimeSpan;
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::host_list::{HostListing, HostSource};
use crate::http_client::{ClientOptions, HttpClient};
use crate::object_store::{ERA_HEADER, StoreError, StoreResult};

/// Path of the host list.
const HOSTS_PATH: &str = "/hosts";

/// Host list at one address of the platform, read over HTTP.
#[derive(Debug)]
pub struct HttpHosts {
    client: HttpClient,
}

impl HttpHosts {
    /// Creates a client for the host list at `address`.
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
            StatusCode::OK => {
                let era = response.store_era(&ERA_HEADER)?;
                let mut listing: HostListing = response.parse_json()?;
                listing.revision = listing.revision.in_era(era);
                Ok(listing)
            }
            _ => Err(response.unexpected_status()),
        }
    }
}
