//! Polling of conditions, in place of fixed sleeps.

use std::time::Duration;

use eyre::{Result, bail};
use tokio::time;
use tokio::time::Instant;

/// The default timeout of conditions.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause between two probes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `probe` returns a value. An error of the probe is retried.
///
/// # Errors
/// [`CONDITION_TIMEOUT`] passed. The error names `description` and the last error of the probe.
pub async fn until<T>(
    description: &str,
    probe: impl AsyncFnMut() -> Result<Option<T>>,
) -> Result<T> {
    within(CONDITION_TIMEOUT, description, probe).await
}

/// Waits until `probe` returns a value, for at most `timeout`.
///
/// # Errors
/// `timeout` passed. The error names `description` and the last error of the probe.
pub async fn within<T>(
    timeout: Duration,
    description: &str,
    mut probe: impl AsyncFnMut() -> Result<Option<T>>,
) -> Result<T> {
    let deadline = Instant::now() + timeout;
    let mut last_error = String::from("none");
    loop {
        match time::timeout_at(deadline, probe()).await {
            Ok(Ok(Some(value))) => return Ok(value),
            Ok(Ok(None)) => {}
            Ok(Err(error)) => last_error = format!("{error:#}"),
            Err(_) => bail!("{description}: not within {timeout:?}; the last probe did not return"),
        }
        if Instant::now() >= deadline {
            bail!("{description}: not within {timeout:?}; last error: {last_error}");
        }
        time::sleep(POLL_INTERVAL).await;
    }
}
