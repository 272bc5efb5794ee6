//! Complete bytes that stay accounted for while any part of them is in use.

use std::sync::Arc;

use bytes::Bytes;
use tokio_util::sync::CancellationToken;

use crate::byte_ledger::ByteLedger;
use crate::held_buffer::UNCOUNTED_BYTES;
use crate::holding::Holding;

/// A complete body. Its account ends when all clones of the bytes are dropped.
#[derive(Clone, Debug, Default)]
pub struct HeldBytes {
    bytes: Bytes,
    holding: Option<Arc<Holding>>,
}

/// The owner of bytes with an account.
struct AccountedBytes {
    bytes: Bytes,
    _holding: Arc<Holding>,
}

impl AsRef<[u8]> for AccountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldBytes {
    /// Creates the body from its bytes; few bytes have no account.
    #[must_use]
    pub fn new(bytes: Vec<u8>, holding: Option<Holding>) -> Self {
        Self::with_holding(Bytes::from(bytes), holding)
    }

    /// Accounts for bytes that are complete, unless they are few or can't be accounted for.
    #[must_use]
    pub fn account(bytes: Bytes, ledger: &Arc<ByteLedger>) -> Self {
        let holding = (bytes.len() > UNCOUNTED_BYTES).then(|| Holding::new(ledger));
        let holding = holding.filter(|holding| holding.resize(bytes.len()).is_ok());
        Self::with_holding(bytes, holding)
    }

    fn with_holding(bytes: Bytes, holding: Option<Holding>) -> Self {
        let Some(holding) = holding.map(Arc::new) else {
            return Self::from(bytes);
        };
        let owner = AccountedBytes {
            bytes,
            _holding: Arc::clone(&holding),
        };
        Self {
            bytes: Bytes::from_owner(owner),
            holding: Some(holding),
        }
    }

    /// Gets the bytes.
    #[must_use]
    pub const fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Returns the bytes, whose account lasts.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        self.bytes
    }

    /// Records that the bytes are being sent. If their receiver doesn't take them and others need the
    /// memory, `eviction` is cancelled.
    pub fn set_leaving(&self, eviction: &CancellationToken) {
        if let Some(holding) = &self.holding {
            holding.set_leaving(eviction.clone());
        }
    }
}

impl From<Bytes> for HeldBytes {
    /// Takes over bytes without an account.
    fn from(bytes: Bytes) -> Self {
        Self {
            bytes,
            holding: None,
        }
    }
}
