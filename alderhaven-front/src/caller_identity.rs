//! Who sent a request, as far as the configuration distinguishes callers.

use std::sync::Arc;

use alderhaven_policy::query_rank::QueryRank;

use crate::known_team::KnownTeam;
use crate::wire_dialect::TeamHeader;

/// The caller of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerIdentity {
    /// Not determined here: the configuration has no teams, or the front that sent a group request
    /// has determined it.
    Undetermined,
    /// The route is open to all.
    Anyone,
    /// The caller has a key of this team.
    Team(Arc<KnownTeam>),
}

impl CallerIdentity {
    /// Returns the caller's team, if it is known.
    #[must_use]
    pub fn team(&self) -> Option<&KnownTeam> {
        match self {
            Self::Team(team) => Some(team),
            Self::Undetermined | Self::Anyone => None,
        }
    }

    /// Returns the team header that targets receive.
    #[must_use]
    pub fn team_header(&self) -> TeamHeader<'_> {
        match self {
            Self::Undetermined => TeamHeader::AsReceived,
            Self::Anyone => TeamHeader::Absent,
            Self::Team(team) => TeamHeader::Named(&team.name),
        }
    }

    /// Returns the rank of the caller's queries on a route of this rank.
    #[must_use]
    pub fn query_rank(&self, route_rank: u32) -> QueryRank {
        QueryRank::new(self.team().and_then(|team| team.rank), route_rank)
    }

    /// Returns the hash of the team's name, or 0 without a team.
    #[must_use]
    pub fn team_hash(&self) -> u64 {
        self.team().map_or(0, |team| team.name_hash)
    }
}
