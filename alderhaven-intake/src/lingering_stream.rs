//! A connection that is closed without losing its last answer.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time;

/// How long the rest of a request is read after its answer.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// The most bytes that are read then. They are discarded.
const LINGER_BYTES: u64 = 1 << 20;

/// The stream of a connection, which leaves its socket behind when it is dropped.
#[derive(Debug)]
pub struct LingeringStream {
    stream: Option<TcpStream>,
    socket: Arc<KeptSocket>,
}

/// The socket of a connection that has ended, if it was kept.
#[derive(Debug, Default)]
pub struct KeptSocket {
    is_kept: AtomicBool,
    stream: Mutex<Option<TcpStream>>,
}

impl LingeringStream {
    /// Wraps the stream of a connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> (Self, Arc<KeptSocket>) {
        let socket = Arc::new(KeptSocket::default());
        let lingering = Self {
            stream: Some(stream),
            socket: Arc::clone(&socket),
        };
        (lingering, socket)
    }

    fn inner(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        let stream = self.stream.as_mut().map(Pin::new);
        stream.ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

impl KeptSocket {
    /// Sets whether the socket is kept when the connection ends, because a part of a request was not read.
    /// A socket that is closed with unread bytes resets the connection, and its peer may lose the answer.
    pub fn set_kept(&self, is_kept: bool) {
        self.is_kept.store(is_kept, Ordering::Relaxed);
    }

    /// Returns true if the socket is kept.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.is_kept.load(Ordering::Relaxed)
    }

    /// Reads and discards what is still on the way, if the socket was kept, and closes it.
    pub async fn close(&self) {
        let stream = self.lock().take();
        let Some(stream) = stream else {
            return;
        };
        let mut rest = stream.take(LINGER_BYTES);
        let mut discarded = tokio::io::sink();
        let reading = tokio::io::copy(&mut rest, &mut discarded);
        // The peer may stay, or reset the connection.
        let _ended = time::timeout(LINGER_TIME, reading).await;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<TcpStream>> {
        self.stream.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for LingeringStream {
    fn drop(&mut self) {
        if self.socket.is_kept() {
            *self.socket.lock() = self.stream.take();
        }
    }
}

impl AsyncRead for LingeringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.inner()?.poll_read(context, buffer)
    }
}

impl AsyncWrite for LingeringStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.inner()?.poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner()?.poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner()?.poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.inner()?.poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream
            .as_ref()
            .is_some_and(AsyncWrite::is_write_vectored)
    }
}
