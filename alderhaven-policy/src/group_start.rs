//! How long a node that starts waits for its peers to tell it all, before it asks the store.
//!
//! Load pattern: all nodes of a group start within some tenths of a second, and each would list the
//! whole store, page by page, before it knows of any other.
//!
//! Without it: the calls before the first request grow with the nodes and the targets; the store's rate
//! grows more slowly.
//!
//! The rules:
//! - a group that starts for the first time has no callers yet. The nodes that all know by address ask,
//!   and the others wait for them;
//! - a node that starts again has callers who wait. It asks after a moment in which near peers answer,
//!   unless others that are alive go before it. One that knows of no other gives those that all know
//!   by address a little longer: its whole group may start again;
//! - where a node has said that the store does not answer it, another one may have more luck: it asks;
//! - a store that does not answer is asked again at short intervals by the first nodes, who tell the
//!   others, and seldom by those.

use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::start_view::StartView;

/// The time in which peers in the same failure domain answer.
const NEAR_PEER_WAIT: TimeSpan = TimeSpan::from_millis(20);

/// The time that the first nodes of a group that starts again need: their tries of the store, and the
/// way of what they learn.
const GROUP_RESTART_WAIT: TimeSpan = TimeSpan::from_millis(1_500);

/// The time that the nodes which all know by address have to tell one that knows of no other. Callers of
/// a group that starts again as a whole wait as long.
const SEED_WAIT: TimeSpan = TimeSpan::from_millis(200);

/// The same where the group starts for the first time: there are no callers yet.
const FIRST_START_WAIT: TimeSpan = TimeSpan::from_millis(3_000);

/// The pause between two tries of the first nodes in the order: until one is answered, each request is
/// refused.
const LEADING_RETRY_PAUSE: TimeSpan = TimeSpan::from_millis(100);

/// The same of the other nodes, on average.
const MEAN_RETRY_PAUSE: TimeSpan = TimeSpan::from_millis(800);

/// Gets the pause after a try that the store did not answer. `is_ahead` says that the node is among the
/// first, and `random`, 0 to 1, spreads the others.
#[must_use]
pub fn retry_pause(is_ahead: bool, random: f64) -> TimeSpan {
    if is_ahead {
        LEADING_RETRY_PAUSE
    } else {
        MEAN_RETRY_PAUSE.mul_f64(0.5 + random)
    }
}

/// A `GroupStart` is the way in which a node starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupStart {
    /// Its group may be running, with callers.
    #[default]
    #[serde(rename = "again")]
    Restart,
    /// The same of a node that all know by address.
    #[serde(rename = "again_known")]
    SeedRestart,
    /// Its group starts for the first time, and this is one of the nodes that all know by address.
    #[serde(rename = "first_known")]
    SeedFirstStart,
    /// Its group starts for the first time.
    #[serde(rename = "first")]
    FirstStart,
}

impl GroupStart {
    /// Returns true where the node is among those that ask the store for all.
    #[must_use]
    pub const fn lists_store_first(self, view: StartView) -> bool {
        match self {
            Self::SeedFirstStart | Self::SeedRestart if !view.knows_peers => true,
            Self::FirstStart | Self::Restart if !view.knows_peers => false,
            _ => view.is_among_first,
        }
    }

    /// Gets how long peers have to tell all.
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
