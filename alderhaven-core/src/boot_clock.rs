//! Clock of a process that also counts the time in which its host was suspended.

use rustix::time::{ClockId, clock_gettime};

use crate::time::{TimePoint, TimeSpan};

/// Clock that counts from its creation, suspended time included. Copies share the same start.
///
/// What expires for safety, such as a lease, is measured by this clock: the monotonic clock stands
/// still while a host is suspended, so that an expired lease would look valid afterwards.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: TimeSpan,
}

impl Default for BootClock {
    fn default() -> Self {
        Self {
            start: since_boot(),
        }
    }
}

impl BootClock {
    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        TimePoint::START + since_boot().saturating_sub(self.start)
    }
}

fn since_boot() -> TimeSpan {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    TimeSpan::from_secs(seconds) + TimeSpan::from_micros(nanos / 1_000)
}
