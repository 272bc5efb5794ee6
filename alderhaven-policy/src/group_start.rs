//! How long a starting node waits for its peers to send it the configuration before it lists the store.
//!
//! Nodes of a group often start together, and each would otherwise list the whole store, page by page.
//! The group's seed nodes, whose addresses all nodes are given, list it first, and the others wait for
//! them. A node that restarts has callers waiting: it lists the store after a short wait for peers,
//! unless other live nodes come before it in the group's order. A node also stops waiting if a peer
//! reports that it can't reach the store. While the store does not answer, the first nodes retry at
//! short intervals and the others rarely.

use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::start_view::StartView;

/// The time in which peers in the same failure domain answer.
const NEAR_PEER_WAIT: TimeSpan = TimeSpan::from_millis(20);

/// The time that the first nodes of a restarting group need to list the store and pass on the result.
const GROUP_RESTART_WAIT: TimeSpan = TimeSpan::from_millis(1_500);

/// The time that seed nodes have to answer a restarting node that knows no other node. The callers of a
/// group that restarts as a whole wait as long.
const SEED_WAIT: TimeSpan = TimeSpan::from_millis(200);

/// The wait for the seed nodes in a first start, when there are no callers yet.
const FIRST_START_WAIT: TimeSpan = TimeSpan::from_millis(3_000);

/// The pause between two attempts of the first nodes to list the store; until one is answered, every
/// request is refused.
const LEADING_RETRY_PAUSE: TimeSpan = TimeSpan::from_millis(100);

/// The mean pause between two attempts of the other nodes.
const MEAN_RETRY_PAUSE: TimeSpan = TimeSpan::from_millis(800);

/// Returns the pause after an attempt that the store did not answer. `lists_store_first` says that the
/// node is among the first to ask; `random`, from 0 to 1, spreads the others.
#[must_use]
pub fn retry_pause(lists_store_first: bool, random: f64) -> TimeSpan {
    if lists_store_first {
        LEADING_RETRY_PAUSE
    } else {
        MEAN_RETRY_PAUSE.mul_f64(0.5 + random)
    }
}

/// The circumstances in which a node starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupStart {
    /// The group may be running and have callers.
    #[default]
    #[serde(rename = "again")]
    Restart,
    /// The group may be running and have callers, and this is one of its seed nodes.
    #[serde(rename = "again_known")]
    SeedRestart,
    /// The group starts for the first time, and this is one of its seed nodes.
    #[serde(rename = "first_known")]
    SeedFirstStart,
    /// The group starts for the first time, and this is not a seed node.
    #[serde(rename = "first")]
    FirstStart,
}

impl GroupStart {
    /// Returns `true` if the node is among those that list the whole store.
    #[must_use]
    pub const fn lists_store_first(self, view: StartView) -> bool {
        match self {
            Self::SeedFirstStart | Self::SeedRestart if !view.knows_peers => true,
            Self::FirstStart | Self::Restart if !view.knows_peers => false,
            _ => view.is_among_first,
        }
    }

    /// Returns how long to wait for peers before listing the store.
    #[must_use]
    pub const fn peer_wait(self, view: StartView) -> TimeSpan {
        match self {
            Self::SeedFirstStart => NEAR_PEER_WAIT,
            Self::SeedRestart | Self::Restart if self.lists_store_first(view) => NEAR_PEER_WAIT,
            _ if view.has_peer_lost_store => NEAR_PEER_WAIT,
            Self::FirstStart => FIRST_START_WAIT,
            Self::SeedRestart | Self::Restart if !view.knows_peers => SEED_WAIT,
            Self::SeedRestart | Self::Restart => GROUP_RESTART_WAIT,
        }
    }
}
