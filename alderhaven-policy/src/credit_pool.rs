//! The pool's side of team limits: shares that fronts delegate, and the credit granted from them.

use std::collections::HashMap;

use alderhaven_core::ids::{NodeId, TeamId};
use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::delegation_term::DELEGATION_LIFETIME;
use crate::pool_messages::{PoolQuery, PoolReply, ProcessEpoch, ShareOffer, TeamDemand, TeamGrant};
use crate::quota_bound::QuotaBound;
use crate::share_bucket::ShareBucket;
use crate::share_history::ShareHistory;
use crate::team_limit::TeamLimit;

/// How long the numbers of a silent front are remembered, for datagrams that arrive twice. It is longer
/// than a delegation counts, and older echoes have no effect.
const FRONT_RETENTION: TimeSpan = TimeSpan::from_secs(5);

/// Shortest time that a denial names. It bounds the queries of a front for a team over its limit.
const MIN_DENIAL: TimeSpan = TimeSpan::from_millis(20);

/// Longest time that a denial names.
const MAX_DENIAL: TimeSpan = TimeSpan::from_secs(10);

/// Longest time that a denial names while shares arrive: with the share of few fronts, credit seems
/// to return much later than it does.
const MAX_EARLY_DENIAL: TimeSpan = TimeSpan::from_millis(100);

/// Growth of the delegated share after which more is expected. Small hosts come and go without.
const NOTABLE_GROWTH: f64 = 0.01;

/// Shares that are delegated to this process, and each team's credit.
#[derive(Debug)]
pub struct CreditPool {
    bound: QuotaBound,
    epoch: ProcessEpoch,
    fronts: HashMap<(NodeId, ProcessEpoch), DelegatingFront>,
    history: ShareHistory,
    /// When the delegated share last grew notably.
    grown_at: Option<TimePoint>,
    /// No delegation expires before this time.
    next_expiry: TimePoint,
    teams: HashMap<TeamId, PooledTeam>,
}

/// What the pool knows of one front process.
#[derive(Clone, Copy, Debug)]
struct DelegatingFront {
    last_number: u64,
    queried_at: TimePoint,
    share: f64,
    expires_at: TimePoint,
}

/// Credit of one team.
#[derive(Clone, Copy, Debug)]
struct PooledTeam {
    bucket: ShareBucket,
    /// The latest time that was named in a denial. Each denial names a later one, so that the fronts
    /// return one after the other, at the rate at which credit does.
    last_turn: TimePoint,
}

impl CreditPool {
    /// Creates the pool of a process to which nothing is delegated.
    #[must_use]
    pub fn new(bound: QuotaBound, epoch: ProcessEpoch, now: TimePoint) -> Self {
        Self {
            bound,
            epoch,
            fronts: HashMap::new(),
            history: ShareHistory::new(now),
            grown_at: None,
            next_expiry: now,
            teams: HashMap::new(),
        }
    }

    /// Answers a query by this process's own limits. Returns `None` if it was answered before or
    /// overtaken by a later one of the same process.
    pub fn answer(
        &mut self,
        query: &PoolQuery,
        limits: impl Fn(&TeamId) -> Option<TeamLimit>,
        now: TimePoint,
    ) -> Option<PoolReply> {
        self.expire(now);
        let is_recent = self.note_front(query, now)?;
        let grants = query.teams.iter().filter_map(|demand| {
            let Some(limit) = limits(&demand.team) else {
                self.teams.remove(&demand.team);
                return None;
            };
            self.grant(demand, limit, is_recent, now)
        });
        let grants = grants.collect();
        Some(PoolReply {
            number: query.number,
            pool_epoch: self.epoch,
            pool_time: now,
            grants,
        })
    }

    /// Returns the sum of the shares that are delegated now.
    pub fn delegated_share(&mut self, now: TimePoint) -> f64 {
        self.expire(now);
        self.history.share()
    }

    /// Records the query's number and share. Returns `None` for a number that is not new, else whether
    /// the query echoes a recent reply.
    fn note_front(&mut self, query: &PoolQuery, now: TimePoint) -> Option<bool> {
        let offer = query.offer.filter(|offer| self.is_valid(offer, now));
        let key = (query.node.clone(), query.epoch);
        let known = self.fronts.get(&key);
        if known.is_some_and(|front| query.number <= front.last_number) {
            return None;
        }
        let mut front = DelegatingFront {
            last_number: query.number,
            queried_at: now,
            share: known.map_or(0.0, |front| front.share),
            expires_at: known.map_or(now, |front| front.expires_at),
        };
        if let Some(offer) = offer {
            front.share = offer.share;
            front.expires_at = offer.expires_at();
        }
        if front.share > 0.0 {
            self.next_expiry = self.next_expiry.min(front.expires_at);
        }
        self.fronts.insert(key, front);
        self.update_share(now);
        Some(offer.is_some())
    }

    fn is_valid(&self, offer: &ShareOffer, now: TimePoint) -> bool {
        let is_current = offer.pool_time <= now && now < offer.expires_at();
        offer.pool_epoch == self.epoch && is_current && (0.0..=1.0).contains(&offer.share)
    }

    fn grant(
        &mut self,
        demand: &TeamDemand,
        limit: TeamLimit,
        is_recent: bool,
        now: TimePoint,
    ) -> Option<TeamGrant> {
        let grant_limit = self.bound.grant_limit(limit);
        let max_denial = self.max_denial(now);
        let history = self.history;
        let entry = self.teams.entry(demand.team.clone());
        let team = entry.or_insert_with(|| PooledTeam {
            bucket: ShareBucket::with_history(grant_limit, &history, now),
            last_turn: now,
        });
        team.bucket.set_limit(grant_limit, now);
        // A returned credit without a recent echo may be a late duplicate.
        if is_recent {
            team.bucket
                .give_back(demand.returned, demand.granted_at, now);
        }
        if demand.wanted == 0 {
            return None;
        }
        // A pool that can't hold a request of the team leaves it to the front's own share.
        team.bucket.refill_interval()?;
        let granted = team.bucket.take(demand.wanted, now);
        let available_after = if granted < demand.wanted {
            team.next_turn(max_denial, now)
        } else {
            TimeSpan::ZERO
        };
        Some(TeamGrant {
            team: demand.team.clone(),
            granted,
            available_after,
        })
    }

    fn max_denial(&self, now: TimePoint) -> TimeSpan {
        let is_growing = |grown_at| now.since(grown_at) < DELEGATION_LIFETIME;
        if self.grown_at.is_some_and(is_growing) {
            MAX_EARLY_DENIAL
        } else {
            MAX_DENIAL
        }
    }

    /// Ends the delegations that expired, each at its own time.
    fn expire(&mut self, now: TimePoint) {
        while self.next_expiry <= now {
            let expired_at = self.next_expiry;
            let mut next_expiry = now + DELEGATION_LIFETIME;
            self.fronts.retain(|_, front| {
                if front.expires_at <= expired_at {
                    front.share = 0.0;
                }
                if front.share > 0.0 {
                    next_expiry = next_expiry.min(front.expires_at);
                }
                front.share > 0.0 || now.since(front.queried_at) < FRONT_RETENTION
            });
            self.next_expiry = next_expiry;
            self.update_share(expired_at);
        }
    }

    fn update_share(&mut self, now: TimePoint) {
        let total: f64 = self.fronts.values().map(|front| front.share).sum();
        // Fronts that have not seen all others yet may count larger shares.
        let total = total.min(1.0);
        if total > self.history.share() + NOTABLE_GROWTH {
            self.grown_at = Some(now);
        }
        if self.history.set(total, now) {
            for team in self.teams.values_mut() {
                team.bucket.set_share(total, now);
            }
        }
    }
}

impl PooledTeam {
    /// Returns the time until the next request is refilled that no other denial named.
    fn next_turn(&mut self, max_denial: TimeSpan, now: TimePoint) -> TimeSpan {
        let interval = self.bucket.refill_interval().unwrap_or(max_denial);
        let refilled_after = self.bucket.until_next(now).unwrap_or(max_denial);
        let turn = (self.last_turn + interval).max(now + refilled_after);
        let delay = now.until(turn).clamp(MIN_DENIAL, max_denial);
        self.last_turn = turn.min(now + max_denial);
        delay
    }
}
