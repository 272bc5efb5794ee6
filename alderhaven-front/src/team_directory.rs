//! Finds the team of a caller's key. Keys are held as hashes only.

use std::collections::HashMap;
use std::sync::Arc;

use alderhaven_core::team::TeamPolicy;
use alderhaven_core::token_hash::TokenHash;

use crate::known_team::KnownTeam;

/// The teams of one configuration by the hashes of their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamDirectory {
    by_key: HashMap<TokenHash, Arc<KnownTeam>>,
}

impl TeamDirectory {
    /// Builds the directory of a configuration's teams; `None` if it has no teams.
    #[must_use]
    pub fn of_teams(teams: &[TeamPolicy]) -> Option<Self> {
        if teams.is_empty() {
            return None;
        }
        let mut by_key = HashMap::new();
        for policy in teams {
            let team = Arc::new(KnownTeam::from(policy));
            // A malformed hash matches no key; the configuration is validated when it is read.
            let hashes = policy.token_hashes().filter_map(|hash| hash.parse().ok());
            by_key.extend(hashes.map(|hash| (hash, Arc::clone(&team))));
        }
        Some(Self { by_key })
    }

    /// Finds the team of a key.
    #[must_use]
    pub fn find(&self, key: &TokenHash) -> Option<&Arc<KnownTeam>> {
        self.by_key.get(key)
    }
}
