//! The kept connections to one target.

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use alderhaven_core::time::TimeSpan;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time;

/// A `TargetSender` is one connection that can carry one request at a time.
pub type TargetSender = SendRequest<Full<Bytes>>;

/// A `TargetConnections` keeps connections to one target open between attempts.
///
/// A new connection costs up to 6 ms (the brief's table), more than many a query takes at the
/// target, so a connection that has answered is kept. One whose attempt was not answered is never
/// given back: a late answer on it would be read as the answer to the next attempt.
#[derive(Debug)]
pub struct TargetConnections {
    address: SocketAddr,
    connect_timeout: TimeSpan,
    idle: Mutex<Vec<TargetSender>>,
}

impl TargetConnections {
    /// Returns an empty set of connections to `address`.
    #[must_use]
    pub const fn new(address: SocketAddr, connect_timeout: TimeSpan) -> Self {
        Self {
            address,
            connect_timeout,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Gets the target's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gets the number of idle connections.
    #[must_use]
    pub fn idle_count(&self) -> usize {
        self.lock().len()
    }

    /// Takes an idle connection, or makes a new one.
    ///
    /// # Errors
    /// An error of the operating system, or a time-out: no byte of a request was sent.
    pub async fn take(&self) -> io::Result<TargetSender> {
        loop {
            let Some(sender) = self.lock().pop() else {
                return self.connect().await;
            };
            if sender.is_ready() {
                return Ok(sender);
            }
        }
    }

    /// Gives back a connection whose last request was answered in full.
    pub fn give_back(&self, sender: TargetSender) {
        if !sender.is_closed() {
            self.lock().push(sender);
        }
    }

    /// Makes a new connection.
    ///
    /// # Errors
    /// An error of the operating system, or a time-out.
    pub async fn connect(&self) -> io::Result<TargetSender> {
        let connecting = TcpStream::connect(self.address);
        let stream = time::timeout(self.connect_timeout.as_duration(), connecting).await??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(async move {
            // An error of the connection reaches the attempt on it through its sender.
            let _ended = connection.await;
        });
        Ok(sender)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<TargetSender>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
