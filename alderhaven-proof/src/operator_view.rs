//! Queries of a process's operator interface, such as its status and its debug dump.

use std::net::SocketAddr;

use alderhaven_standin::http_connection::HttpConnection;
use eyre::{Result, bail};
use http::Request;
use http_body_util::Full;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Fetches a JSON document from a process.
///
/// # Errors
/// The process can't be reached, or its response is not a success with the expected JSON.
pub async fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T> {
    Ok(serde_json::from_str(&get_text(address, path).await?)?)
}

/// Fetches a text from a process.
///
/// # Errors
/// The process can't be reached, or its response is not a success with UTF-8 text.
pub async fn get_text(address: SocketAddr, path: &str) -> Result<String> {
    let mut connection = HttpConnection::connect(address).await?;
    let response = connection
        .send(Request::get(path).body(Full::default())?)
        .await?;
    if !response.status().is_success() {
        bail!("{path} got status {}", response.status());
    }
    Ok(String::from_utf8(response.into_body().to_vec())?)
}

/// Fetches the revision of the configuration in force; `None` before the first.
///
/// # Errors
/// As for [`get_json`].
pub async fn config_revision(operator: SocketAddr) -> Result<Option<u64>> {
    let status: Value = get_json(operator, "/debug/status").await?;
    Ok(status["config"]["revision"].as_u64())
}

/// Fetches the number of relays that an entry can use.
///
/// # Errors
/// As for [`get_json`].
pub async fn usable_relay_count(operator: SocketAddr) -> Result<usize> {
    let dump: Value = get_json(operator, "/debug/dump").await?;
    let relays = dump["relays"].as_array().map_or(&[][..], Vec::as_slice);
    Ok(relays
        .iter()
        .filter(|relay| relay["usable"] == Value::Bool(true))
        .count())
}
