//! The times within which changes in the store must be in force on all nodes.

use alderhaven_core::config_object::ObjectKind;
use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::watch_timing::WatchTiming;

/// The times within which changes in the store must be in force on all nodes, from the store's answer
/// to their writer on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreBounds {
    /// For a version of the configuration.
    pub config: TimeSpan,
    /// For a target that announces that it leaves, or that is removed.
    pub leaving_target: TimeSpan,
    /// For the evacuation of a failure domain.
    pub evacuation: TimeSpan,
}

impl Default for StoreBounds {
    fn default() -> Self {
        Self {
            config: TimeSpan::from_secs(3),
            leaving_target: TimeSpan::from_secs(3),
            evacuation: TimeSpan::from_secs(5),
        }
    }
}

impl StoreBounds {
    /// Returns the times of the calls that follow `kind`.
    #[must_use]
    pub fn watch_timing(&self, kind: ObjectKind) -> WatchTiming {
        WatchTiming::new(match kind {
            ObjectKind::Target => self.leaving_target,
            ObjectKind::Evacuation => self.evacuation,
            _ => self.config,
        })
    }
}
