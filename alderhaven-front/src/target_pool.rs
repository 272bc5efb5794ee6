//! Pool of HTTP/1 connections to one target.
//!
//! Connections are reused, because opening one costs the target time and one of its slots. A
//! connection carries one request at a time and is returned only after the whole reply was read,
//! so a reply cannot be taken for that of another request.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::{TimePoint, TimeSpan};
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time;

use crate::wire_dialect::WholeBody;

/// Timeout of the TCP connect. A SYN that is dropped because the accept queue is full is resent
/// only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The largest head of a reply, in bytes. A faulty target may send bytes without end.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Idle timeout if the target announces none.
const DEFAULT_IDLE_TIMEOUT: TimeSpan = TimeSpan::from_secs(4);

/// Share of the target's idle timeout after which an idle connection is no longer used. A request
/// that is sent while the target closes the connection is lost.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;

/// Idle connections to one target, and a limit on those in use.
#[derive(Debug)]
pub struct TargetPool {
    address: SocketAddr,
    clock: ProcessClock,
    idle: Mutex<Vec<IdleConnection>>,
    permits: Arc<Semaphore>,
    limit: Mutex<usize>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: OpenConnection,
    idle_since: TimePoint,
    idle_timeout: TimeSpan,
}

#[derive(Debug)]
struct OpenConnection {
    sender: SendRequest<WholeBody>,
    driver: AbortHandle,
}

impl Drop for OpenConnection {
    /// Closes the connection at once together with a request in flight. A target stops working on
    /// a request when its connection closes.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A connection that is taken from the pool for one request.
#[derive(Debug)]
pub struct PooledConnection {
    connection: OpenConnection,
    is_new: bool,
    _permit: OwnedSemaphorePermit,
}

impl PooledConnection {
    /// Returns the HTTP/1 request sender.
    pub fn sender(&mut self) -> &mut SendRequest<WholeBody> {
        &mut self.connection.sender
    }

    /// Returns `true` if the connection was opened for this request.
    #[must_use]
    pub const fn is_new(&self) -> bool {
        self.is_new
    }
}

impl TargetPool {
    /// Creates an empty pool that allows `limit` connections in use.
    #[must_use]
    pub fn new(address: SocketAddr, limit: usize, clock: ProcessClock) -> Self {
        Self {
            address,
            clock,
            idle: Mutex::new(Vec::new()),
            permits: Arc::new(Semaphore::new(limit)),
            limit: Mutex::new(limit),
        }
    }

    /// Sets the limit of connections in use. A decrease takes back free permits only; the rest
    /// follows with later calls.
    pub fn set_limit(&self, limit: usize) {
        let mut current = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        if limit > *current {
            self.permits.add_permits(limit - *current);
            *current = limit;
        } else if limit < *current {
            *current -= self.permits.forget_permits(*current - limit);
        }
    }

    /// Takes a connection, and waits while the limit is reached.
    ///
    /// With `must_be_new` the connection is opened now, for requests that may run only once: a
    /// request on an idle connection that has gone silent or is being closed is lost, and whether
    /// it ran is unknown.
    ///
    /// # Errors
    /// The connection cannot be opened in time. Nothing of a request has been sent.
    pub async fn take(&self, must_be_new: bool) -> io::Result<PooledConnection> {
        let permit = Arc::clone(&self.permits)
            .acquire_owned()
            .await
            .map_err(io::Error::other)?;
        if !must_be_new && let Some(connection) = self.take_idle() {
            return Ok(PooledConnection {
                connection,
                is_new: false,
                _permit: permit,
            });
        }
        Ok(PooledConnection {
            connection: Box::pin(self.connect()).await?,
            is_new: true,
            _permit: permit,
        })
    }

    /// Replaces a connection that was found closed before anything was sent on it.
    ///
    /// # Errors
    /// The connection cannot be opened in time.
    pub async fn replace(&self, taken: &mut PooledConnection) -> io::Result<()> {
        taken.connection = self.connect().await?;
        taken.is_new = true;
        Ok(())
    }

    /// Returns a connection after a complete reply. `keep_alive_timeout` is the idle timeout that
    /// the target announced.
    pub fn give_back(&self, taken: PooledConnection, keep_alive_timeout: Option<TimeSpan>) {
        if taken.connection.sender.is_closed() {
            return;
        }
        let idle = IdleConnection {
            connection: taken.connection,
            idle_since: self.clock.now(),
            idle_timeout: keep_alive_timeout
                .unwrap_or(DEFAULT_IDLE_TIMEOUT)
                .mul_f64(IDLE_TIMEOUT_SHARE),
        };
        let mut idle_connections = self.idle();
        // Requests that open new connections return them as well. Limiting the idle ones keeps the
        // total at the target bounded.
        if idle_connections.len() < self.max_idle() {
            idle_connections.push(idle);
        }
    }

    /// Returns a connection on which nothing was sent, because its request ended while it waited.
    ///
    /// Closing it would cost the next attempt a new connection, which occupies a slot of a target
    /// that is already full.
    pub fn give_back_unused(&self, taken: PooledConnection) {
        self.give_back(taken, None);
    }

    /// Returns the limit of idle connections, given those in use.
    fn max_idle(&self) -> usize {
        let limit = *self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        // The connection that is being returned still holds its permit.
        self.permits.available_permits().min(limit) + 1
    }

    /// Opens an idle connection ahead of the first request, unless there is one.
    pub async fn preconnect(&self) {
        if !self.idle().is_empty() {
            return;
        }
        // Connect errors are left for the first request to handle.
        if let Ok(connection) = self.connect().await {
            self.add_idle(connection);
        }
    }

    /// Opens a connection and looks whether it stays open for a while; if so, keeps it as an idle one
    /// and returns `true`. A process that is ending may still accept connections.
    ///
    /// # Errors
    /// The connection cannot be opened in time.
    pub async fn probe(&self, span: Duration) -> io::Result<bool> {
        let connection = self.connect().await?;
        time::sleep(span).await;
        let is_open = !connection.sender.is_closed();
        if is_open {
            self.add_idle(connection);
        }
        Ok(is_open)
    }

    fn add_idle(&self, connection: OpenConnection) {
        let idle = IdleConnection {
            connection,
            idle_since: self.clock.now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        };
        let mut idle_connections = self.idle();
        if idle_connections.len() < self.max_idle() {
            idle_connections.push(idle);
        }
    }

    /// Closes the idle connections.
    ///
    /// After a network failure, established connections may stay silent while new ones work. Each
    /// of them would cost one more attempt.
    pub fn close_idle(&self) {
        self.idle().clear();
    }

    fn take_idle(&self) -> Option<OpenConnection> {
        let now = self.clock.now();
        let mut idle = self.idle();
        loop {
            let newest = idle.pop()?;
            let is_fresh = now.since(newest.idle_since) < newest.idle_timeout;
            if is_fresh && newest.connection.sender.is_ready() {
                return Some(newest.connection);
            }
        }
    }

    async fn connect(&self) -> io::Result<OpenConnection> {
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await??;
        stream.set_nodelay(true)?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // Connection errors reach the request through its sender.
            let _ended = driver.await;
        });
        Ok(OpenConnection {
            sender,
            driver: task.abort_handle(),
        })
    }

    fn idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
