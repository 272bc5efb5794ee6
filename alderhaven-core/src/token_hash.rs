//! Hash by which bearer tokens are kept and compared.

use std::fmt;
use std::str::FromStr;

use crate::errors::{Error, Result};

/// The form of a token hash.
pub(crate) const HASH_FORM: &str = "allowed is a BLAKE3 hash of 64 hexadecimal digits";

/// BLAKE3 hash of a bearer token. The text form has 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TokenHash(blake3::Hash);

impl TokenHash {
    /// Hashes a token.
    #[must_use]
    pub fn of_token(token: &[u8]) -> Self {
        Self(blake3::hash(token))
    }
}

impl fmt::Display for TokenHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for TokenHash {
    type Err = Error;

    /// The error does not contain the text, which may be a token.
    fn from_str(text: &str) -> Result<Self> {
        blake3::Hash::from_hex(text)
            .map(Self)
            .map_err(|_| Error::invalid("token_hash", HASH_FORM))
    }
}
