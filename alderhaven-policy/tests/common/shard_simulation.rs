//! Simulation of the shards of one service and of the fronts that query them.
//!
//! Each shard has two replicas with slots and a bounded queue; queries need most shards, and
//! refused callers don't return.

use std::collections::VecDeque;

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::concurrency_limit::QuerySignal;
use alderhaven_policy::query_gate::{GateDecision, GateQuery, QueryGate};
use alderhaven_policy::query_rank::QueryRank;

use super::{EventQueue, SeededRng, ms};

/// Network delay between a front and a target, in each direction.
const ONE_WAY_DELAY: TimeSpan = TimeSpan::from_millis(1);

/// Number of attempts that wait at a replica before it refuses more.
const MAX_QUEUE_LENGTH: usize = 12;

/// Load and size of one run.
#[derive(Clone, Debug)]
pub struct ShardSimulationOptions {
    /// Queries per second at each front, by phases that last until the given time.
    pub rates: Vec<(TimePoint, Vec<f64>)>,
    /// Number of shards; a service without shards has one.
    pub shards: usize,
    /// Kinds of queries.
    pub kinds: Vec<KindOptions>,
    /// Whether fronts use admission control; otherwise all queries are sent.
    pub is_gated: bool,
    /// Number of slow shards, and the factor on their work.
    pub slow_shards: (usize, f64),
    /// Seed of the random numbers.
    pub seed: u64,
}

/// One kind of query.
#[derive(Clone, Copy, Debug)]
pub struct KindOptions {
    /// Rank in the admission queue; 0 is served first.
    pub rank: u32,
    /// Share of this kind among all queries.
    pub share: f64,
    /// Mean work per shard.
    pub mean_work: TimeSpan,
    /// Latency target, which is also the deadline of attempts.
    pub latency_target: TimeSpan,
    /// Number of shards that makes an answer.
    pub required_shards: usize,
}

/// Counts of queries that ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueryTally {
    /// All queries.
    pub total: f64,
    /// Queries that were answered within their latency target.
    pub in_time: f64,
    /// Queries that were refused.
    pub refused: f64,
    /// Longest time from an arrival to its refusal.
    pub slowest_refusal: TimeSpan,
}

#[derive(Clone, Copy, Debug)]
enum SimulationEvent {
    Arrive {
        front: usize,
    },
    WaitTimedOut {
        query: usize,
    },
    AttemptArrived {
        query: usize,
        shard: usize,
        replica: usize,
    },
    WorkDone {
        shard: usize,
        replica: usize,
    },
    ReplyArrived {
        query: usize,
        shard: usize,
        is_answered: bool,
    },
    DeadlineReached {
        query: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueryState {
    Waiting,
    Running,
    Ended,
}

#[derive(Debug)]
struct SimulatedQuery {
    front: usize,
    kind: usize,
    arrived_at: TimePoint,
    started_at: TimePoint,
    state: QueryState,
    answered_shards: usize,
    /// Replica that each shard was last sent to.
    tried: Vec<Option<usize>>,
    /// Whether each shard was sent a second time.
    retried: Vec<bool>,
}

#[derive(Debug, Default)]
struct SimulatedReplica {
    busy: usize,
    queue: VecDeque<(usize, usize)>,
}

#[derive(Debug, Default)]
struct SimulatedFront {
    gate: QueryGate,
    /// Attempts in flight of this front, by shard and replica.
    attempts_in_flight: Vec<[usize; 2]>,
}

/// State of one run.
pub struct ShardSimulation {
    options: ShardSimulationOptions,
    rng: SeededRng,
    now: TimePoint,
    events: EventQueue<SimulationEvent>,
    queries: Vec<SimulatedQuery>,
    shards: Vec<[SimulatedReplica; 2]>,
    fronts: Vec<SimulatedFront>,
    /// Counts by kind, front and second of arrival.
    tallies: Vec<(usize, usize, u64, QueryTally)>,
}

const SLOTS_PER_REPLICA: usize = 2;

impl ShardSimulation {
    /// Runs a load to its end.
    pub fn run(options: ShardSimulationOptions) -> Self {
        let (fronts, shards) = (options.rates[0].1.len(), options.shards);
        let mut simulation = Self {
            rng: SeededRng(options.seed),
            options,
            now: TimePoint::START,
            events: EventQueue::new(),
            queries: Vec::new(),
            shards: (0..shards).map(|_| Default::default()).collect(),
            fronts: (0..fronts).map(|_| SimulatedFront::new(shards)).collect(),
            tallies: Vec::new(),
        };
        for front in 0..fronts {
            simulation.plan_arrival(front);
        }
        while let Some((time, event)) = simulation.events.next() {
            simulation.now = time;
            simulation.handle(event);
        }
        simulation
    }

    /// Sums the counts whose kind, front and second of arrival match.
    pub fn tally(&self, matches: impl Fn(usize, usize, u64) -> bool) -> QueryTally {
        let mut sum = QueryTally::default();
        for (kind, front, second, tally) in &self.tallies {
            if matches(*kind, *front, *second) {
                sum.total += tally.total;
                sum.in_time += tally.in_time;
                sum.refused += tally.refused;
                sum.slowest_refusal = sum.slowest_refusal.max(tally.slowest_refusal);
            }
        }
        sum
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrive { front } => self.arrive(front),
            SimulationEvent::WaitTimedOut { query } => self.time_out_wait(query),
            SimulationEvent::AttemptArrived {
                query,
                shard,
                replica,
            } => self.receive_attempt(query, shard, replica),
            SimulationEvent::WorkDone { shard, replica } => {
                self.shards[shard][replica].busy -= 1;
                self.start_work(shard, replica);
            }
            SimulationEvent::ReplyArrived {
                query,
                shard,
                is_answered,
            } => self.receive_reply(query, shard, is_answered),
            SimulationEvent::DeadlineReached { query } => self.end(query),
        }
    }

    fn plan_arrival(&mut self, front: usize) {
        let now = self.now;
        let phase = self.options.rates.iter().find(|(until, _)| now < *until);
        if let Some((_, rates)) = phase {
            let mean = TimeSpan::from_secs(1).mul_f64(1.0 / rates[front]);
            let gap = self.rng.exponential(mean);
            self.events
                .add(now + gap, SimulationEvent::Arrive { front });
        }
    }

    fn arrive(&mut self, front: usize) {
        self.plan_arrival(front);
        let kind = self.draw_kind();
        let id = self.queries.len();
        self.queries.push(SimulatedQuery {
            front,
            kind,
            arrived_at: self.now,
            started_at: self.now,
            state: QueryState::Waiting,
            answered_shards: 0,
            tried: vec![None; self.options.shards],
            retried: vec![false; self.options.shards],
        });
        if !self.options.is_gated {
            self.start(id);
            return;
        }
        let query = self.gate_query(id);
        match self.fronts[front].gate.offer(query, self.now) {
            GateDecision::Admit => self.start(id),
            GateDecision::Wait { until, outranked } => {
                self.events
                    .add(until, SimulationEvent::WaitTimedOut { query: id });
                if let Some(outranked) = outranked {
                    self.refuse(usize::try_from(outranked).expect("valid query index"));
                }
            }
            GateDecision::Refuse(_) => self.refuse(id),
        }
    }

    fn draw_kind(&mut self) -> usize {
        let mut remaining = self.rng.unit();
        let kinds = &self.options.kinds;
        let found = kinds.iter().position(|kind| {
            remaining -= kind.share;
            remaining < 0.0
        });
        found.unwrap_or(0)
    }

    fn time_out_wait(&mut self, query: usize) {
        if self.queries[query].state != QueryState::Waiting {
            return;
        }
        let front = self.queries[query].front;
        self.fronts[front].gate.cancel(query as u64, self.now);
        self.refuse(query);
    }

    fn refuse(&mut self, query: usize) {
        let elapsed = self.now.since(self.queries[query].arrived_at);
        self.queries[query].state = QueryState::Ended;
        let tally = QueryTally {
            total: 1.0,
            refused: 1.0,
            slowest_refusal: elapsed,
            ..QueryTally::default()
        };
        self.record(query, tally);
    }

    fn start(&mut self, query: usize) {
        self.queries[query].state = QueryState::Running;
        self.queries[query].started_at = self.now;
        for shard in 0..self.options.shards {
            self.send(query, shard);
        }
        let deadline = self.queries[query].arrived_at + self.kind(query).latency_target;
        self.events
            .add(deadline, SimulationEvent::DeadlineReached { query });
    }

    /// Sends an attempt to the replica with the fewest attempts of this front, or to the other one
    /// if this shard was tried before.
    fn send(&mut self, query: usize, shard: usize) {
        let front = self.queries[query].front;
        let random_replica = usize::from(self.rng.unit() < 0.5);
        let in_flight = &mut self.fronts[front].attempts_in_flight[shard];
        let replica = match in_flight[0].cmp(&in_flight[1]) {
            std::cmp::Ordering::Less => 0,
            std::cmp::Ordering::Equal => random_replica,
            std::cmp::Ordering::Greater => 1,
        };
        let tried = &mut self.queries[query].tried[shard];
        // A replica that refused is not tried again.
        let replica = tried.map_or(replica, |first| 1 - first);
        *tried = Some(replica);
        in_flight[replica] += 1;
        self.events.add(
            self.now + ONE_WAY_DELAY,
            SimulationEvent::AttemptArrived {
                query,
                shard,
                replica,
            },
        );
    }

    fn receive_attempt(&mut self, query: usize, shard: usize, replica: usize) {
        let target = &mut self.shards[shard][replica];
        if target.busy == SLOTS_PER_REPLICA && target.queue.len() == MAX_QUEUE_LENGTH {
            self.send_reply(query, shard, replica, self.now, false);
            return;
        }
        target.queue.push_back((query, shard));
        self.start_work(shard, replica);
    }

    fn start_work(&mut self, shard: usize, replica: usize) {
        while self.shards[shard][replica].busy < SLOTS_PER_REPLICA {
            let Some((query, _)) = self.shards[shard][replica].queue.pop_front() else {
                return;
            };
            // Work ends at the query's deadline, and expired work is not started.
            let deadline = self.queries[query].arrived_at + self.kind(query).latency_target;
            if self.now >= deadline {
                self.send_reply(query, shard, replica, self.now, false);
                continue;
            }
            let done = self.now + self.draw_work(query, shard);
            self.shards[shard][replica].busy += 1;
            let event = SimulationEvent::WorkDone { shard, replica };
            self.events.add(done.min(deadline), event);
            self.send_reply(query, shard, replica, done.min(deadline), done <= deadline);
        }
    }

    fn draw_work(&mut self, query: usize, shard: usize) -> TimeSpan {
        let mean = self.kind(query).mean_work;
        let tail = if self.rng.unit() < 0.01 { 5.0 } else { 1.0 };
        let slow = self.options.slow_shards;
        let slow = if shard < slow.0 { slow.1 } else { 1.0 };
        mean.mul_f64((0.5 + self.rng.unit()) * tail * slow)
    }

    fn send_reply(
        &mut self,
        query: usize,
        shard: usize,
        replica: usize,
        time: TimePoint,
        is_answered: bool,
    ) {
        let front = self.queries[query].front;
        self.fronts[front].attempts_in_flight[shard][replica] -= 1;
        let event = SimulationEvent::ReplyArrived {
            query,
            shard,
            is_answered,
        };
        self.events.add(time + ONE_WAY_DELAY, event);
    }

    fn receive_reply(&mut self, query: usize, shard: usize, is_answered: bool) {
        if self.queries[query].state != QueryState::Running {
            return;
        }
        if is_answered {
            self.queries[query].answered_shards += 1;
            if self.queries[query].answered_shards == self.kind(query).required_shards {
                self.end(query);
            }
        } else if !self.queries[query].retried[shard] {
            self.queries[query].retried[shard] = true;
            self.send(query, shard);
        }
    }

    fn end(&mut self, query: usize) {
        let simulated = &mut self.queries[query];
        if simulated.state != QueryState::Running {
            return;
        }
        simulated.state = QueryState::Ended;
        let (front, started, arrived) =
            (simulated.front, simulated.started_at, simulated.arrived_at);
        let kind = self.kind(query);
        let has_enough_shards = self.queries[query].answered_shards >= kind.required_shards;
        let signal = if has_enough_shards {
            let passed = self.now.since(started).as_secs_f64();
            QuerySignal::EnoughShards(passed / kind.latency_target.as_secs_f64())
        } else {
            QuerySignal::TimedOut
        };
        let tally = QueryTally {
            total: 1.0,
            in_time: f64::from(u8::from(
                has_enough_shards && self.now.since(arrived) < kind.latency_target,
            )),
            ..QueryTally::default()
        };
        self.record(query, tally);
        if self.options.is_gated {
            let gate_query = self.gate_query(query);
            let gate = &mut self.fronts[front].gate;
            gate.record_finished(&gate_query, self.now.since(started), signal);
            while let Some(next) = self.fronts[front].gate.next_ready(self.now) {
                self.start(usize::try_from(next).expect("valid query index"));
            }
        }
    }

    fn gate_query(&self, query: usize) -> GateQuery {
        let kind = self.kind(query);
        GateQuery {
            id: query as u64,
            rank: QueryRank::of_route(kind.rank),
            latency_target: kind.latency_target,
            team: 0,
            work: kind.mean_work,
            is_late: false,
        }
    }

    fn kind(&self, query: usize) -> KindOptions {
        self.options.kinds[self.queries[query].kind]
    }

    fn record(&mut self, query: usize, tally: QueryTally) {
        let simulated = &self.queries[query];
        let second = simulated.arrived_at.as_micros() / ms(1_000).as_micros();
        self.tallies
            .push((simulated.kind, simulated.front, second, tally));
    }
}

impl SimulatedFront {
    fn new(shards: usize) -> Self {
        Self {
            gate: QueryGate::default(),
            attempts_in_flight: vec![[0; 2]; shards],
        }
    }
}
