//! Finds teams by keys and by names. Keys are held as hashes only.

use std::collections::HashMap;
use std::sync::Arc;

use alderhaven_core::ids::TeamId;
use alderhaven_core::team::TeamPolicy;
use alderhaven_core::token_hash::TokenHash;
use alderhaven_policy::team_limit::TeamLimit;

use crate::known_team::KnownTeam;

/// The teams of one configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamDirectory {
    by_key: HashMap<TokenHash, Arc<KnownTeam>>,
    limits: HashMap<TeamId, TeamLimit>,
}

impl TeamDirectory {
    /// Builds the directory of a configuration's teams; `None` if it has no teams.
    #[must_use]
    pub fn of_teams(teams: &[TeamPolicy]) -> Option<Self> {
        if teams.is_empty() {
            return None;
        }
        let mut by_key = HashMap::new();
        let mut limits = HashMap::new();
        for policy in teams {
            let team = Arc::new(KnownTeam::from(policy));
            // A malformed hash matches no key; the configuration is validated when it is read.
            let hashes = policy.token_hashes().filter_map(|hash| hash.parse().ok());
            by_key.extend(hashes.map(|hash| (hash, Arc::clone(&team))));
            limits.extend(team.limit.map(|limit| (team.name.clone(), limit)));
        }
        Some(Self { by_key, limits })
    }

    /// Finds the team of a key.
    #[must_use]
    pub fn find(&self, key: &TokenHash) -> Option<&Arc<KnownTeam>> {
        self.by_key.get(key)
    }

    /// Returns the limit of a team, if it has one.
    #[must_use]
    pub fn limit_of(&self, team: &TeamId) -> Option<TeamLimit> {
        self.limits.get(team).copied()
    }

    /// Returns true if any team has a limit.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }
}
