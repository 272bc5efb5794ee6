//! The limits of teams in the configuration in force.

use std::fmt;
use std::sync::Arc;

use alderhaven_core::ids::TeamId;
use alderhaven_policy::team_limit::TeamLimit;
use tokio::sync::watch;

use crate::catalog::Catalog;

type LimitLookup = Box<dyn Fn(&TeamId) -> Option<TeamLimit> + Send + Sync>;
type LimitCheck = Box<dyn Fn() -> bool + Send + Sync>;

/// Looks up limits; the result changes with the configuration.
pub struct CreditLimits {
    look_up: LimitLookup,
    has_limits: LimitCheck,
    changes: watch::Receiver<u64>,
}

impl CreditLimits {
    /// Creates the look-up from the limit of a team, from whether any team has one and from a channel
    /// that is notified when either may have changed.
    #[must_use]
    pub fn new(
        look_up: impl Fn(&TeamId) -> Option<TeamLimit> + Send + Sync + 'static,
        has_limits: impl Fn() -> bool + Send + Sync + 'static,
        changes: watch::Receiver<u64>,
    ) -> Self {
        Self {
            look_up: Box::new(look_up),
            has_limits: Box::new(has_limits),
            changes,
        }
    }

    /// Creates the look-up in the configuration in force.
    #[must_use]
    pub fn of_catalog(catalog: Arc<Catalog>) -> Self {
        let limits = Arc::clone(&catalog);
        let changes = catalog.subscribe();
        Self::new(
            move |team| limits.view().teams.as_ref()?.limit_of(team),
            move || {
                let view = catalog.view();
                view.teams.as_ref().is_some_and(|teams| teams.has_limits())
            },
            changes,
        )
    }

    /// Returns the limit of a team, if it has one.
    #[must_use]
    pub fn of_team(&self, team: &TeamId) -> Option<TeamLimit> {
        (self.look_up)(team)
    }

    /// Returns a channel that is notified when limits may have changed.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.clone()
    }

    /// Returns `true` if any team has a limit.
    #[must_use]
    pub fn has_any(&self) -> bool {
        (self.has_limits)()
    }
}

impl fmt::Debug for CreditLimits {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut output = formatter.debug_struct("CreditLimits");
        output.field("has_any", &self.has_any());
        output.finish()
    }
}
