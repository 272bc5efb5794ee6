//! The time of day, by which words of one node are ordered and old ones are told from new ones.

use std::time::{SystemTime, UNIX_EPOCH};

/// Gets the milliseconds of Unix time; 0 on a clock that is set to before it began.
#[must_use]
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
