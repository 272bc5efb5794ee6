//! The front's side of team limits: its own share, the delegation to a pool, and credit.

use std::collections::HashMap;

use alderhaven_core::ids::{NodeId, TeamId};
use alderhaven_core::time::{TimePoint, TimeSpan};
use smallvec::SmallVec;

use crate::delegation_term::{DELEGATION_LIFETIME, DelegationTerm};
use crate::pool_messages::{PoolQuery, PoolReply, ProcessEpoch, ShareOffer, TeamDemand};
use crate::pool_order::PoolCandidate;
use crate::quota_bound::QuotaBound;
use crate::reserve_history::ReserveHistory;
use crate::share_history::ShareHistory;
use crate::team_account::{GrantedLot, TakenCredit, TeamAccount};
use crate::team_limit::TeamLimit;

/// Time after which a query without reply is repeated to renew a delegation, and shortest time
/// between queries to a pool that does not answer.
const RETRY_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

/// Time without share after a start: the delegation of the process before may still count, and the
/// other fronts have to count this process into their shares.
const START_TIME: TimeSpan = DELEGATION_LIFETIME;

/// Time without reserve after a start, in which the fronts learn of each other. Until then the own
/// share may be computed too large.
const RESERVE_START_TIME: TimeSpan = TimeSpan::from_millis(500);

/// Queries without reply after which another front is the pool.
const MAX_UNANSWERED: u32 = 3;

/// Time without reply after which another front is the pool. It covers short pauses of the pool.
const SILENCE_LIMIT: TimeSpan = TimeSpan::from_millis(250);

/// Time between two queries to a front that did not answer, to learn when it answers again.
const PROBE_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// How long a pool is not asked for a team that it can't serve.
const UNSERVED_TIME: TimeSpan = TimeSpan::from_millis(100);

/// Time after which a query is no longer expected to be answered.
const QUERY_LIFETIME: TimeSpan = TimeSpan::from_secs(1);

/// Teams in one query, which must fit into one datagram.
const MAX_TEAMS_PER_QUERY: usize = 32;

/// Retry time of a request that is refused because no pool answers.
const UNAVAILABLE_RETRY: TimeSpan = TimeSpan::from_millis(500);

/// Result of a request for credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditDecision {
    /// The request may run.
    Granted(TakenCredit),
    /// A reply of the pool decides.
    Waiting,
    /// The team is over its limit.
    OverLimit(TimeSpan),
    /// There is no credit, and the pool does not serve the team.
    Unavailable(TimeSpan),
}

/// What a reply brought for one team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantOutcome {
    /// The team.
    pub team: TeamId,
    /// Requests granted.
    pub granted: u32,
    /// Whether the pool granted less than was asked.
    pub is_denied: bool,
    /// Whether the grant arrived after its lifetime.
    pub is_expired: bool,
}

/// Credit of all teams at one front.
#[derive(Debug)]
pub struct TeamCredit {
    bound: QuotaBound,
    node: NodeId,
    epoch: ProcessEpoch,
    started_at: TimePoint,
    own_share: f64,
    /// The share that is used without a pool.
    local: ShareHistory,
    reserve: ReserveHistory,
    pool: Option<ChosenPool>,
    /// Fronts that did not answer and are not chosen until they do, and when each is queried next.
    silent: HashMap<NodeId, TimePoint>,
    /// The former pool, which has to confirm that it no longer counts the share.
    former: Option<(NodeId, PoolContact)>,
    /// The contact to which the share is delegated, and until when it may count there.
    delegated_to: u64,
    delegated_until: TimePoint,
    last_contact: u64,
    last_number: u64,
    open: Vec<OpenQuery>,
    accounts: HashMap<TeamId, TeamAccount>,
}

#[derive(Debug)]
struct ChosenPool {
    node: NodeId,
    contact: Option<PoolContact>,
    queried_at: Option<TimePoint>,
    unanswered: u32,
    /// When the first query without reply was sent.
    unanswered_since: TimePoint,
}

/// The latest reply of a pool's process.
#[derive(Clone, Copy, Debug)]
struct PoolContact {
    /// Number that no other contact of this front has.
    id: u64,
    epoch: ProcessEpoch,
    pool_time: TimePoint,
    received_at: TimePoint,
}

#[derive(Debug)]
struct OpenQuery {
    number: u64,
    pool: NodeId,
    sent_at: TimePoint,
    asked: SmallVec<[(TeamId, u32); 1]>,
    /// The contact whose reply confirms that the share is no longer delegated to it.
    releases: Option<(u64, ProcessEpoch)>,
}

impl TeamCredit {
    /// Creates the credit of a process that starts now.
    #[must_use]
    pub fn new(bound: QuotaBound, node: NodeId, epoch: ProcessEpoch, now: TimePoint) -> Self {
        Self {
            bound,
            node,
            epoch,
            started_at: now,
            own_share: 0.0,
            local: ShareHistory::new(now),
            reserve: ReserveHistory::new(now),
            pool: None,
            silent: HashMap::new(),
            former: None,
            delegated_to: 0,
            delegated_until: now,
            last_contact: 0,
            last_number: 0,
            open: Vec::new(),
            accounts: HashMap::new(),
        }
    }

    /// Sets this front's share of all limits.
    pub fn set_own_share(&mut self, share: f64, now: TimePoint) {
        self.own_share = share;
        self.update_shares(now);
    }

    /// Chooses the pool among the candidates, which are in the common order. Returns the pool if it
    /// changed.
    pub fn choose_pool(&mut self, candidates: &[PoolCandidate], now: TimePoint) -> Option<&NodeId> {
        self.note_silence(now);
        self.silent
            .retain(|node, _| candidates.iter().any(|candidate| candidate.node == *node));
        let is_heard = |candidate: &&PoolCandidate| !self.silent.contains_key(&candidate.node);
        let chosen = candidates.iter().find(is_heard).or(candidates.first())?;
        let current = self.pool.as_ref().map(|pool| &pool.node);
        if current == Some(&chosen.node) {
            return None;
        }
        for account in self.accounts.values_mut() {
            account.note_pool_change(now);
        }
        let pool = ChosenPool::new(chosen.node.clone(), now);
        let former = self.pool.replace(pool);
        self.former = former.and_then(|former| {
            let is_silent = self.silent.contains_key(&former.node);
            let contact = former.contact.filter(|_| !is_silent)?;
            (contact.id == self.delegated_to).then_some((former.node, contact))
        });
        self.pool()
    }

    /// Returns the queries to other fronts than the pool that are due, each with its receiver.
    ///
    /// A former pool that still answers is told to stop counting the share, so that the share can be
    /// delegated anew after one round trip. Fronts that did not answer are probed.
    pub fn side_queries(&mut self, now: TimePoint) -> Vec<(NodeId, PoolQuery)> {
        let mut queries = Vec::new();
        if let Some((node, contact)) = self.former.take() {
            let offer = ShareOffer {
                pool_epoch: contact.epoch,
                pool_time: contact.pool_time,
                share: 0.0,
            };
            let query = self.open_query(&node, Some(offer), SmallVec::new(), now);
            if let Some(open) = self.open.last_mut() {
                open.releases = Some((contact.id, contact.epoch));
            }
            queries.push((node, query));
        }
        let due = self.silent.iter_mut().filter(|(_, due_at)| **due_at <= now);
        let due = due.map(|(node, due_at)| {
            *due_at = now + PROBE_INTERVAL;
            node.clone()
        });
        for node in due.collect::<Vec<_>>() {
            let query = self.open_query(&node, None, SmallVec::new(), now);
            queries.push((node, query));
        }
        queries
    }

    /// Returns the front that is the pool for this front.
    #[must_use]
    pub fn pool(&self) -> Option<&NodeId> {
        self.pool.as_ref().map(|pool| &pool.node)
    }

    /// Returns `true` if the latest queries to the pool have no reply.
    #[must_use]
    pub fn is_pool_silent(&self, now: TimePoint) -> bool {
        self.pool.as_ref().is_some_and(|pool| pool.is_silent(now))
    }

    /// Returns the share that may count at a pool now.
    #[must_use]
    pub fn delegated_share(&self, now: TimePoint) -> f64 {
        if now < self.delegated_until {
            self.own_share
        } else {
            0.0
        }
    }

    /// Returns the share that this front uses without a pool.
    #[must_use]
    pub const fn local_share(&self) -> f64 {
        self.local.share()
    }

    /// Asks for credit for a new request of a team. A request that waits calls `take_waiting` once
    /// there is a reply, and `end_wait` in the end.
    pub fn take(&mut self, team: &TeamId, limit: TeamLimit, now: TimePoint) -> CreditDecision {
        self.update_shares(now);
        let account = self.account(team, limit, now);
        account.note_demand(now);
        let decision = Self::decide(account, now);
        if decision == CreditDecision::Waiting {
            account.waiting += 1;
        }
        decision
    }

    /// Asks for credit for a request that waits.
    pub fn take_waiting(
        &mut self,
        team: &TeamId,
        limit: TeamLimit,
        now: TimePoint,
    ) -> CreditDecision {
        self.update_shares(now);
        Self::decide(self.account(team, limit, now), now)
    }

    /// Decides for a request that waited in vain.
    pub fn take_unanswered(
        &mut self,
        team: &TeamId,
        limit: TeamLimit,
        now: TimePoint,
    ) -> CreditDecision {
        self.update_shares(now);
        let account = self.account(team, limit, now);
        match Self::decide(account, now) {
            CreditDecision::Waiting => Self::decide_unserved(account, now),
            decision => decision,
        }
    }

    /// Ends the wait of a request.
    pub fn end_wait(&mut self, team: &TeamId) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.waiting = account.waiting.saturating_sub(1);
        }
    }

    /// Allows a second query for a team if the first one has no reply after `pause`.
    pub fn allow_repeat(&mut self, team: &TeamId, pause: TimeSpan, now: TimePoint) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.allow_repeat(pause, now);
        }
    }

    /// Takes back the credit of a request that did not run. Returns `true` if it can be used again
    /// here.
    pub fn give_back(&mut self, team: &TeamId, credit: TakenCredit, now: TimePoint) -> bool {
        self.update_shares(now);
        let account = self.accounts.get_mut(team);
        account.is_some_and(|account| account.give_back(credit, now))
    }

    /// Returns the query for a team that needs credit, if one should be sent now.
    pub fn query_for(
        &mut self,
        team: &TeamId,
        limit: TeamLimit,
        now: TimePoint,
    ) -> Option<PoolQuery> {
        let pool = self.pool.as_ref()?;
        if pool.unanswered >= MAX_UNANSWERED && !pool.may_retry(now) {
            return None;
        }
        let wanted = self.accounts.get(team)?.wanted(limit, now);
        (wanted > 0).then(|| self.query(Some((team, wanted)), now))?
    }

    /// Returns the query that renews the delegation, if it is due.
    pub fn renewal(&mut self, now: TimePoint) -> Option<PoolQuery> {
        self.update_shares(now);
        let pool = self.pool.as_ref()?;
        let is_due = pool.is_renewal_due(self.term(), now) || self.is_share_free(now);
        is_due.then(|| self.query(None, now))?
    }

    /// Returns the time until a renewal may be due, if no query is sent before. While queries have no
    /// reply, it is that until the next repeat.
    #[must_use]
    pub fn until_renewal(&self, now: TimePoint) -> TimeSpan {
        let renewal = self.pool.as_ref().map_or(TimeSpan::ZERO, |pool| {
            now.until(pool.renewal_due_at(self.term(), now))
        });
        let start = self.started_at + START_TIME;
        if now < start {
            renewal.min(now.until(start))
        } else if now < self.delegated_until {
            renewal.min(now.until(self.delegated_until))
        } else {
            renewal
        }
    }

    /// Returns the term by which the own share is delegated.
    fn term(&self) -> DelegationTerm {
        DelegationTerm::of_share(self.own_share)
    }

    /// Returns `true` if the share can be delegated to a pool that answers, and is not.
    fn is_share_free(&self, now: TimePoint) -> bool {
        let pool = self.pool.as_ref();
        let contact = pool.filter(|pool| pool.unanswered == 0);
        let contact = contact.and_then(|pool| pool.contact);
        contact.is_some_and(|contact| {
            let is_recent = now < contact.received_at + self.term().lifetime();
            let is_free = self.delegated_until <= now && self.own_share > 0.0;
            is_recent && is_free && self.has_started(now)
        })
    }

    /// Applies a reply. Returns what it brought, or `None` if it does not belong to an open query.
    pub fn apply(&mut self, reply: &PoolReply, now: TimePoint) -> Option<Vec<GrantOutcome>> {
        let place = self
            .open
            .iter()
            .position(|query| query.number == reply.number)?;
        let query = self.open.swap_remove(place);
        self.silent.remove(&query.pool);
        self.note_release(&query, reply, now);
        let contact = self.note_contact(&query, reply, now);
        let lot = GrantedLot {
            expires_at: query.sent_at + self.bound.credit_lifetime(),
            contact,
            granted_at: reply.pool_time,
        };
        let mut outcomes = Vec::new();
        for (team, wanted) in query.asked {
            let Some(account) = self.accounts.get_mut(&team) else {
                continue;
            };
            account.forget_asked(wanted);
            let Some(grant) = reply.grants.iter().find(|grant| grant.team == team) else {
                account.note_unserved(now + UNSERVED_TIME);
                continue;
            };
            let granted = grant.granted.min(wanted);
            account.add_lot(lot, granted);
            let is_denied = granted < wanted;
            if is_denied {
                account.note_denied(grant.available_after, now);
            }
            outcomes.push(GrantOutcome {
                team,
                granted,
                is_denied,
                is_expired: lot.expires_at <= now,
            });
        }
        Some(outcomes)
    }

    /// Removes accounts of teams without limit, and returns the credit that expired since the
    /// latest call, by team.
    pub fn expire(
        &mut self,
        limits: impl Fn(&TeamId) -> Option<TeamLimit>,
        now: TimePoint,
    ) -> Vec<(TeamId, u32)> {
        let is_used = |account: &TeamAccount| account.waiting > 0;
        self.accounts
            .retain(|team, account| is_used(account) || limits(team).is_some());
        let expired = self
            .accounts
            .iter_mut()
            .map(|(team, account)| (team.clone(), account.take_expired(now)));
        expired.filter(|(_, count)| *count > 0).collect()
    }

    fn decide(account: &mut TeamAccount, now: TimePoint) -> CreditDecision {
        if let Some(source) = account.take(now) {
            return CreditDecision::Granted(source);
        }
        if let Some(delay) = account.over_ceiling(now) {
            return CreditDecision::OverLimit(delay);
        }
        if let Some(delay) = account.denied_for(now) {
            let source = account.take_reserve(now);
            return source.map_or(CreditDecision::OverLimit(delay), CreditDecision::Granted);
        }
        if account.is_unserved(now) {
            return Self::decide_unserved(account, now);
        }
        CreditDecision::Waiting
    }

    fn decide_unserved(account: &mut TeamAccount, now: TimePoint) -> CreditDecision {
        let source = account.take_reserve(now);
        source.map_or(
            CreditDecision::Unavailable(UNAVAILABLE_RETRY),
            CreditDecision::Granted,
        )
    }

    fn account(&mut self, team: &TeamId, limit: TeamLimit, now: TimePoint) -> &mut TeamAccount {
        let (bound, local, reserve) = (&self.bound, &self.local, &self.reserve);
        let account = self
            .accounts
            .entry(team.clone())
            .or_insert_with(|| TeamAccount::new(bound, limit, local, reserve, now));
        account.set_limit(bound, limit, now);
        account
    }

    fn has_started(&self, now: TimePoint) -> bool {
        now.since(self.started_at) >= START_TIME
    }

    fn has_reserve(&self, now: TimePoint) -> bool {
        now.since(self.started_at) >= RESERVE_START_TIME
    }

    /// Reclaims the share once no pool counts it any more.
    fn update_shares(&mut self, now: TimePoint) {
        let has_started = self.has_started(now);
        let own_share = if has_started { self.own_share } else { 0.0 };
        let is_delegated = now < self.delegated_until;
        let local_share = if is_delegated { 0.0 } else { own_share };
        if self.local.set(local_share, now) {
            for account in self.accounts.values_mut() {
                account.set_local_share(local_share, now);
            }
        }
        self.update_reserve(now);
    }

    fn update_reserve(&mut self, now: TimePoint) {
        let has_reserve = self.has_reserve(now);
        let share = if has_reserve { self.own_share } else { 0.0 };
        let had_started = self.reserve.has_started();
        if !self.reserve.set(share, now) {
            return;
        }
        let is_start = !had_started && self.reserve.has_started();
        let filling = self.bound.start_reserve(share);
        for account in self.accounts.values_mut() {
            account.set_reserve_share(share, now);
            if is_start {
                account.fill_reserve(filling, now);
            }
        }
    }

    /// Marks the pool as silent once enough queries have no reply.
    fn note_silence(&mut self, now: TimePoint) {
        let Some(pool) = &self.pool else { return };
        if pool.is_silent(now) {
            let due_at = self.silent.entry(pool.node.clone());
            due_at.or_insert(now + PROBE_INTERVAL);
        }
    }

    fn query(&mut self, wanted: Option<(&TeamId, u32)>, now: TimePoint) -> Option<PoolQuery> {
        let offer = self.offer(now);
        let contact = self.pool.as_ref()?.contact.map_or(0, |contact| contact.id);
        let has_offer = offer.is_some();
        let mut teams: Vec<TeamDemand> = Vec::new();
        let mut asked = SmallVec::new();
        if let Some((team, wanted)) = wanted {
            let account = self.accounts.get_mut(team)?;
            account.note_asked(wanted, now);
            asked.push((team.clone(), wanted));
            teams.push(TeamDemand {
                team: team.clone(),
                wanted,
                returned: 0,
                granted_at: TimePoint::START,
            });
        }
        if has_offer {
            self.add_returned(contact, &mut teams, now);
        }
        let pool = self.pool.as_mut()?;
        pool.note_query(now);
        let node = pool.node.clone();
        let mut query = self.open_query(&node, offer, asked, now);
        query.teams = teams;
        Some(query)
    }

    /// Adds unused credit to a query, as far as it fits.
    fn add_returned(&mut self, contact: u64, teams: &mut Vec<TeamDemand>, now: TimePoint) {
        let returning = self.accounts.iter_mut();
        let returning = returning.filter(|(_, account)| account.has_returned());
        for (team, account) in returning {
            if teams.len() >= MAX_TEAMS_PER_QUERY {
                return;
            }
            let returned = account.take_returned(contact, now);
            let room = MAX_TEAMS_PER_QUERY - teams.len();
            teams.extend(
                returned
                    .iter()
                    .rev()
                    .take(room)
                    .map(|(granted_at, count)| TeamDemand {
                        team: team.clone(),
                        wanted: 0,
                        returned: *count,
                        granted_at: *granted_at,
                    }),
            );
        }
    }

    /// Creates a query with a new number, whose reply is expected from now on.
    fn open_query(
        &mut self,
        pool: &NodeId,
        offer: Option<ShareOffer>,
        asked: SmallVec<[(TeamId, u32); 1]>,
        now: TimePoint,
    ) -> PoolQuery {
        self.forget_old_queries(now);
        self.last_number += 1;
        let number = self.last_number;
        self.open.push(OpenQuery {
            number,
            pool: pool.clone(),
            sent_at: now,
            asked,
            releases: None,
        });
        PoolQuery {
            number,
            node: self.node.clone(),
            epoch: self.epoch,
            offer,
            teams: Vec::new(),
        }
    }

    /// Returns the echo of the pool's latest reply, with the share if it may be delegated there. The
    /// share is not used locally from this moment until no pool counts it any more.
    fn offer(&mut self, now: TimePoint) -> Option<ShareOffer> {
        let contact = self.pool.as_ref()?.contact?;
        if contact.received_at + DELEGATION_LIFETIME <= now {
            return None;
        }
        let counts_until = contact.received_at + self.term().lifetime();
        let is_free = self.delegated_to == contact.id || self.delegated_until <= now;
        let share = if is_free && self.has_started(now) && now < counts_until {
            self.own_share
        } else {
            0.0
        };
        if share > 0.0 {
            self.delegated_to = contact.id;
            self.delegated_until = self.delegated_until.max(counts_until);
            // An earlier release no longer shows that the share is free.
            for query in &mut self.open {
                query.releases = None;
            }
            self.update_shares(now);
        }
        Some(ShareOffer {
            pool_epoch: contact.epoch,
            pool_time: contact.pool_time,
            share,
        })
    }

    /// Reclaims the share if the former pool confirms that it no longer counts it. The pool ignores
    /// queries with lower numbers, so that none can delegate the share to it again.
    fn note_release(&mut self, query: &OpenQuery, reply: &PoolReply, now: TimePoint) {
        let Some((contact, epoch)) = query.releases else {
            return;
        };
        if contact == self.delegated_to && epoch == reply.pool_epoch {
            self.delegated_until = self.delegated_until.min(now);
            self.update_shares(now);
            if let Some(pool) = &mut self.pool {
                pool.queried_at = None;
            }
        }
    }

    /// Records the reply and returns the contact that it belongs to.
    fn note_contact(&mut self, query: &OpenQuery, reply: &PoolReply, now: TimePoint) -> u64 {
        let Some(pool) = self.pool.as_mut().filter(|pool| pool.node == query.pool) else {
            return 0;
        };
        pool.unanswered = 0;
        let known = pool.contact.filter(|known| known.epoch == reply.pool_epoch);
        if let Some(known) = known
            && reply.pool_time <= known.pool_time
        {
            return known.id;
        }
        let id = known.map_or_else(
            || {
                self.last_contact += 1;
                self.last_contact
            },
            |known| known.id,
        );
        if known.is_none() {
            // The share is delegated with the next query, which should not wait.
            pool.queried_at = None;
        }
        pool.contact = Some(PoolContact {
            id,
            epoch: reply.pool_epoch,
            pool_time: reply.pool_time,
            received_at: now,
        });
        id
    }

    fn forget_old_queries(&mut self, now: TimePoint) {
        let accounts = &mut self.accounts;
        self.open.retain(|query| {
            let is_expected = now.since(query.sent_at) < QUERY_LIFETIME;
            if !is_expected {
                for (team, wanted) in &query.asked {
                    if let Some(account) = accounts.get_mut(team) {
                        account.forget_asked(*wanted);
                    }
                }
            }
            is_expected
        });
    }
}

impl ChosenPool {
    const fn new(node: NodeId, now: TimePoint) -> Self {
        Self {
            node,
            contact: None,
            queried_at: None,
            unanswered: 0,
            unanswered_since: now,
        }
    }

    fn note_query(&mut self, now: TimePoint) {
        if self.unanswered == 0 {
            self.unanswered_since = now;
        }
        self.unanswered += 1;
        self.queried_at = Some(now);
    }

    fn may_retry(&self, now: TimePoint) -> bool {
        self.queried_at
            .is_none_or(|queried_at| now.since(queried_at) >= RETRY_INTERVAL)
    }

    fn is_renewal_due(&self, term: DelegationTerm, now: TimePoint) -> bool {
        self.renewal_due_at(term, now) <= now
    }

    fn renewal_due_at(&self, term: DelegationTerm, now: TimePoint) -> TimePoint {
        let interval = if self.unanswered > 0 {
            RETRY_INTERVAL
        } else {
            term.renewal_interval()
        };
        self.queried_at
            .map_or(now, |queried_at| queried_at + interval)
    }

    fn is_silent(&self, now: TimePoint) -> bool {
        self.unanswered >= MAX_UNANSWERED && now.since(self.unanswered_since) >= SILENCE_LIMIT
    }
}
