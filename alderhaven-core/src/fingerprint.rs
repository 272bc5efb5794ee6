//! Fingerprint of a request, equal for all requests with the same template and parameters.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result};
use crate::ids::TemplateName;
use crate::parameters::ParameterSet;

/// BLAKE3 hash of a template's name and the canonical parameters, truncated to 128 bits.
///
/// The caller, the idempotency key and the deadline are not part of it, so a retried request keeps
/// its fingerprint. The text form is 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestFingerprint([u8; 16]);

impl RequestFingerprint {
    /// Computes the fingerprint of a template name and parsed parameters.
    #[must_use]
    pub fn of(template: &TemplateName, parameters: &ParameterSet) -> Self {
        Self::of_canonical(template.as_str(), parameters.canonical_json().as_bytes())
    }

    /// Computes the fingerprint of a template name and the canonical JSON of the parameters.
    #[must_use]
    pub fn of_canonical(template: &str, parameters: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(template.as_bytes());
        // Template names contain no zero byte, so it separates the name from the parameters.
        hasher.update(&[0]);
        hasher.update(parameters);
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(bytes)
    }

    /// Returns the first eight bytes, read as a little-endian number.
    #[must_use]
    pub fn leading_u64(&self) -> u64 {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(bytes)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl FromStr for RequestFingerprint {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let number = u128::from_str_radix(text, 16)
            .map_err(|_| Error::parse("fingerprint", text, "32 hexadecimal digits"))?;
        Ok(Self(number.to_be_bytes()))
    }
}

impl TryFrom<String> for RequestFingerprint {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<RequestFingerprint> for String {
    fn from(fingerprint: RequestFingerprint) -> Self {
        fingerprint.to_string()
    }
}
