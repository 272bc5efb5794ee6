//! Credit for one request.

use std::sync::Arc;

use alderhaven_core::ids::TeamId;
use alderhaven_policy::team_account::TakenCredit;

use crate::credit_keeper::CreditKeeper;

/// Credit for one request. The credit is used unless it is refunded.
#[derive(Debug)]
pub struct CreditPermit {
    keeper: Arc<CreditKeeper>,
    team: TeamId,
    credit: TakenCredit,
}

impl CreditPermit {
    pub(crate) const fn new(keeper: Arc<CreditKeeper>, team: TeamId, credit: TakenCredit) -> Self {
        Self {
            keeper,
            team,
            credit,
        }
    }

    /// Gives the credit back, for a request that did not run.
    pub fn refund(self) {
        self.keeper.give_back(&self.team, self.credit);
    }
}
