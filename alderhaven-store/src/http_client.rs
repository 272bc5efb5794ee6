//! Calls to the platform over kept-alive HTTP/1.1 connections, with the proof of what was sent.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use alderhaven_core::quantities::ByteSize;
use alderhaven_core::time::TimeSpan;
use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::time;

use crate::object_store::{RETRY_AFTER_MS_HEADER, StoreError, StoreResult};

/// The default time for one call; the platform answers in milliseconds.
const DEFAULT_CALL_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);
/// The default time to open a connection.
const DEFAULT_CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);
/// The default number of idle connections that are kept.
const DEFAULT_MAX_IDLE_CONNECTIONS: usize = 4;
/// The default bound of an answer: a list of the whole configuration has to fit.
const DEFAULT_MAX_RESPONSE_SIZE: ByteSize = ByteSize::from_kib(16 << 10);

/// `ClientOptions` bound the calls to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientOptions {
    /// The time for one call, from its first byte to the end of its answer.
    pub call_timeout: TimeSpan,
    /// The time to open a connection.
    pub connect_timeout: TimeSpan,
    /// The number of idle connections that are kept.
    #[serde(rename = "max_idle")]
    pub max_idle_connections: usize,
    /// The largest answer.
    #[serde(rename = "max_answer")]
    pub max_response_size: ByteSize,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            call_timeout: DEFAULT_CALL_TIMEOUT,
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            max_idle_connections: DEFAULT_MAX_IDLE_CONNECTIONS,
            max_response_size: DEFAULT_MAX_RESPONSE_SIZE,
        }
    }
}

/// A `HttpClient` makes calls to one address of the platform.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    options: ClientOptions,
    idle_connections: Mutex<Vec<Connection>>,
}

/// A `ClientAnswer` is the whole answer to a call.
#[derive(Debug)]
pub struct ClientResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

type Connection = SendRequest<Full<Bytes>>;

impl HttpClient {
    /// Returns a client of the platform's API at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr, options: ClientOptions) -> Self {
        Self {
            address,
            options,
            idle_connections: Mutex::new(Vec::new()),
        }
    }

    /// Gets the address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gets what calls name as their host.
    #[must_use]
    pub fn host_header(&self) -> String {
        self.address.to_string()
    }

    /// Makes a call; `wait` is added to the call's timeout, for a watch.
    ///
    /// A connection serves one call at a time and is kept only once the whole answer was read, so
    /// no answer can be taken for that of another call.
    ///
    /// # Errors
    /// The call did nothing, or may have done something.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        wait: TimeSpan,
    ) -> StoreResult<ClientResponse> {
        let mut connection = self.acquire_connection().await?;
        // A call that fails drops its connection, so a late answer has nobody left to reach.
        let timeout = (self.options.call_timeout + wait).as_duration();
        match time::timeout(timeout, self.send_and_receive(&mut connection, request)).await {
            Ok(Ok(response)) => {
                self.release_connection(connection);
                reject_overload(response)
            }
            Ok(Err(error)) => Err(error),
            Err(_elapsed) => {
                // The path may have lost track of all connections that are open: they stay silent
                // while new ones work, and every idle one would cost one more timeout. So none of
                // them is used again.
                self.lock_idle().clear();
                Err(StoreError::unknown("no response in time"))
            }
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
                // A request that comes back was never written, for example because the platform
                // had closed the idle connection; it may be sent on a new one.
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
            let Some(mut connection) = self.lock_idle().pop() else {
                return self.connect().await;
            };
            // Its last answer was read to the end, so it is ready at once or closed.
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
        // The driver ends with its connection; the sender's error tells of its failure.
        tokio::spawn(driver);
        Ok(connection)
    }

    fn release_connection(&self, connection: Connection) {
        let mut idle = self.lock_idle();
        if idle.len() < self.options.max_idle_connections {
            idle.push(connection);
        }
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
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
    /// Reads the body.
    ///
    /// # Errors
    /// It is no JSON of that form; what the call did is unknown then.
    pub fn parse_json<T: DeserializeOwned>(&self) -> StoreResult<T> {
        serde_json::from_slice(&self.body).map_err(StoreError::unknown)
    }

    /// Returns the error for a status that the call does not know.
    ///
    /// A 4xx says that the call was refused as it stands; after any other status it may have taken
    /// effect.
    /// Gets the error of a call whose answer has a status that means nothing for it.
    #[must_use]
    pub fn unexpected_status(&self) -> StoreError {
        if self.status.is_client_error() {
            StoreError::not_done(self.status)
        } else {
            StoreError::unknown(self.status)
        }
    }
}
