//! Reading of YAML settings files, and deserialization of addresses in them.

use std::fs;
use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, de};

use crate::errors::{Error, Result};

/// Maximum size of a settings file in bytes.
pub const MAX_SETTINGS_BYTES: u64 = 1 << 20;

/// Reads a settings file of at most [`MAX_SETTINGS_BYTES`].
///
/// # Errors
/// `Error::File` with the path, and for invalid content the key, the line and what is allowed.
pub fn read_file<T: DeserializeOwned>(path: &str) -> Result<T> {
    let size = fs::metadata(path).map_err(|error| Error::file(path, error))?;
    if size.len() > MAX_SETTINGS_BYTES {
        return Err(Error::file(
            path,
            format!("the file is larger than {MAX_SETTINGS_BYTES} bytes"),
        ));
    }
    let text = fs::read_to_string(path).map_err(|error| Error::file(path, error))?;
    read_text(path, &text)
}

/// Parses settings from a text. Errors name `path` as its origin.
///
/// # Errors
/// `Error::File` with the key, the line and what is allowed.
pub fn read_text<T: DeserializeOwned>(path: &str, text: &str) -> Result<T> {
    serde_saphyr::from_str(text).map_err(|error| Error::file(path, error))
}

/// Deserializes an address, for use in `deserialize_with`.
///
/// # Errors
/// A message with the value and the allowed form, which the message of serde itself lacks.
pub fn address<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> std::result::Result<SocketAddr, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse_address(&text).map_err(de::Error::custom)
}

/// Deserializes a list of addresses, for use in `deserialize_with`.
///
/// # Errors
/// As for [`address`].
pub fn addresses<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> std::result::Result<Vec<SocketAddr>, D::Error> {
    let texts = Vec::<String>::deserialize(deserializer)?;
    let parsed: Result<Vec<SocketAddr>> = texts.iter().map(|text| parse_address(text)).collect();
    parsed.map_err(de::Error::custom)
}

fn parse_address(text: &str) -> Result<SocketAddr> {
    let allowed = "an IP number and a port, for example 10.0.1.4:8080";
    text.parse()
        .map_err(|_| Error::parse("address", text, allowed))
}
