//! The settings of the links to relays.

use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// A `LinkOptions` says how soon a silent link is noticed.
///
/// Grounds for the figures: at 64 relays, four pings a second are 256 small frames a second for an
/// entry, some 8 KB/s. A second without any frame is four lost answers, and leaves time for a retry
/// within the templates' deadlines of some seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkOptions {
    /// The time between two pings.
    pub ping_every: TimeSpan,
    /// The silence after which a link is replaced; zero never does.
    pub max_silence: TimeSpan,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self {
            ping_every: TimeSpan::from_millis(250),
            max_silence: TimeSpan::from_secs(1),
        }
    }
}
