//! Wall-clock time.

use std::time::{SystemTime, UNIX_EPOCH};

/// Gets milliseconds of Unix time; 0 if the clock is set before 1970.
#[must_use]
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
