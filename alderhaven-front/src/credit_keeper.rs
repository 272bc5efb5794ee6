//! Keeps the limits of teams together with the other fronts.
//!
//! The decisions are in [`TeamCredit`] and [`CreditPool`]; this module sends their messages, answers
//! those of others and lets requests wait for replies.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::boot_clock::BootClock;
use alderhaven_core::ids::{NodeId, TeamId};
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_peer::control_messages::{ControlMessage, CreditQuery, CreditReply};
use alderhaven_policy::credit_pool::CreditPool;
use alderhaven_policy::pool_messages::{PoolQuery, PoolReply, ProcessEpoch};
use alderhaven_policy::pool_order::{self, PoolCandidate};
use alderhaven_policy::quota_bound::QuotaBound;
use alderhaven_policy::team_account::TakenCredit;
use alderhaven_policy::team_credit::{CreditDecision, TeamCredit};
use alderhaven_policy::team_limit::TeamLimit;
use log::Level;
use tokio::sync::Notify;
use tokio::time::{self, Instant};

use crate::control_socket::ControlSocket;
use crate::credit_group::{CreditGroup, PoolPeer};
use crate::credit_limits::CreditLimits;
use crate::credit_messages;
use crate::credit_metrics::{CreditEvent, CreditMetrics, QueryEvent};
use crate::credit_permit::CreditPermit;
use crate::credit_status::CreditStatus;
use crate::front_event::FrontEvent;

/// Shortest time between two wake-ups to send renewals and repeats that are due.
const MIN_TICK: TimeSpan = TimeSpan::from_millis(100);

/// Interval at which the live fronts and their order are determined anew, at the next wake-up. A pool
/// that is lost is noticed earlier by its silence.
const REFRESH_INTERVAL: TimeSpan = TimeSpan::from_millis(500);

/// Shortest time between two log lines about the limit of one team.
const LIMIT_LINE_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// Parts of a keeper.
#[derive(Debug, bon::Builder)]
pub struct CreditOptions {
    /// This front.
    pub node: NodeId,
    /// How far limits may be exceeded.
    pub bound: QuotaBound,
    /// Sends the messages to other fronts.
    pub socket: Arc<ControlSocket>,
    /// The other fronts.
    pub group: CreditGroup,
    /// The limits in force.
    pub limits: CreditLimits,
    /// The metrics of the process.
    pub metrics: CreditMetrics,
}

/// The credit of one front, shared by its tasks.
#[derive(Debug)]
pub struct CreditKeeper {
    options: CreditOptions,
    clock: BootClock,
    state: Mutex<KeeperState>,
}

#[derive(Debug)]
struct KeeperState {
    credit: TeamCredit,
    pool: CreditPool,
    /// Live fronts.
    peers: Vec<PoolPeer>,
    /// Live fronts in the common order.
    candidates: Vec<PoolCandidate>,
    addresses: HashMap<NodeId, SocketAddr>,
    /// Wakes the requests of a team that wait for a reply.
    replies: HashMap<TeamId, Arc<Notify>>,
    limit_lines: HashMap<TeamId, TimePoint>,
}

/// Why there is no credit for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditRefusal {
    /// The team is over its limit until credit returns.
    OverLimit {
        /// Time until the team has credit again, to which the answer adds a random part.
        retry_after: TimeSpan,
    },
    /// The front has no credit and can't obtain any now.
    Unavailable {
        /// Time after which the caller should retry.
        retry_after: TimeSpan,
    },
}

/// Counts a request as waiting until it is dropped, because callers may disconnect at any time.
struct CreditWait<'a> {
    keeper: &'a CreditKeeper,
    team: &'a TeamId,
}

impl Drop for CreditWait<'_> {
    fn drop(&mut self) {
        self.keeper.lock().credit.end_wait(self.team);
    }
}

impl KeeperState {
    fn set_peers(&mut self, own: &NodeId, peers: Vec<PoolPeer>) {
        self.candidates = peers.iter().map(|peer| peer.candidate.clone()).collect();
        if !peers.iter().any(|peer| peer.candidate.node == *own) {
            // A process without group is its own pool.
            self.candidates.push(PoolCandidate {
                node: own.clone(),
                is_large: false,
            });
        }
        pool_order::sort_candidates(&mut self.candidates);
        let addresses = peers.iter();
        self.addresses = addresses
            .map(|peer| (peer.candidate.node.clone(), peer.address))
            .collect();
        self.peers = peers;
    }
}

impl CreditKeeper {
    /// Creates the keeper of a process without credit.
    #[must_use]
    pub fn new(options: CreditOptions) -> Self {
        let clock = BootClock::default();
        let now = clock.now();
        let epoch = ProcessEpoch(rand::random());
        let state = KeeperState {
            credit: TeamCredit::new(options.bound, options.node.clone(), epoch, now),
            pool: CreditPool::new(options.bound, epoch, now),
            peers: Vec::new(),
            candidates: Vec::new(),
            addresses: HashMap::new(),
            replies: HashMap::new(),
            limit_lines: HashMap::new(),
        };
        Self {
            options,
            clock,
            state: Mutex::new(state),
        }
    }

    /// Renews the delegation for as long as the process runs. Nothing is sent while no team has a
    /// limit.
    pub async fn run(self: Arc<Self>) {
        let mut refresh_at = self.clock.now();
        let mut changes = self.options.limits.subscribe();
        loop {
            if self.options.limits.has_any() {
                let pause = self.tick(&mut refresh_at);
                time::sleep(pause.as_duration()).await;
            } else if changes.changed().await.is_err() {
                // Without a catalog there will be no limits.
                return;
            }
        }
    }

    /// Takes credit for one request, waiting up to `max_wait` for a reply of the pool.
    ///
    /// # Errors
    /// The refusal if there is no credit.
    pub async fn acquire(
        self: &Arc<Self>,
        team: &TeamId,
        limit: TeamLimit,
        max_wait: TimeSpan,
    ) -> Result<CreditPermit, CreditRefusal> {
        let decision = {
            let mut state = self.lock();
            if state.credit.pool().is_none() {
                // The limit has come into force since the latest tick.
                let now = self.clock.now();
                self.refresh(&mut state, now);
                choose_pool(&mut state, now);
            }
            let decision = state.credit.take(team, limit, self.clock.now());
            self.ask(&mut state, team, limit);
            decision
        };
        let decision = match decision {
            CreditDecision::Waiting => self.wait(team, limit, max_wait).await,
            decision => decision,
        };
        self.finish(team, decision)
    }

    /// Answers the query of another front.
    pub fn handle_query(&self, query: &CreditQuery, sender: SocketAddr) {
        if !self.options.limits.has_any() {
            return;
        }
        let Some(query) = credit_messages::decode_query(query) else {
            // Another program sent it: fronts have valid names.
            return;
        };
        let reply = self.answer(&mut self.lock(), &query);
        // A query that was answered before was duplicated on the way.
        if let Some(reply) = reply {
            self.options.metrics.observe_query(QueryEvent::Served);
            let reply = credit_messages::encode_reply(&reply);
            let message = ControlMessage::CreditReply(reply);
            self.options.socket.send(sender, message);
        }
    }

    /// Applies the reply of the pool.
    pub fn handle_reply(&self, reply: &CreditReply, _sender: SocketAddr) {
        let reply = credit_messages::decode_reply(reply);
        self.apply(&mut self.lock(), &reply);
    }

    /// Takes back the credit of a request that did not run.
    pub(crate) fn give_back(&self, team: &TeamId, credit: TakenCredit) {
        let mut state = self.lock();
        state.credit.give_back(team, credit, self.clock.now());
        let metrics = &self.options.metrics;
        metrics.observe_credit(team, CreditEvent::Returned, 1);
    }

    /// Returns the status for operators; `None` if no team has a limit.
    #[must_use]
    pub fn status(&self) -> Option<CreditStatus> {
        if !self.options.limits.has_any() {
            return None;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        Some(CreditStatus {
            pool: state.credit.pool().map(ToString::to_string),
            is_pool_silent: state.credit.is_pool_silent(now),
            delegated_share: state.credit.delegated_share(now),
            local_share: state.credit.local_share(),
            pool_share: state.pool.delegated_share(now),
        })
    }

    async fn wait(&self, team: &TeamId, limit: TeamLimit, max_wait: TimeSpan) -> CreditDecision {
        let _wait = CreditWait { keeper: self, team };
        let half = max_wait.mul_f64(0.5);
        let started_at = Instant::now();
        let deadline = started_at + half.as_duration();
        let decision = self.wait_until(deadline, team, limit).await;
        if decision != CreditDecision::Waiting {
            return decision;
        }
        {
            let mut state = self.lock();
            let now = self.clock.now();
            // Another pool is chosen without waiting for the next wake-up.
            choose_pool(&mut state, now);
            state.credit.allow_repeat(team, half, now);
            self.ask(&mut state, team, limit);
        }
        let deadline = started_at + max_wait.as_duration();
        match self.wait_until(deadline, team, limit).await {
            CreditDecision::Waiting => {
                let now = self.clock.now();
                self.lock().credit.take_unanswered(team, limit, now)
            }
            decision => decision,
        }
    }

    async fn wait_until(
        &self,
        deadline: Instant,
        team: &TeamId,
        limit: TeamLimit,
    ) -> CreditDecision {
        let replies = Arc::clone(self.lock().replies.entry(team.clone()).or_default());
        loop {
            let mut wakeup = pin!(replies.notified());
            wakeup.as_mut().enable();
            let now = self.clock.now();
            let decision = self.lock().credit.take_waiting(team, limit, now);
            if decision != CreditDecision::Waiting {
                return decision;
            }
            if time::timeout_at(deadline, wakeup).await.is_err() {
                return CreditDecision::Waiting;
            }
        }
    }

    fn finish(
        self: &Arc<Self>,
        team: &TeamId,
        decision: CreditDecision,
    ) -> Result<CreditPermit, CreditRefusal> {
        let metrics = &self.options.metrics;
        match decision {
            CreditDecision::Granted(credit) => {
                metrics.observe_credit(team, CreditEvent::Used, 1);
                Ok(CreditPermit::new(Arc::clone(self), team.clone(), credit))
            }
            CreditDecision::OverLimit(delay) => {
                metrics.observe_credit(team, CreditEvent::OverLimit, 1);
                self.log_limit(team, delay);
                Err(CreditRefusal::OverLimit { retry_after: delay })
            }
            CreditDecision::Unavailable(delay) => {
                metrics.observe_credit(team, CreditEvent::Unavailable, 1);
                Err(CreditRefusal::Unavailable { retry_after: delay })
            }
            // Not reached: a request that waits is decided in the end.
            CreditDecision::Waiting => Err(CreditRefusal::Unavailable {
                retry_after: TimeSpan::ZERO,
            }),
        }
    }

    /// Sends what is due, and returns the time until the next wake-up.
    ///
    /// A query without reply is followed up after the shortest time. It is usually answered by then.
    fn tick(&self, refresh_at: &mut TimePoint) -> TimeSpan {
        let now = self.clock.now();
        let mut state = self.lock();
        if *refresh_at <= now {
            self.refresh(&mut state, now);
            *refresh_at = now + REFRESH_INTERVAL;
        }
        choose_pool(&mut state, now);
        let renewal = state.credit.renewal(now);
        for (node, query) in state.credit.side_queries(now) {
            self.send(&mut state, &node, &query);
        }
        if let Some(query) = renewal {
            self.send_to_pool(&mut state, &query);
        }
        // The group is refreshed when a renewal is due, to cause no wake-up of its own.
        let renewal = state.credit.until_renewal(now);
        renewal.min(REFRESH_INTERVAL).max(MIN_TICK)
    }

    /// Determines the live fronts, and drops what is kept for teams that need it no more.
    fn refresh(&self, state: &mut KeeperState, now: TimePoint) {
        let options = &self.options;
        let peers = options.group.peers();
        if state.candidates.is_empty() || peers != state.peers {
            state.set_peers(&options.node, peers);
        }
        state.credit.set_own_share(options.group.share(), now);
        let expired = state
            .credit
            .expire(|team| options.limits.of_team(team), now);
        for (team, count) in expired {
            let metrics = &options.metrics;
            metrics.observe_credit(&team, CreditEvent::Expired, count);
        }
        state
            .replies
            .retain(|_, replies| Arc::strong_count(replies) > 1);
        let is_recent = |logged_at: &TimePoint| now.since(*logged_at) < LIMIT_LINE_INTERVAL;
        state
            .limit_lines
            .retain(|_, logged_at| is_recent(logged_at));
        let share = state.pool.delegated_share(now);
        options.metrics.pool_share.set(share);
    }

    /// Sends the query that a team needs, if any.
    fn ask(&self, state: &mut KeeperState, team: &TeamId, limit: TeamLimit) {
        let now = self.clock.now();
        if let Some(query) = state.credit.query_for(team, limit, now) {
            self.send_to_pool(state, &query);
        }
    }

    fn send_to_pool(&self, state: &mut KeeperState, query: &PoolQuery) {
        if let Some(pool) = state.credit.pool().cloned() {
            self.send(state, &pool, query);
        }
    }

    /// Sends a query, or answers it at once if this front is the receiver. A query to a front whose
    /// address is no longer known counts as unanswered.
    fn send(&self, state: &mut KeeperState, receiver: &NodeId, query: &PoolQuery) {
        if *receiver == self.options.node {
            if let Some(reply) = self.answer(state, query) {
                self.apply(state, &reply);
            }
            return;
        }
        if let Some(address) = state.addresses.get(receiver) {
            self.options.metrics.observe_query(QueryEvent::Sent);
            let query = credit_messages::encode_query(query);
            let message = ControlMessage::CreditQuery(query);
            self.options.socket.send(*address, message);
        }
    }

    fn answer(&self, state: &mut KeeperState, query: &PoolQuery) -> Option<PoolReply> {
        let limits = &self.options.limits;
        let now = self.clock.now();
        state.pool.answer(query, |team| limits.of_team(team), now)
    }

    fn apply(&self, state: &mut KeeperState, reply: &PoolReply) {
        // A reply without open query arrived twice or too late.
        let Some(outcomes) = state.credit.apply(reply, self.clock.now()) else {
            return;
        };
        let metrics = &self.options.metrics;
        metrics.observe_query(QueryEvent::Answered);
        for outcome in outcomes {
            let team = &outcome.team;
            metrics.observe_credit(team, CreditEvent::Granted, outcome.granted);
            metrics.observe_credit(team, CreditEvent::Denied, u32::from(outcome.is_denied));
            if let Some(limit) = self.options.limits.of_team(team) {
                self.ask(state, team, limit);
            }
        }
        for replies in state.replies.values() {
            replies.notify_waiters();
        }
    }

    fn log_limit(&self, team: &TeamId, retry_after: TimeSpan) {
        let now = self.clock.now();
        let mut state = self.lock();
        let logged_at = state.limit_lines.get(team);
        if logged_at.is_some_and(|logged_at| now.since(*logged_at) < LIMIT_LINE_INTERVAL) {
            return;
        }
        state.limit_lines.insert(team.clone(), now);
        FrontEvent::TeamOverLimit {
            team: team.to_string(),
            retry_after,
        }
        .emit(Level::Info);
    }

    fn lock(&self) -> MutexGuard<'_, KeeperState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn choose_pool(state: &mut KeeperState, now: TimePoint) {
    let KeeperState {
        credit, candidates, ..
    } = state;
    if credit.is_pool_silent(now)
        && let Some(pool) = credit.pool()
    {
        let pool = pool.to_string();
        FrontEvent::PoolSilent { pool }.emit(Level::Warn);
    }
    let before = credit.pool().map(ToString::to_string);
    if let Some(pool) = credit.choose_pool(candidates, now) {
        let pool = pool.to_string();
        FrontEvent::PoolChanged { pool, before }.emit(Level::Info);
    }
}
