//! Waiting on conditions in place of sleeping.

use std::time::Duration;

use eyre::{Result, bail};
use tokio::time;
use tokio::time::Instant;

/// The time within which every condition must come about; far above what a busy machine needs.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `probe` gives a value; an error of the probe counts as "not yet".
///
/// # Errors
/// Where the limit passes; it names `what` and the last error.
pub async fn until<T>(what: &str, probe: impl AsyncFnMut() -> Result<Option<T>>) -> Result<T> {
    within(CONDITION_TIMEOUT, what, probe).await
}

/// Waits until `probe` gives a value, for a promise that names its own time.
///
/// # Errors
/// As for [`until`].
pub async fn within<T>(
    timeout: Duration,
    what: &str,
    mut probe: impl AsyncFnMut() -> Result<Option<T>>,
) -> Result<T> {
    let deadline = Instant::now() + timeout;
    let mut last_error = String::from("none");
    loop {
        match time::timeout_at(deadline, probe()).await {
            Ok(Ok(Some(value))) => return Ok(value),
            Ok(Ok(None)) => {}
            Ok(Err(error)) => last_error = format!("{error:#}"),
            Err(_) => bail!("{what}: not within {timeout:?}, and the last look hangs"),
        }
        if Instant::now() >= deadline {
            bail!("{what}: not within {timeout:?}; last error: {last_error}");
        }
        time::sleep(POLL_INTERVAL).await;
    }
}
