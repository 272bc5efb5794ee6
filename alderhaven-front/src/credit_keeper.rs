//! Keeps the limits of teams together with the other fronts.

use std::net::SocketAddr;
use std::sync::Arc;

use alderhaven_core::ids::TeamId;
use alderhaven_core::time::TimeSpan;
use alderhaven_peer::control_messages::{CreditQuery, CreditReply};
use alderhaven_policy::quota_bound::QuotaBound;
use alderhaven_policy::team_limit::TeamLimit;

use crate::control_socket::ControlSocket;

/// The credit of one front, shared by its tasks.
#[derive(Debug)]
pub struct CreditKeeper {
    _bound: QuotaBound,
    _socket: Arc<ControlSocket>,
}

/// Credit for one request. The credit is used unless it is refunded.
#[derive(Debug)]
pub struct CreditPermit;

/// Why there is no credit for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditRefusal {
    /// The team is over its limit until credit returns.
    OverLimit {
        /// Time until the team has credit again.
        retry_after: TimeSpan,
    },
    /// The front has no credit and can't obtain any now.
    Unavailable {
        /// Time after which the caller should retry.
        retry_after: TimeSpan,
    },
}

impl CreditKeeper {
    /// Creates the keeper of a process without credit.
    #[must_use]
    pub const fn new(bound: QuotaBound, socket: Arc<ControlSocket>) -> Self {
        Self {
            _bound: bound,
            _socket: socket,
        }
    }

    /// Takes credit for one request, waiting up to `max_wait` for a reply of the pool.
    ///
    /// # Errors
    /// The refusal if there is no credit.
    #[expect(clippy::unused_async, reason = "teams are not limited yet")]
    pub async fn acquire(
        &self,
        _team: &TeamId,
        _limit: TeamLimit,
        _max_wait: TimeSpan,
    ) -> Result<CreditPermit, CreditRefusal> {
        Ok(CreditPermit)
    }

    /// Answers the query of another front.
    pub const fn handle_query(&self, _query: &CreditQuery, _sender: SocketAddr) {}

    /// Applies the reply of the pool.
    pub const fn handle_reply(&self, _reply: &CreditReply, _sender: SocketAddr) {}
}

impl CreditPermit {
    /// Gives the credit back, for a request that did not run.
    pub const fn refund(self) {}
}
