//! What a caller states about itself in a request.

use alderhaven_platform_standin::caller_headers::CallerHeaders;
use serde::Serialize;

/// The credential of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerCredential {
    /// No `Authorization` header.
    #[default]
    Missing,
    /// One key, which a configuration held at some time.
    Key(String),
    /// One key that no configuration ever holds.
    UnknownKey(String),
    /// The same valid key in two headers.
    Doubled(String),
    /// A valid key without the scheme that makes it one.
    Malformed(String),
}

impl CallerCredential {
    /// Returns the key, if it can identify a team.
    #[must_use]
    pub fn key(&self) -> Option<&str> {
        match self {
            Self::Key(key) => Some(key),
            Self::Missing | Self::UnknownKey(_) | Self::Doubled(_) | Self::Malformed(_) => None,
        }
    }

    /// Builds the headers with which the caller states the credential.
    #[must_use]
    pub fn headers(&self) -> CallerHeaders {
        match self {
            Self::Missing => CallerHeaders::default(),
            Self::Key(key) | Self::UnknownKey(key) => CallerHeaders::with_key(key),
            Self::Doubled(key) => {
                CallerHeaders::with_key(key).and_authorization(&format!("Bearer {key}"))
            }
            Self::Malformed(key) => CallerHeaders::default().and_authorization(key),
        }
    }
}
