//! HTTP/1.1 client for the platform with persistent connections. Its errors tell calls that were not
//! sent or were refused from calls that may have taken effect.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use alderhaven_core::ids::StoreEra;
use alderhaven_core::quantities::ByteSize;
use alderhaven_core::time::TimeSpan;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::time;
use tokio::time::Instant;

use crate::object_store::{RETRY_AFTER_MS_HEADER, StoreError, StoreResult};

/// Default timeout of one call.
const DEFAULT_CALL_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);
/// Default timeout for opening a connection.
const DEFAULT_CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);
/// Default number of idle connections that are kept.
const DEFAULT_MAX_IDLE_CONNECTIONS: usize = 4;
/// Default time for which an idle connection is kept.
const DEFAULT_MAX_IDLE_TIME: TimeSpan = TimeSpan::from_secs(1);
/// Default maximum size of a response; a list of the whole configuration must fit.
const DEFAULT_MAX_RESPONSE_SIZE: ByteSize = ByteSize::from_kib(16 << 10);

/// Limits of an [`HttpClient`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientOptions {
    /// The timeout of one call, from sending the request to the end of the response.
    pub call_timeout: TimeSpan,
    /// The timeout for opening a connection.
    pub connect_timeout: TimeSpan,
    /// The maximum number of idle connections that are kept.
    #[serde(rename = "max_idle")]
    pub max_idle_connections: usize,
    /// The time after which an idle connection is not used again. The network may have dropped its state,
    /// and only a call that times out would show it.
    pub max_idle_time: TimeSpan,
    /// The maximum size of a response body.
    #[serde(rename = "max_answer")]
    pub max_response_size: ByteSize,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            call_timeout: DEFAULT_CALL_TIMEOUT,
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            max_idle_connections: DEFAULT_MAX_IDLE_CONNECTIONS,
            max_idle_time: DEFAULT_MAX_IDLE_TIME,
            max_response_size: DEFAULT_MAX_RESPONSE_SIZE,
        }
    }
}

/// HTTP client for one address of the platform.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    options: ClientOptions,
    idle_connections: Mutex<Vec<IdleConnection>>,
}

/// Connection without a call.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

/// Closes all idle connections unless its call ends with a response or an error. The network may have
/// dropped the state of all open connections, and each idle one would then cost another timeout.
struct SilenceGuard<'a> {
    client: &'a HttpClient,
    has_ended: bool,
}

impl Drop for SilenceGuard<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.client.lock_idle().clear();
        }
    }
}

/// Complete response to a call.
#[derive(Debug)]
pub struct ClientResponse {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

type Connection = SendRequest<Full<Bytes>>;

impl HttpClient {
    /// Creates a client for the platform's API at `address`. Connections are opened by calls.
    #[must_use]
    pub const fn new(address: SocketAddr, options: ClientOptions) -> Self {
        Self {
            address,
            options,
            idle_connections: Mutex::new(Vec::new()),
        }
    }

    /// Returns the address that calls connect to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the value of the `host` header for requests.
    #[must_use]
    pub fn host_header(&self) -> String {
        self.address.to_string()
    }

    /// Sends a request and reads the whole response. `wait` is added to the timeout, for a watch.
    ///
    /// A connection serves one call at a time and is reused only after the whole response was read, so
    /// a response can't be matched to another call. A caller that drops the call has waited in vain as after
    /// a timeout.
    ///
    /// # Errors
    /// `NotDone` if the request was not sent or the platform was overloaded; `Unknown` if the call may
    /// have taken effect.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        wait: TimeSpan,
    ) -> StoreResult<ClientResponse> {
        let mut connection = self.acquire_connection().await?;
        let mut guard = SilenceGuard {
            client: self,
            has_ended: false,
        };
        // A failed call drops its connection, so its late response can't reach another call.
        let timeout = (self.options.call_timeout + wait).as_duration();
        let result = time::timeout(timeout, self.send_and_receive(&mut connection, request)).await;
        guard.has_ended = result.is_ok();
        match result {
            Ok(Ok(response)) => {
                self.release_connection(connection);
                reject_overload(response)
            }
            Ok(Err(error)) => Err(error),
            Err(_elapsed) => Err(StoreError::unknown("no response in time")),
        }
    }

    async fn send_and_receive(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
    ) -> StoreResult<ClientResponse> {
        let response = match connection.try_send_request(request).await {
            Ok(response) => response,
            Err(mut failure) => {
                // A request that hyper returns was never written, for example because the platform had
                // closed the idle connection. It can safely be sent on a new one.
                let Some(request) = failure.take_message() else {
                    return Err(StoreError::unknown(failure.error()));
                };
                *connection = self.connect().await?;
                send_once(connection, request).await?
            }
        };
        self.read_response(response).await
    }

    async fn read_response(&self, response: Response<Incoming>) -> StoreResult<ClientResponse> {
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, self.options.max_response_size.as_bytes())
            .collect()
            .await
            .map_err(StoreError::unknown)?;
        Ok(ClientResponse {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }

    async fn acquire_connection(&self) -> StoreResult<Connection> {
        loop {
            let idle = self.lock_idle().pop();
            let max_idle_time = self.options.max_idle_time.as_duration();
            let recent = idle.filter(|idle| idle.idle_since.elapsed() < max_idle_time);
            let Some(IdleConnection { mut connection, .. }) = recent else {
                // The others have been idle for longer.
                self.lock_idle().clear();
                return self.connect().await;
            };
            // The last response was read to the end, so the connection is either ready or closed.
            if connection.ready().await.is_ok() {
                return Ok(connection);
            }
        }
    }

    async fn connect(&self) -> StoreResult<Connection> {
        let timeout = self.options.connect_timeout.as_duration();
        let stream = time::timeout(timeout, TcpStream::connect(self.address))
            .await
            .map_err(|_elapsed| StoreError::not_done("no connection in time"))?
            .map_err(StoreError::not_done)?;
        stream.set_nodelay(true).map_err(StoreError::not_done)?;
        let (connection, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(StoreError::not_done)?;
        // The driver ends with its connection, and the sender reports its errors.
        tokio::spawn(driver);
        Ok(connection)
    }

    fn release_connection(&self, connection: Connection) {
        let mut idle = self.lock_idle();
        if idle.len() < self.options.max_idle_connections {
            idle.push(IdleConnection {
                connection,
                idle_since: Instant::now(),
            });
        }
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, Vec<IdleConnection>> {
        self.idle_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn send_once(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> StoreResult<Response<Incoming>> {
    connection
        .try_send_request(request)
        .await
        .map_err(|mut failure| {
            if failure.take_message().is_some() {
                StoreError::not_done(failure.error())
            } else {
                StoreError::unknown(failure.error())
            }
        })
}

fn reject_overload(response: ClientResponse) -> StoreResult<ClientResponse> {
    match response.status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(StoreError::NotDone {
                reason: response.status.to_string(),
                retry_after: retry_after(&response.headers),
            })
        }
        _ => Ok(response),
    }
}

fn retry_after(headers: &HeaderMap) -> Option<TimeSpan> {
    let text = headers.get(RETRY_AFTER_MS_HEADER)?.to_str().ok()?;
    text.parse().ok().map(TimeSpan::from_millis)
}

impl ClientResponse {
    /// Parses the body as JSON.
    ///
    /// # Errors
    /// `Unknown` if the body is not valid JSON for `T`, because the call may have taken effect.
    pub fn parse_json<T: DeserializeOwned>(&self) -> StoreResult<T> {
        serde_json::from_slice(&self.body).map_err(StoreError::unknown)
    }

    /// Returns the store's era, which a response tells in `header`; the first era without it.
    ///
    /// # Errors
    /// `Unknown` if the header is not a whole number, because the call may have taken effect.
    pub fn store_era(&self, header: &HeaderName) -> StoreResult<StoreEra> {
        let Some(value) = self.headers.get(header) else {
            return Ok(StoreEra::default());
        };
        let text = value.to_str().map_err(StoreError::unknown)?;
        text.parse().map_err(StoreError::unknown)
    }

    /// Returns the error for a status that the call does not define.
    ///
    /// A 4xx status means that the call was refused. After any other status it may have taken effect.
    #[must_use]
    pub fn unexpected_status(&self) -> StoreError {
        if self.status.is_client_error() {
            StoreError::not_done(self.status)
        } else {
            StoreError::unknown(self.status)
        }
    }
}
