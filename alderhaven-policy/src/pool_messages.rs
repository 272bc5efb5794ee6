//! What fronts and pools tell each other about shares and credit.

use alderhaven_core::ids::{NodeId, TeamId};
use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::delegation_term::DelegationTerm;

/// Random number that a process draws at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ProcessEpoch(pub u64);

/// Query of a front to the pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolQuery {
    /// Increases with each query of the process.
    pub number: u64,
    /// The front.
    pub node: NodeId,
    /// The front's process.
    pub epoch: ProcessEpoch,
    /// Echo of the pool's latest reply; `None` before the first.
    pub offer: Option<ShareOffer>,
    /// The teams for which credit is wanted or returned.
    pub teams: Vec<TeamDemand>,
}

/// A share that a front delegates, which may be 0, and the moment from which its lifetime counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareOffer {
    /// The pool's process.
    pub pool_epoch: ProcessEpoch,
    /// The pool's clock in its latest reply.
    pub pool_time: TimePoint,
    /// The delegated share.
    pub share: f64,
}

impl ShareOffer {
    /// Returns until when the pool counts the share, by its own clock.
    #[must_use]
    pub fn expires_at(&self) -> TimePoint {
        self.pool_time + DelegationTerm::of_share(self.share).lifetime()
    }
}

/// Credit that a front wants and returns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamDemand {
    /// The team.
    pub team: TeamId,
    /// Requests for which credit is wanted.
    pub wanted: u32,
    /// Requests whose credit was not used.
    pub returned: u32,
    /// When the pool granted the returned credit, by its own clock.
    pub granted_at: TimePoint,
}

/// Reply of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolReply {
    /// Number of the query.
    pub number: u64,
    /// The pool's process.
    pub pool_epoch: ProcessEpoch,
    /// The pool's clock.
    pub pool_time: TimePoint,
    /// Results for the teams that the pool can serve.
    pub grants: Vec<TeamGrant>,
}

/// Credit that was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamGrant {
    /// The team.
    pub team: TeamId,
    /// Requests granted.
    pub granted: u32,
    /// Time until the pool has more credit, zero if all was granted.
    pub available_after: TimeSpan,
}
