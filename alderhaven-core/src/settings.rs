//! Reading of YAML settings files.

use std::fs;

use serde::de::DeserializeOwned;

use crate::errors::{Error, Result};

/// The largest settings file, in bytes, that is read.
pub const MAX_SETTINGS_BYTES: u64 = 1 << 20;

/// Reads a settings file.
///
/// # Errors
/// `Error::File` with the path, and for bad content the key, the line and what is allowed.
pub fn read_file<T: DeserializeOwned>(path: &str) -> Result<T> {
    let size = fs::metadata(path).map_err(|error| Error::file(path, error))?;
    if size.len() > MAX_SETTINGS_BYTES {
        return Err(Error::file(
            path,
            format!("larger than {MAX_SETTINGS_BYTES} bytes"),
        ));
    }
    let text = fs::read_to_string(path).map_err(|error| Error::file(path, error))?;
    read_text(path, &text)
}

/// Reads settings from a text; `path` names it in errors.
///
/// # Errors
/// `Error::File` with the key, the line and what is allowed.
pub fn read_text<T: DeserializeOwned>(path: &str, text: &str) -> Result<T> {
    serde_saphyr::from_str(text).map_err(|error| Error::file(path, error))
}
