//! Rank of a query wherever work waits.

/// Order of queries by urgency; the smallest is served first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryRank {
    /// Rank of the team, or of the route if the team has none; it decides.
    pub primary: u32,
    /// Rank of the route; it orders queries with the same primary rank.
    pub secondary: u32,
}

impl QueryRank {
    /// Creates the rank of a query by the rank of its team, if any, and that of its route.
    #[must_use]
    pub const fn new(team_rank: Option<u32>, route_rank: u32) -> Self {
        let primary = match team_rank {
            Some(rank) => rank,
            None => route_rank,
        };
        Self {
            primary,
            secondary: route_rank,
        }
    }

    /// Creates the rank of a query without a team rank.
    #[must_use]
    pub const fn of_route(route_rank: u32) -> Self {
        Self::new(None, route_rank)
    }
}
