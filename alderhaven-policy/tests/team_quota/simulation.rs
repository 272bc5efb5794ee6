//! Fronts that limit teams together over a simulated network.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use alderhaven_core::ids::{NodeId, TeamId};
use alderhaven_core::quantities::RatePerSecond;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::credit_pool::CreditPool;
use alderhaven_policy::pool_messages::{PoolQuery, PoolReply, ProcessEpoch};
use alderhaven_policy::pool_order::PoolCandidate;
use alderhaven_policy::quota_bound::QuotaBound;
use alderhaven_policy::team_account::TakenCredit;
use alderhaven_policy::team_credit::{CreditDecision, TeamCredit};
use alderhaven_policy::team_limit::TeamLimit;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Interval at which fronts renew their delegations if that is due.
const TICK: TimeSpan = TimeSpan::from_millis(100);

/// How long a request waits for the pool.
const MAX_WAIT: TimeSpan = TimeSpan::from_millis(40);

/// Bound of the deployment in which few large hosts serve most callers.
pub const BOUND: QuotaBound = QuotaBound {
    window: TimeSpan::from_secs(5),
    overshoot: 0.1,
    slack: 20.0,
};

pub fn limit(rate: f64, burst: f64) -> TeamLimit {
    TeamLimit {
        rate: RatePerSecond::new(rate).expect("valid rate"),
        burst,
    }
}

pub fn secs(secs: f64) -> TimeSpan {
    TimeSpan::from_secs(1).mul_f64(secs)
}

pub fn at(seconds: f64) -> TimePoint {
    TimePoint::START + secs(seconds)
}

/// What the network does to each message.
#[derive(Clone, Copy, Debug)]
pub struct NetworkFaults {
    pub loss: f64,
    pub duplication: f64,
    /// Part of the messages that is delayed by up to `max_delay`.
    pub late: f64,
    pub max_delay: TimeSpan,
}

impl NetworkFaults {
    pub const NONE: Self = Self {
        loss: 0.0,
        duplication: 0.0,
        late: 0.0,
        max_delay: TimeSpan::ZERO,
    };
}

/// A change of the simulated system.
#[derive(Clone, Debug)]
pub enum Change {
    /// One request of a team.
    Request { front: usize, team: usize },
    /// The process stands still; messages wait.
    Freeze { front: usize, pause: TimeSpan },
    /// The process ends and starts again without state.
    Restart { front: usize, pause: TimeSpan },
    /// Fronts reach only others of the same side.
    Cut { sides: Vec<u8> },
    /// The order in which one front sees the candidates is rotated.
    Rotate { front: usize, by: usize },
    /// All fronts get another limit of a team, each with another delay.
    Limit { team: usize, limit: TeamLimit },
}

enum Event {
    Change(Change),
    Tick(usize, u64),
    Query(usize, usize, PoolQuery),
    Reply(usize, PoolReply),
    WaitHalf(usize, u64, usize),
    WaitEnd(usize, u64, usize, u64),
    Refund(usize, u64, usize, TakenCredit),
    SetLimit(usize, usize, TeamLimit),
    Start(usize),
}

struct Front {
    credit: TeamCredit,
    pool: CreditPool,
    process: u64,
    started_at: TimePoint,
    is_up: bool,
    frozen_until: TimePoint,
    side: u8,
    rotation: usize,
    limits: Vec<TeamLimit>,
    /// Requests that wait, by team, in order.
    waiting: Vec<Vec<u64>>,
}

/// Requests of one team that ran, and how many were offered.
#[derive(Clone, Debug, Default)]
pub struct TeamTally {
    /// Time and front of each request that ran.
    pub runs: Vec<(TimePoint, usize)>,
    /// Time of each request that was refused.
    pub refusals: Vec<TimePoint>,
    pub offered: usize,
    pub over_limit: usize,
    pub unavailable: usize,
}

pub struct Simulation {
    now: TimePoint,
    events: BinaryHeap<Reverse<(TimePoint, u64)>>,
    pending: BTreeMap<u64, Event>,
    last_event: u64,
    random: SmallRng,
    fronts: Vec<Front>,
    shares: Vec<f64>,
    bound: QuotaBound,
    pub faults: NetworkFaults,
    /// Part of the granted requests that is refused afterwards and returns its credit.
    pub refund_part: f64,
    pub tallies: Vec<TeamTally>,
    pub queries: usize,
    /// Time after its start in which a front sees no other.
    pub discovery_time: TimeSpan,
    /// Whether the shares in use are summed up after each event.
    pub has_share_check: bool,
    /// The largest sum of shares in use at any moment.
    pub largest_share: f64,
}

fn node(front: usize) -> NodeId {
    format!("front-{front}").parse().expect("valid node")
}

fn team_id(team: usize) -> TeamId {
    format!("team-{team}").parse().expect("valid team")
}

impl Simulation {
    pub fn new(shares: &[f64], limits: &[TeamLimit], bound: QuotaBound, seed: u64) -> Self {
        let mut simulation = Self {
            now: TimePoint::START,
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            last_event: 0,
            random: SmallRng::seed_from_u64(seed),
            fronts: Vec::new(),
            shares: shares.to_vec(),
            bound,
            faults: NetworkFaults::NONE,
            refund_part: 0.0,
            tallies: vec![TeamTally::default(); limits.len()],
            queries: 0,
            discovery_time: TimeSpan::ZERO,
            has_share_check: false,
            largest_share: 0.0,
        };
        for front in 0..shares.len() {
            let front = simulation.new_front(front, limits.to_vec());
            simulation.fronts.push(front);
        }
        for front in 0..shares.len() {
            simulation.schedule(TimePoint::START, Event::Start(front));
        }
        simulation
    }

    pub fn change(&mut self, at: TimePoint, change: Change) {
        self.schedule(at, Event::Change(change));
    }

    /// Offers requests of a team at one front, evenly from `from` until `to`.
    pub fn offer(&mut self, team: usize, front: usize, rate: f64, from: f64, to: f64) {
        let mut time = from + self.random.random_range(0.0..1.0 / rate);
        while time < to {
            self.change(at(time), Change::Request { front, team });
            time += self.random.random_range(0.5..1.5) / rate;
        }
    }

    pub fn run_until(&mut self, end: TimePoint) {
        while let Some(Reverse((time, id))) = self.events.peek().copied() {
            if time > end {
                break;
            }
            self.events.pop();
            let event = self.pending.remove(&id).expect("scheduled event");
            self.now = time;
            self.handle(event);
            if self.has_share_check {
                self.check_shares();
            }
        }
        self.now = end;
        for tally in &mut self.tallies {
            tally.runs.sort_unstable();
        }
    }

    /// Sums up the shares that pools and fronts use at this moment.
    fn check_shares(&mut self) {
        let mut total = 0.0;
        for front in 0..self.fronts.len() {
            let now = self.clock(front);
            let front = &mut self.fronts[front];
            if front.is_up {
                total += front.pool.delegated_share(now) + front.credit.local_share();
            }
        }
        self.largest_share = self.largest_share.max(total);
    }

    fn schedule(&mut self, time: TimePoint, event: Event) {
        self.last_event += 1;
        self.events.push(Reverse((time, self.last_event)));
        self.pending.insert(self.last_event, event);
    }

    fn new_front(&mut self, front: usize, limits: Vec<TeamLimit>) -> Front {
        let epoch = ProcessEpoch(self.random.random());
        let start = TimePoint::START;
        Front {
            credit: TeamCredit::new(self.bound, node(front), epoch, start),
            pool: CreditPool::new(self.bound, epoch, start),
            process: self.random.random(),
            started_at: self.now,
            is_up: true,
            frozen_until: self.now,
            side: 0,
            rotation: 0,
            waiting: vec![Vec::new(); limits.len()],
            limits,
        }
    }

    /// Returns the front and process that an event belongs to, if it belongs to one.
    fn place_of(event: &Event) -> Option<(usize, Option<u64>)> {
        match event {
            Event::Change(Change::Request { front, .. }) => Some((*front, None)),
            Event::Query(_, to, _) | Event::Reply(to, _) => Some((*to, None)),
            Event::Tick(front, process)
            | Event::WaitHalf(front, process, _)
            | Event::WaitEnd(front, process, ..)
            | Event::Refund(front, process, ..) => Some((*front, Some(*process))),
            _ => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some((front, process)) = Self::place_of(&event) {
            let front = &self.fronts[front];
            if !front.is_up || process.is_some_and(|process| process != front.process) {
                return;
            }
            if self.now < front.frozen_until {
                let resumed_at = front.frozen_until;
                return self.schedule(resumed_at, event);
            }
        }
        match event {
            Event::Change(change) => self.apply(change),
            Event::Start(front) => self.start(front),
            Event::Tick(front, process) => {
                self.schedule(self.now + TICK, Event::Tick(front, process));
                self.tick(front);
            }
            Event::Query(from, to, query) => self.answer(from, to, &query),
            Event::Reply(to, reply) => self.apply_reply(to, &reply),
            Event::WaitHalf(front, _, team) => {
                let now = self.clock(front);
                let half = MAX_WAIT.mul_f64(0.5);
                let credit = &mut self.fronts[front].credit;
                credit.allow_repeat(&team_id(team), half, now);
                self.ask(front, team);
            }
            Event::WaitEnd(front, _, team, request) => self.end_wait(front, team, request),
            Event::Refund(front, _, team, source) => {
                let now = self.clock(front);
                let credit = &mut self.fronts[front].credit;
                credit.give_back(&team_id(team), source, now);
            }
            Event::SetLimit(front, team, limit) => self.fronts[front].limits[team] = limit,
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Request { front, team } => self.request(front, team),
            Change::Freeze { front, pause } => {
                let front = &mut self.fronts[front];
                front.frozen_until = front.frozen_until.max(self.now + pause);
            }
            Change::Restart { front, pause } => {
                if self.fronts[front].is_up {
                    self.fronts[front].is_up = false;
                    self.schedule(self.now + pause, Event::Start(front));
                }
            }
            Change::Cut { sides } => {
                for (front, side) in self.fronts.iter_mut().zip(sides) {
                    front.side = side;
                }
            }
            Change::Rotate { front, by } => self.fronts[front].rotation = by,
            Change::Limit { team, limit } => {
                for front in 0..self.fronts.len() {
                    let delay = secs(self.random.random_range(0.0..1.0));
                    self.schedule(self.now + delay, Event::SetLimit(front, team, limit));
                }
            }
        }
    }

    fn start(&mut self, front: usize) {
        let (side, limits) = (self.fronts[front].side, self.fronts[front].limits.clone());
        let mut started = self.new_front(front, limits);
        started.side = side;
        let process = started.process;
        self.fronts[front] = started;
        let delay = TICK.mul_f64(self.random.random_range(0.0..1.0));
        self.schedule(self.now + delay, Event::Tick(front, process));
    }

    /// The clock of a front's process, which counts from its start.
    fn clock(&self, front: usize) -> TimePoint {
        TimePoint::START + self.now.since(self.fronts[front].started_at)
    }

    fn tick(&mut self, front: usize) {
        let has_discovered = self.now.since(self.fronts[front].started_at) >= self.discovery_time;
        let is_seen = |other: &usize| *other == front || has_discovered;
        let mut candidates: Vec<PoolCandidate> = (0..self.fronts.len())
            .filter(|other| self.fronts[*other].is_up && is_seen(other))
            .map(|other| PoolCandidate {
                node: node(other),
                is_large: true,
            })
            .collect();
        let rotation = self.fronts[front].rotation % candidates.len();
        candidates.rotate_left(rotation);
        let now = self.clock(front);
        let share = self.shares[front];
        let credit = &mut self.fronts[front].credit;
        credit.set_own_share(share, now);
        credit.choose_pool(&candidates, now);
        let renewal = credit.renewal(now);
        for (pool, query) in credit.side_queries(now) {
            self.send_query(front, &pool, &query);
        }
        if let Some(query) = renewal {
            self.send_to_pool(front, &query);
        }
    }

    fn send_to_pool(&mut self, from: usize, query: &PoolQuery) {
        let pool = self.fronts[from].credit.pool().cloned();
        self.send_query(from, &pool.expect("pool is chosen"), query);
    }

    fn send_query(&mut self, from: usize, pool: &NodeId, query: &PoolQuery) {
        self.queries += 1;
        let to: usize = pool.as_str()[6..].parse().expect("number of the front");
        if to == from {
            self.answer(from, to, query);
            return;
        }
        for delay in self.deliveries(from, to) {
            self.schedule(self.now + delay, Event::Query(from, to, query.clone()));
        }
    }

    fn deliveries(&mut self, from: usize, to: usize) -> Vec<TimeSpan> {
        if self.fronts[from].side != self.fronts[to].side
            || self.random.random_bool(self.faults.loss)
        {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.random.random_bool(self.faults.duplication));
        (0..copies)
            .map(|_| {
                let delay = secs(self.random.random_range(0.0004..0.001));
                if self.random.random_bool(self.faults.late) {
                    let part = self.random.random_range(0.0..1.0);
                    delay + self.faults.max_delay.mul_f64(part)
                } else {
                    delay
                }
            })
            .collect()
    }

    fn answer(&mut self, from: usize, to: usize, query: &PoolQuery) {
        let now = self.clock(to);
        let Front { pool, limits, .. } = &mut self.fronts[to];
        let limit_of = |team: &TeamId| {
            let team: usize = team.as_str()[5..].parse().ok()?;
            limits.get(team).copied()
        };
        let Some(reply) = pool.answer(query, limit_of, now) else {
            return;
        };
        if from == to {
            return self.apply_reply(to, &reply);
        }
        for delay in self.deliveries(to, from) {
            self.schedule(self.now + delay, Event::Reply(from, reply.clone()));
        }
    }

    fn apply_reply(&mut self, front: usize, reply: &PoolReply) {
        let now = self.clock(front);
        if self.fronts[front].credit.apply(reply, now).is_none() {
            return;
        }
        for team in 0..self.tallies.len() {
            for request in std::mem::take(&mut self.fronts[front].waiting[team]) {
                let Front { credit, limits, .. } = &mut self.fronts[front];
                let decision = credit.take_waiting(&team_id(team), limits[team], now);
                if decision == CreditDecision::Waiting {
                    self.fronts[front].waiting[team].push(request);
                } else {
                    self.finish(front, team, decision);
                    self.fronts[front].credit.end_wait(&team_id(team));
                }
            }
            if !self.fronts[front].waiting[team].is_empty() {
                self.ask(front, team);
            }
        }
    }

    fn request(&mut self, front: usize, team: usize) {
        self.tallies[team].offered += 1;
        let now = self.clock(front);
        let Front { credit, limits, .. } = &mut self.fronts[front];
        let decision = credit.take(&team_id(team), limits[team], now);
        if decision == CreditDecision::Waiting {
            self.last_event += 1;
            let request = self.last_event;
            let front_state = &mut self.fronts[front];
            front_state.waiting[team].push(request);
            let process = front_state.process;
            let half = self.now + MAX_WAIT.mul_f64(0.5);
            self.schedule(half, Event::WaitHalf(front, process, team));
            let end = self.now + MAX_WAIT;
            self.schedule(end, Event::WaitEnd(front, process, team, request));
        } else {
            self.finish(front, team, decision);
        }
        self.ask(front, team);
    }

    fn ask(&mut self, front: usize, team: usize) {
        let now = self.clock(front);
        let Front { credit, limits, .. } = &mut self.fronts[front];
        if let Some(query) = credit.query_for(&team_id(team), limits[team], now) {
            self.send_to_pool(front, &query);
        }
    }

    fn end_wait(&mut self, front: usize, team: usize, request: u64) {
        let now = self.clock(front);
        let Front {
            credit,
            limits,
            waiting,
            ..
        } = &mut self.fronts[front];
        let Some(place) = waiting[team].iter().position(|id| *id == request) else {
            return;
        };
        waiting[team].remove(place);
        let decision = credit.take_unanswered(&team_id(team), limits[team], now);
        credit.end_wait(&team_id(team));
        self.finish(front, team, decision);
    }

    fn finish(&mut self, front: usize, team: usize, decision: CreditDecision) {
        let tally = &mut self.tallies[team];
        match decision {
            CreditDecision::Granted(source) => {
                if self.refund_part > 0.0 && self.random.random_bool(self.refund_part) {
                    let delay = secs(self.random.random_range(0.0..0.8));
                    let process = self.fronts[front].process;
                    let event = Event::Refund(front, process, team, source);
                    return self.schedule(self.now + delay, event);
                }
                tally.runs.push((self.now, front));
            }
            CreditDecision::OverLimit(_) => {
                tally.refusals.push(self.now);
                tally.over_limit += 1;
            }
            CreditDecision::Unavailable(_) => {
                tally.refusals.push(self.now);
                tally.unavailable += 1;
            }
            CreditDecision::Waiting => panic!("a request that waits is not finished"),
        }
    }
}

impl TeamTally {
    /// Returns the number of requests that ran in `[from, to)` seconds.
    pub fn count(&self, from: f64, to: f64) -> usize {
        let (from, to) = (at(from), at(to));
        let runs = self.runs.iter();
        runs.filter(|(time, _)| *time >= from && *time < to).count()
    }

    /// Returns the number of requests that were refused in `[from, to)` seconds.
    pub fn count_refused(&self, from: f64, to: f64) -> usize {
        let (from, to) = (at(from), at(to));
        let refusals = self.refusals.iter();
        refusals
            .filter(|time| **time >= from && **time < to)
            .count()
    }

    /// Returns the largest number of requests that ran in any window that starts at `from` or later.
    pub fn busiest_window(&self, window: TimeSpan, from: TimePoint) -> usize {
        let mut busiest = 0;
        let mut end = 0;
        for (start, (time, _)) in self.runs.iter().enumerate() {
            if *time < from {
                continue;
            }
            while end < self.runs.len() && self.runs[end].0 <= *time + window {
                end += 1;
            }
            busiest = busiest.max(end - start);
        }
        busiest
    }
}

/// Returns how many requests of a team may run in a window.
pub fn allowed_in_window(bound: &QuotaBound, limit: TeamLimit) -> f64 {
    let window = bound.window.as_secs_f64();
    (limit.rate.per_second() * window + limit.burst) * (1.0 + bound.overshoot) + bound.slack
}
