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
//!   unless others that are alive go before it;
//! - where a node has said that the store does not answer it, another one may have more luck: it asks.

use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// The time in which peers in the same failure domain answer. A longer wait is paid for by the callers
/// of a group that starts again as a whole.
const PEER_CHANCE: TimeSpan = TimeSpan::from_millis(20);

/// The time that the first nodes of a group that starts again need: their tries of the store, and the
/// way of what they learn.
const GROUP_CHANCE: TimeSpan = TimeSpan::from_millis(1_500);

/// The same where the group starts for the first time, and some hundred nodes meet: traffic begins
/// seconds later.
const FIRST_CHANCE: TimeSpan = TimeSpan::from_millis(3_000);

/// A `GroupStart` is the way in which a node starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupStart {
    /// Its group may be running, with callers.
    #[default]
    Again,
    /// Its group starts for the first time, and this is one of the nodes that all know by address.
    FirstKnown,
    /// Its group starts for the first time.
    First,
}

impl GroupStart {
    /// Gets how long peers have to tell all. `is_ahead` says that the node is among the first of those
    /// that it knows, `has_failed` that the store did not answer another one.
    #[must_use]
    pub const fn chance(self, is_ahead: bool, has_failed: bool) -> TimeSpan {
        match self {
            _ if has_failed => PEER_CHANCE,
            Self::FirstKnown => PEER_CHANCE,
            Self::First => FIRST_CHANCE,
            Self::Again if is_ahead => PEER_CHANCE,
            Self::Again => GROUP_CHANCE,
        }
    }
}
