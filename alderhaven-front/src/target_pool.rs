//! The kept connections to one target.
//!
//! A new connection costs a target several milliseconds and one of its slots, so one that has
//! answered is kept. A connection carries one request at a time and is given back only when the whole
//! reply to its request was read: no reply can be taken for that of another request.

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

/// The time to open a connection. A packet that is dropped because the target's queue is full comes again
/// only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a connection is kept where the target does not say how long it keeps it.
const DEFAULT_IDLE_TIMEOUT: TimeSpan = TimeSpan::from_secs(4);

/// The share of the target's own idle timeout after which a connection is no longer used: what is
/// sent into the moment of its close is lost.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;

/// A `TargetPool` keeps the connections to one target.
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
    /// Closes the connection at once, with all that is under way on it: a target stops working on a
    /// request when its connection closes.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A `PooledConnection` is a connection that was taken for one request.
#[derive(Debug)]
pub struct PooledConnection {
    connection: OpenConnection,
    is_new: bool,
    _permit: OwnedSemaphorePermit,
}

impl PooledConnection {
    /// Gets the sender.
    pub fn sender(&mut self) -> &mut SendRequest<WholeBody> {
        &mut self.connection.sender
    }

    /// Returns true where the connection was opened for this request.
    #[must_use]
    pub const fn is_new(&self) -> bool {
        self.is_new
    }
}

impl TargetPool {
    /// Returns an empty pool of at most `limit` connections.
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

    /// Changes the most connections that are open.
    pub fn set_limit(&self, limit: usize) {
        let mut current = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        if limit > *current {
            self.permits.add_permits(limit - *current);
            *current = limit;
        } else if limit < *current {
            *current -= self.permits.forget_permits(*current - limit);
        }
    }

    /// Takes a connection, and waits while as many as allowed carry requests. For a request that may
    /// run once only, `is_fresh` asks for one that is opened now: a kept one may have gone silent or
    /// may be closed at this moment, and what is sent on it is then lost without a trace.
    ///
    /// # Errors
    /// An error of the operating system, or a time-out: no byte of a request was sent.
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
    /// An error of the operating system, or a time-out.
    pub async fn replace(&self, taken: &mut PooledConnection) -> io::Result<()> {
        taken.connection = self.connect().await?;
        taken.is_new = true;
        Ok(())
    }

    /// Gives back a connection whose last request was answered whole; `keep` is how long the target
    /// says that it keeps it.
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
        let mut kept = self.idle();
        // Requests that want fresh connections leave theirs behind: all of them count at the target.
        if kept.len() < self.max_idle() {
            kept.push(idle);
        }
    }

    /// Gives back a connection that nothing was sent on, because its request was over before.
    ///
    /// Failure: while targets are full, attempts wait for connections until they are too late. Closing
    /// what was opened for them costs the next attempt a new connection, which holds one of the
    /// target's slots for some milliseconds: the target has the less room the more it is asked.
    pub fn give_back_unused(&self, taken: PooledConnection) {
        self.give_back(taken, None);
    }

    /// Gets the most connections that are kept beside those in use.
    fn max_idle(&self) -> usize {
        let limit = *self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        // The connection that is given back still counts as in use.
        self.permits.available_permits().min(limit) + 1
    }

    /// Opens a connection ahead of its first request, unless there is one.
    pub async fn preconnect(&self) {
        if !self.idle().is_empty() {
            return;
        }
        // A target that can't be reached shows it to the first request.
        if let Ok(connection) = self.connect().await {
            let idle = IdleConnection {
                connection,
                idle_since: self.clock.now(),
                idle_timeout: DEFAULT_IDLE_TIMEOUT,
            };
            self.idle().push(idle);
        }
    }

    /// Closes the connections that are idle.
    ///
    /// The path may have lost track of all connections that were open: they stay silent while new
    /// ones work, and each of them would cost one more attempt.
    pub fn close_idle(&self) {
        self.idle().clear();
    }

    fn take_idle(&self) -> Option<OpenConnection> {
        let now = self.clock.now();
        let mut idle = self.idle();
        loop {
            let kept = idle.pop()?;
            let is_fresh = now.since(kept.idle_since) < kept.idle_timeout;
            if is_fresh && kept.connection.sender.is_ready() {
                return Some(kept.connection);
            }
        }
    }

    async fn connect(&self) -> io::Result<OpenConnection> {
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await??;
        stream.set_nodelay(true)?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // An error of the connection reaches the request on it through its sender.
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
