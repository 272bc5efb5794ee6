//! A team of callers in the configuration in force.

use alderhaven_core::ids::TeamId;
use alderhaven_core::team::TeamPolicy;
use alderhaven_policy::hashing;
use alderhaven_policy::team_limit::TeamLimit;

/// What a front needs of a team to serve its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownTeam {
    /// Name of the team, which targets receive.
    pub name: TeamId,
    /// Rank of the team's queries, if it has one.
    pub rank: Option<u32>,
    /// Limit of the team over all fronts together, if it has one.
    pub limit: Option<TeamLimit>,
    /// Hash of the name, by which queries are told apart in admission.
    pub name_hash: u64,
}

impl From<&TeamPolicy> for KnownTeam {
    fn from(policy: &TeamPolicy) -> Self {
        Self {
            name: policy.name.clone(),
            rank: policy.rank,
            limit: TeamLimit::of_policy(policy),
            name_hash: hashing::hash_name(policy.name.as_str()),
        }
    }
}
