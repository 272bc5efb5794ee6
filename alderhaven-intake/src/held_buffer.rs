//! Reads a body into one buffer whose memory is accounted for.

use std::sync::Arc;

use alderhaven_core::quantities::ByteSize;
use alderhaven_policy::byte_budget::HoldDestination;
use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use tokio::task;

use crate::body_error::BodyError;
use crate::byte_ledger::ByteLedger;
use crate::held_bytes::HeldBytes;
use crate::holding::{BudgetSpent, Holding};

/// Buffers up to this capacity have no account; their number is bounded by that of the connections.
pub(crate) const UNCOUNTED_BYTES: usize = 4 << 10;

/// The least part of a buffer by which it grows.
const GROWTH_DIVISOR: usize = 2;

/// A body of which a part has arrived.
///
/// The data is copied: a received piece of one byte may keep the whole buffer of its connection.
#[derive(Debug)]
pub struct HeldBuffer {
    ledger: Arc<ByteLedger>,
    bytes: Vec<u8>,
    max_bytes: usize,
    growth: BufferGrowth,
    holding: Option<Holding>,
}

/// How a buffer grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BufferGrowth {
    /// With what has arrived. The sender may announce more than it sends.
    Arrived,
    /// At once to the announced length, which saves copies.
    Announced,
}

impl HeldBuffer {
    /// Creates an empty buffer for a body of at most `max`.
    #[must_use]
    pub const fn new(ledger: Arc<ByteLedger>, max: ByteSize) -> Self {
        Self {
            ledger,
            bytes: Vec::new(),
            max_bytes: max.as_bytes(),
            growth: BufferGrowth::Arrived,
            holding: None,
        }
    }

    /// Makes the buffer as long as the body announces, for senders that keep to it.
    #[must_use]
    pub const fn with_announced_length(mut self) -> Self {
        self.growth = BufferGrowth::Announced;
        self
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    /// [`BodyError`], without having read the rest.
    pub async fn read<B>(&mut self, body: B) -> Result<(), BodyError>
    where
        B: Body<Data = Bytes>,
    {
        let mut body = std::pin::pin!(body);
        let announced = body.size_hint();
        if announced.lower() > self.max_bytes as u64 {
            return Err(BodyError::TooLarge);
        }
        let expected = announced
            .exact()
            .and_then(|size| usize::try_from(size).ok());
        loop {
            let frame = tokio::select! {
                biased;
                () = self.evicted() => return Err(self.no_memory()),
                frame = body.frame() => frame,
            };
            match frame {
                None => return Ok(()),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data()
                        && self.push(&data, expected)? > 0
                    {
                        // Lets those that give way free their memory before more of it is used.
                        task::yield_now().await;
                    }
                }
                Some(Err(_)) => return Err(BodyError::Incomplete),
            }
        }
    }

    /// Ends the body and records that it is in use.
    ///
    /// # Errors
    /// [`BodyError::NoMemory`] if the bodies in use for the destination occupy too much already.
    pub fn finish(self, destination: Option<HoldDestination>) -> Result<HeldBytes, BodyError> {
        if let Some(holding) = &self.holding
            && holding.set_in_use(destination).is_err()
        {
            return Err(self.no_memory());
        }
        Ok(HeldBytes::new(self.bytes, self.holding))
    }

    /// Adds data, and returns how many holders must give way to it.
    fn push(&mut self, data: &[u8], expected: Option<usize>) -> Result<usize, BodyError> {
        let length = self.bytes.len() + data.len();
        if length > self.max_bytes {
            return Err(BodyError::TooLarge);
        }
        let evicted = if length > self.bytes.capacity() {
            self.grow(length, expected)?
        } else {
            0
        };
        self.bytes.extend_from_slice(data);
        Ok(evicted)
    }

    /// Grows the buffer, at least by a part of itself, but not beyond the expected length.
    fn grow(&mut self, length: usize, expected: Option<usize>) -> Result<usize, BodyError> {
        let capacity = self.bytes.capacity();
        let most = expected.unwrap_or(self.max_bytes).max(length);
        let capacity = match (self.growth, expected) {
            (BufferGrowth::Announced, Some(_)) => most,
            _ => (capacity + capacity / GROWTH_DIVISOR).clamp(length, most),
        };
        let mut evicted = 0;
        if capacity > UNCOUNTED_BYTES {
            let holding = self
                .holding
                .get_or_insert_with(|| Holding::new(&self.ledger));
            match holding.resize(capacity) {
                Ok(count) => evicted = count,
                Err(BudgetSpent) => return Err(self.no_memory()),
            }
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(evicted)
    }

    async fn evicted(&self) {
        match &self.holding {
            Some(holding) => holding.evicted().await,
            None => std::future::pending().await,
        }
    }

    const fn no_memory(&self) -> BodyError {
        BodyError::NoMemory {
            received: ByteSize::from_bytes(self.bytes.len()),
        }
    }
}
