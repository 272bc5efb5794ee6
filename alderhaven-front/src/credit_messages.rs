//! Converts credit messages between their wire form and that of the decisions.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_peer::control_messages::{
    CreditDemand, CreditGrant, CreditQuery, CreditReply, ShareDelegation,
};
use alderhaven_policy::pool_messages::{
    PoolQuery, PoolReply, ProcessEpoch, ShareOffer, TeamDemand, TeamGrant,
};

/// Converts a query to its wire form.
#[must_use]
pub fn encode_query(query: &PoolQuery) -> CreditQuery {
    let teams = query.teams.iter().map(|demand| CreditDemand {
        team: demand.team.to_string(),
        wanted: demand.wanted,
        returned: demand.returned,
        granted_at_us: demand.granted_at.as_micros(),
    });
    CreditQuery {
        number: query.number,
        node: query.node.to_string(),
        sender_epoch: query.epoch.0,
        delegation: query.offer.map(|offer| ShareDelegation {
            pool_epoch: offer.pool_epoch.0,
            pool_time_us: offer.pool_time.as_micros(),
            share: offer.share,
        }),
        teams: teams.collect(),
    }
}

/// Converts a query from its wire form; `None` if its node is not a valid name. A team with an invalid
/// name is left out, as no configuration has it.
#[must_use]
pub fn decode_query(query: &CreditQuery) -> Option<PoolQuery> {
    let teams = query.teams.iter().filter_map(|demand| {
        Some(TeamDemand {
            team: demand.team.parse().ok()?,
            wanted: demand.wanted,
            returned: demand.returned,
            granted_at: TimePoint::from_micros(demand.granted_at_us),
        })
    });
    Some(PoolQuery {
        number: query.number,
        node: query.node.parse().ok()?,
        epoch: ProcessEpoch(query.sender_epoch),
        offer: query.delegation.map(|delegation| ShareOffer {
            pool_epoch: ProcessEpoch(delegation.pool_epoch),
            pool_time: TimePoint::from_micros(delegation.pool_time_us),
            share: delegation.share,
        }),
        teams: teams.collect(),
    })
}

/// Converts a reply to its wire form.
#[must_use]
pub fn encode_reply(reply: &PoolReply) -> CreditReply {
    let grants = reply.grants.iter().map(|grant| CreditGrant {
        team: grant.team.to_string(),
        granted: grant.granted,
        available_after_us: grant.available_after.as_micros(),
    });
    CreditReply {
        number: reply.number,
        pool_epoch: reply.pool_epoch.0,
        pool_time_us: reply.pool_time.as_micros(),
        grants: grants.collect(),
    }
}

/// Converts a reply from its wire form. A team with an invalid name is left out, as none was asked for.
#[must_use]
pub fn decode_reply(reply: &CreditReply) -> PoolReply {
    let grants = reply.grants.iter().filter_map(|grant| {
        Some(TeamGrant {
            team: grant.team.parse().ok()?,
            granted: grant.granted,
            available_after: TimeSpan::from_micros(grant.available_after_us),
        })
    });
    PoolReply {
        number: reply.number,
        pool_epoch: ProcessEpoch(reply.pool_epoch),
        pool_time: TimePoint::from_micros(reply.pool_time_us),
        grants: grants.collect(),
    }
}
