//! Weighted fair queue of the queries that wait for admission to one service.
//!
//! Classes are served in order of priority, with one admission in [`AGED_ADMISSION_INTERVAL`] for
//! an aged query of a lower class. Within a class, the team with the lowest recent usage relative to
//! its weight goes first. Queries that were admitted without waiting count as usage too, so that a
//! team which used idle capacity gets no extra turns. Within a team, queries go in order of
//! arrival; keys that use more than [`HOT_KEY_SHARE`] of the team's usage go last.

use std::collections::{BTreeMap, HashMap, VecDeque};

use alderhaven_core::class::QueryClass;
use alderhaven_core::ids::TeamId;
use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::rate_meter::RateMeter;

/// One admission in this many may go to an aged query of a lower class.
pub const AGED_ADMISSION_INTERVAL: u32 = 64;
/// Wait after which a query counts as aged and may overtake higher classes.
pub const AGING_THRESHOLD: TimeSpan = TimeSpan::from_millis(200);

/// Time constant of the usage meters, long enough to tell a flood from two successive queries.
const USAGE_TIME_CONSTANT: TimeSpan = TimeSpan::from_millis(500);
/// Share of its team's usage above which a key counts as hot.
pub const HOT_KEY_SHARE: f64 = 0.1;
/// Number of teams, or of keys of a team, above which idle ones are evicted.
const IDLE_FLOW_EVICTION_THRESHOLD: usize = 512;

/// A query that waits for admission.
#[derive(Clone, Debug)]
pub struct WaitingQuery {
    /// Query id as in [`crate::admit_decision::AdmitRequest::id`].
    pub id: u64,
    /// Priority class.
    pub class: QueryClass,
    /// Team that is charged for the query.
    pub team: TeamId,
    /// Weight of the team in the fair order.
    pub weight: u32,
    /// Fingerprint of the template and parameters.
    pub key: u64,
    /// Number of shards that the query is sent to.
    pub cost: u32,
    /// Arrival time, from which aging counts.
    pub arrived_at: TimePoint,
    /// Time at which the query is refused if it still waits.
    pub expires_at: TimePoint,
}

#[derive(Debug)]
struct KeyFlow {
    usage: RateMeter,
    queries: VecDeque<WaitingQuery>,
    queued_cost: u64,
}

#[derive(Debug)]
struct TeamFlow {
    usage: RateMeter,
    weight: u32,
    keys: HashMap<u64, KeyFlow>,
    queued_cost: u64,
}

impl Default for KeyFlow {
    fn default() -> Self {
        Self {
            usage: RateMeter::new(USAGE_TIME_CONSTANT),
            queries: VecDeque::new(),
            queued_cost: 0,
        }
    }
}

impl Default for TeamFlow {
    fn default() -> Self {
        Self {
            usage: RateMeter::new(USAGE_TIME_CONSTANT),
            weight: 1,
            keys: HashMap::new(),
            queued_cost: 0,
        }
    }
}

#[derive(Debug, Default)]
struct ClassFlow {
    teams: BTreeMap<TeamId, TeamFlow>,
    queued_cost: u64,
}

/// Position of the query that [`FairQueue::pick`] selected.
#[derive(Clone, Debug)]
pub struct QueryPick {
    team: TeamId,
    key: u64,
    rank: usize,
    highest_rank: usize,
}

/// Waiting queries of one service and the recent usage of their teams and keys.
#[derive(Debug, Default)]
pub struct FairQueue {
    classes: [ClassFlow; 3],
    picks_since_aged: u32,
    len: usize,
}

impl FairQueue {
    /// Appends a query to the queue of its class, team and key.
    pub fn push(&mut self, query: WaitingQuery) {
        let class = &mut self.classes[usize::from(query.class.rank())];
        let cost = u64::from(query.cost);
        let team = class.teams.entry(query.team.clone()).or_default();
        team.weight = query.weight.max(1);
        let key = team.keys.entry(query.key).or_default();
        key.queued_cost += cost;
        team.queued_cost += cost;
        class.queued_cost += cost;
        self.len += 1;
        key.queries.push_back(query);
    }

    /// Selects the next query for which `may_run` holds, without removing it.
    pub fn pick(
        &self,
        now: TimePoint,
        may_run: impl Fn(&WaitingQuery) -> bool,
    ) -> Option<QueryPick> {
        let firsts: [Option<(TeamId, u64, TimePoint)>; 3] =
            std::array::from_fn(|rank| self.classes[rank].first(now, &may_run));
        let highest = firsts.iter().position(Option::is_some)?;
        let aged = (highest + 1..firsts.len())
            .filter_map(|rank| Some((firsts[rank].as_ref()?.2, rank)))
            .filter(|(since, _)| now.since(*since) >= AGING_THRESHOLD)
            .min();
        let is_due = self.picks_since_aged + 1 >= AGED_ADMISSION_INTERVAL;
        let rank = match aged {
            Some((_, rank)) if is_due => rank,
            _ => highest,
        };
        let (team, key, _) = firsts[rank].clone()?;
        Some(QueryPick {
            team,
            key,
            rank,
            highest_rank: highest,
        })
    }

    /// Removes the picked query and returns it with its effective class.
    ///
    /// An aged query takes the class that it overtakes, so that the relays don't hold it back
    /// again.
    pub fn take(&mut self, pick: &QueryPick, now: TimePoint) -> Option<(WaitingQuery, QueryClass)> {
        self.picks_since_aged = if pick.rank == pick.highest_rank {
            self.picks_since_aged.saturating_add(1)
        } else {
            0
        };
        let query = self.classes[pick.rank].take(&pick.team, pick.key, now)?;
        self.len -= 1;
        Some((query, QueryClass::ALL[pick.highest_rank]))
    }

    /// Removes and returns all queries that have expired by `now`.
    pub fn take_expired(&mut self, now: TimePoint) -> Vec<WaitingQuery> {
        let mut expired = Vec::new();
        if self.len == 0 {
            return expired;
        }
        for class in &mut self.classes {
            class.take_where(&mut expired, |query| query.expires_at <= now);
        }
        self.len -= expired.len();
        expired
    }

    /// Removes a query by its id.
    pub fn cancel(&mut self, id: u64) -> Option<WaitingQuery> {
        let mut found = Vec::new();
        for class in &mut self.classes {
            class.take_where(&mut found, |query| query.id == id);
        }
        self.len -= found.len();
        found.pop()
    }

    /// Returns the earliest expiry of the waiting queries.
    #[must_use]
    pub fn next_expiry(&self) -> Option<TimePoint> {
        self.queries().map(|query| query.expires_at).min()
    }

    /// Charges a query that was admitted without waiting to its team and key.
    pub fn record_admitted(
        &mut self,
        class: QueryClass,
        team: &TeamId,
        weight: u32,
        key: u64,
        cost: u32,
        now: TimePoint,
    ) {
        let class = &mut self.classes[usize::from(class.rank())];
        class.charge(team, weight, key, f64::from(cost), now);
    }

    /// Returns the total cost of the queries that wait in classes of higher priority.
    #[must_use]
    pub fn cost_above(&self, class: QueryClass) -> u64 {
        let rank = usize::from(class.rank());
        self.classes[..rank]
            .iter()
            .map(|class| class.queued_cost)
            .sum()
    }

    /// Returns the total cost of the queries that wait in this class.
    #[must_use]
    pub fn cost_in(&self, class: QueryClass) -> u64 {
        self.classes[usize::from(class.rank())].queued_cost
    }

    /// Returns the cost of the team's queries that go before a new query of this key and cost.
    #[must_use]
    pub fn cost_before(&self, class: QueryClass, team: &TeamId, key: u64, cost: u32) -> u64 {
        let Some(team) = self.classes[usize::from(class.rank())].teams.get(team) else {
            return 0;
        };
        let own_cost = team.keys.get(&key).map_or(0, |flow| flow.queued_cost);
        // Keys take turns: before the new query, each other key gets at most as much as this key
        // including the query.
        let own_turns = own_cost + u64::from(cost);
        let other_cost = team
            .keys
            .iter()
            .filter(|(other, _)| **other != key)
            .map(|(_, flow)| flow.queued_cost.min(own_turns))
            .sum::<u64>();
        own_cost + other_cost
    }

    /// Returns the number of waiting queries of a key within a team and class.
    #[must_use]
    pub fn waiting_of_key(&self, class: QueryClass, team: &TeamId, key: u64) -> usize {
        self.classes[usize::from(class.rank())]
            .teams
            .get(team)
            .and_then(|team| team.keys.get(&key))
            .map_or(0, |flow| flow.queries.len())
    }

    /// Returns the rate of attempts of a team that were recently admitted in this class.
    #[must_use]
    pub fn usage_per_second(&self, class: QueryClass, team: &TeamId, now: TimePoint) -> f64 {
        self.classes[usize::from(class.rank())]
            .teams
            .get(team)
            .map_or(0.0, |flow| flow.usage.per_second(now))
    }

    /// Returns the sum of the team's weight and the weights of the teams that may go before it:
    /// those that wait in the class with at most twice its usage for their weight.
    #[must_use]
    pub fn competing_weight(
        &self,
        class: QueryClass,
        team: &TeamId,
        weight: u32,
        now: TimePoint,
    ) -> f64 {
        let own_weight = f64::from(weight.max(1));
        let own_usage = self.usage_per_second(class, team, now) / own_weight;
        let other_weight = self.classes[usize::from(class.rank())]
            .teams
            .iter()
            .filter(|(name, flow)| *name != team && flow.queued_cost > 0)
            .filter(|(_, flow)| flow.weighted_usage(now) <= 2.0 * own_usage)
            .map(|(_, flow)| f64::from(flow.weight))
            .sum::<f64>();
        other_weight + own_weight
    }

    /// Returns the number of waiting queries.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns true if no query waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn queries(&self) -> impl Iterator<Item = &WaitingQuery> {
        self.classes
            .iter()
            .flat_map(|class| class.teams.values())
            .flat_map(|team| team.keys.values())
            .flat_map(|key| &key.queries)
    }
}

impl ClassFlow {
    /// Finds the team and key whose first query goes next.
    fn first(
        &self,
        now: TimePoint,
        may_run: &impl Fn(&WaitingQuery) -> bool,
    ) -> Option<(TeamId, u64, TimePoint)> {
        self.teams
            .iter()
            .filter(|(_, team)| team.queued_cost > 0)
            .filter_map(|(name, team)| Some((name, team, team.first(now, may_run)?)))
            .map(|(name, team, first)| (team.weighted_usage(now), name, first))
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, name, (key, since))| (name.clone(), key, since))
    }

    fn take(&mut self, name: &TeamId, key: u64, now: TimePoint) -> Option<WaitingQuery> {
        let team = self.teams.get_mut(name)?;
        let flow = team.keys.get_mut(&key)?;
        let query = flow.queries.pop_front()?;
        let cost = u64::from(query.cost);
        flow.queued_cost -= cost;
        team.queued_cost -= cost;
        self.queued_cost -= cost;
        self.charge(name, query.weight, key, f64::from(query.cost), now);
        Some(query)
    }

    fn charge(&mut self, name: &TeamId, weight: u32, key: u64, cost: f64, now: TimePoint) {
        if !self.teams.contains_key(name) {
            self.teams.insert(name.clone(), TeamFlow::default());
        }
        if let Some(team) = self.teams.get_mut(name) {
            team.weight = weight.max(1);
            team.usage.add(cost, now);
            team.keys.entry(key).or_default().usage.add(cost, now);
        }
        self.evict_idle(now);
    }

    /// Evicts flows without waiting queries or recent usage once there are many of them.
    fn evict_idle(&mut self, now: TimePoint) {
        for team in self.teams.values_mut() {
            if team.keys.len() > IDLE_FLOW_EVICTION_THRESHOLD {
                let floor = team.usage.per_second(now) * HOT_KEY_SHARE / 2.0;
                team.keys
                    .retain(|_, flow| flow.queued_cost > 0 || flow.usage.per_second(now) > floor);
            }
        }
        if self.teams.len() > IDLE_FLOW_EVICTION_THRESHOLD {
            self.teams
                .retain(|_, team| team.queued_cost > 0 || team.usage.per_second(now) > 1.0);
        }
    }

    fn take_where(
        &mut self,
        taken: &mut Vec<WaitingQuery>,
        matches: impl Fn(&WaitingQuery) -> bool,
    ) {
        for team in self.teams.values_mut() {
            for flow in team.keys.values_mut() {
                flow.queries.retain(|query| {
                    if !matches(query) {
                        return true;
                    }
                    let cost = u64::from(query.cost);
                    flow.queued_cost -= cost;
                    team.queued_cost -= cost;
                    self.queued_cost -= cost;
                    taken.push(query.clone());
                    false
                });
            }
        }
    }
}

impl TeamFlow {
    fn weighted_usage(&self, now: TimePoint) -> f64 {
        self.usage.per_second(now) / f64::from(self.weight)
    }

    fn first(
        &self,
        now: TimePoint,
        may_run: &impl Fn(&WaitingQuery) -> bool,
    ) -> Option<(u64, TimePoint)> {
        let hot_threshold = self.usage.per_second(now) * HOT_KEY_SHARE;
        self.keys
            .iter()
            .filter_map(|(key, flow)| Some((*key, flow, flow.queries.front()?)))
            .filter(|(_, _, query)| may_run(query))
            .map(|(key, flow, query)| {
                let excess = (flow.usage.per_second(now) - hot_threshold).max(0.0);
                (excess, query.arrived_at, key)
            })
            .min_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)))
            .map(|(_, since, key)| (key, since))
    }
}
