//! The place of one connection under a limit.

use std::sync::Arc;

use alderhaven_policy::connection_table::ConnectionId;
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::sync::CancellationToken;

use crate::connection_limit::ConnectionLimit;

/// An admitted connection. It leaves the limit when this is dropped.
#[derive(Debug)]
pub struct ConnectionSlot {
    limit: Arc<ConnectionLimit>,
    id: ConnectionId,
    closing: CancellationToken,
}

/// A request of a connection that runs. Meanwhile the connection isn't closed for new ones.
#[derive(Debug)]
pub struct RunningRequest<'a> {
    slot: &'a ConnectionSlot,
}

impl ConnectionSlot {
    pub(crate) const fn new(
        limit: Arc<ConnectionLimit>,
        id: ConnectionId,
        closing: CancellationToken,
    ) -> Self {
        Self { limit, id, closing }
    }

    /// Waits until the connection must be closed.
    pub async fn closed(&self) {
        self.closing.cancelled().await;
    }

    /// Gets the token that closes the connection.
    #[must_use]
    pub const fn closing(&self) -> &CancellationToken {
        &self.closing
    }

    /// Lets a connection that ends send its last answer and discard what its peer still sends, unless too
    /// many do; until the result is dropped.
    #[must_use]
    pub fn begin_refusal(&self) -> Option<OwnedSemaphorePermit> {
        self.limit.begin_refusal()
    }

    /// Records that the peer has sent something.
    pub fn touch(&self) {
        self.limit.end_run(self.id);
    }

    /// Keeps the connection open from now on.
    pub fn protect(&self) {
        self.limit.begin_run(self.id);
    }

    /// Records that a request of the connection runs, until the result is dropped.
    #[must_use]
    pub fn begin_run(&self) -> RunningRequest<'_> {
        self.limit.begin_run(self.id);
        RunningRequest { slot: self }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.limit.remove(self.id);
    }
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        self.slot.limit.end_run(self.slot.id);
    }
}
