//! A model of the shards of one service and of the fronts that ask them, over passed-in time: replicas
//! with slots and a bounded queue, queries that need most shards, and callers who go away when refused.

use std::collections::VecDeque;

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::query_gate::{GateDecision, GateQuery, QueryGate};
use alderhaven_policy::room_limit::QueryNeed;

use super::{DrawSource, EventLoop, ms};

/// The way between a front and a target, there or back.
const WAY: TimeSpan = TimeSpan::from_millis(1);

/// The requests that wait at a replica before it refuses.
const QUEUE: usize = 12;

/// A `FieldOptions` is a load on shards with two replicas of two slots each.
#[derive(Clone, Debug)]
pub struct FieldOptions {
    /// Queries a second at each front, by stretches of time: until when, and how many.
    pub rates: Vec<(TimePoint, Vec<f64>)>,
    /// The shards; one stands for a service that is not sharded.
    pub shards: usize,
    /// The kinds of queries.
    pub kinds: Vec<KindOptions>,
    /// Whether fronts decide on queries; else all are sent.
    pub is_gated: bool,
    /// How many shards have replicas that work this many times as long.
    pub slow: (usize, f64),
    /// The seed.
    pub seed: u64,
}

/// A `KindOptions` is one kind of query.
#[derive(Clone, Copy, Debug)]
pub struct KindOptions {
    /// Its rank.
    pub rank: u32,
    /// Its part of all queries.
    pub part: f64,
    /// The mean work for each shard.
    pub work: TimeSpan,
    /// The latency target.
    pub target: TimeSpan,
    /// The shards that make an answer.
    pub least: usize,
}

/// A `FieldTally` counts the ends of queries.
#[derive(Clone, Copy, Debug, Default)]
pub struct FieldTally {
    /// All of them.
    pub asked: f64,
    /// Those answered in time.
    pub in_time: f64,
    /// Those refused.
    pub refused: f64,
    /// The longest time that passed until a refusal.
    pub slowest_refusal: TimeSpan,
}

#[derive(Clone, Copy, Debug)]
enum FieldEvent {
    Arrive {
        front: usize,
    },
    WaitOver {
        query: usize,
    },
    Reached {
        query: usize,
        shard: usize,
        replica: usize,
    },
    WorkDone {
        shard: usize,
        replica: usize,
    },
    Back {
        query: usize,
        shard: usize,
        is_answered: bool,
    },
    Due {
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
struct FieldQuery {
    front: usize,
    kind: usize,
    arrived: TimePoint,
    started: TimePoint,
    state: QueryState,
    present: usize,
    /// The replica that each shard was sent to, until it has refused and the other was asked.
    tried: Vec<Option<usize>>,
    /// The shards that were sent a second time.
    retried: Vec<bool>,
}

#[derive(Debug, Default)]
struct FieldReplica {
    busy: usize,
    queue: VecDeque<(usize, usize)>,
}

#[derive(Debug, Default)]
struct FieldFront {
    gate: QueryGate,
    /// The attempts of this front that are out, by shard and replica.
    out: Vec<[usize; 2]>,
}

/// A `ShardField` is the model while it runs.
pub struct ShardField {
    options: FieldOptions,
    draws: DrawSource,
    now: TimePoint,
    events: EventLoop<FieldEvent>,
    queries: Vec<FieldQuery>,
    shards: Vec<[FieldReplica; 2]>,
    fronts: Vec<FieldFront>,
    /// What was counted, by kind, front and second of arrival.
    tallies: Vec<(usize, usize, u64, FieldTally)>,
}

const SLOTS: usize = 2;

impl ShardField {
    /// Runs a load to its end.
    pub fn run(options: FieldOptions) -> Self {
        let (fronts, shards) = (options.rates[0].1.len(), options.shards);
        let mut field = Self {
            draws: DrawSource(options.seed),
            options,
            now: TimePoint::START,
            events: EventLoop::new(),
            queries: Vec::new(),
            shards: (0..shards).map(|_| Default::default()).collect(),
            fronts: (0..fronts).map(|_| FieldFront::new(shards)).collect(),
            tallies: Vec::new(),
        };
        for front in 0..fronts {
            field.plan_arrival(front);
        }
        while let Some((time, event)) = field.events.next() {
            field.now = time;
            field.handle(event);
        }
        field
    }

    /// Adds up what was counted of queries that `is_meant` by kind, front and second of arrival.
    pub fn tally(&self, is_meant: impl Fn(usize, usize, u64) -> bool) -> FieldTally {
        let mut sum = FieldTally::default();
        for (kind, front, second, tally) in &self.tallies {
            if is_meant(*kind, *front, *second) {
                sum.asked += tally.asked;
                sum.in_time += tally.in_time;
                sum.refused += tally.refused;
                sum.slowest_refusal = sum.slowest_refusal.max(tally.slowest_refusal);
            }
        }
        sum
    }

    fn handle(&mut self, event: FieldEvent) {
        match event {
            FieldEvent::Arrive { front } => self.arrive(front),
            FieldEvent::WaitOver { query } => self.wait_over(query),
            FieldEvent::Reached {
                query,
                shard,
                replica,
            } => self.reach(query, shard, replica),
            FieldEvent::WorkDone { shard, replica } => {
                self.shards[shard][replica].busy -= 1;
                self.start_work(shard, replica);
            }
            FieldEvent::Back {
                query,
                shard,
                is_answered,
            } => self.take(query, shard, is_answered),
            FieldEvent::Due { query } => self.end(query),
        }
    }

    fn plan_arrival(&mut self, front: usize) {
        let now = self.now;
        let stretch = self.options.rates.iter().find(|(until, _)| now < *until);
        if let Some((_, rates)) = stretch {
            let mean = TimeSpan::from_secs(1).mul_f64(1.0 / rates[front]);
            let gap = self.draws.exponential(mean);
            self.events.add(now + gap, FieldEvent::Arrive { front });
        }
    }

    fn arrive(&mut self, front: usize) {
        self.plan_arrival(front);
        let kind = self.draw_kind();
        let id = self.queries.len();
        self.queries.push(FieldQuery {
            front,
            kind,
            arrived: self.now,
            started: self.now,
            state: QueryState::Waiting,
            present: 0,
            tried: vec![None; self.options.shards],
            retried: vec![false; self.options.shards],
        });
        if !self.options.is_gated {
            self.start(id);
            return;
        }
        let options = self.options.kinds[kind];
        let query = GateQuery {
            id: id as u64,
            rank: options.rank,
            target: options.target,
            is_late: false,
        };
        match self.fronts[front].gate.offer(query, self.now) {
            GateDecision::Admit => self.start(id),
            GateDecision::Wait { until, outranked } => {
                self.events.add(until, FieldEvent::WaitOver { query: id });
                if let Some(outranked) = outranked {
                    self.refuse(usize::try_from(outranked).expect("a place"));
                }
            }
            GateDecision::Refuse(_) => self.refuse(id),
        }
    }

    fn draw_kind(&mut self) -> usize {
        let mut left = self.draws.unit();
        let kinds = &self.options.kinds;
        let found = kinds.iter().position(|kind| {
            left -= kind.part;
            left < 0.0
        });
        found.unwrap_or(0)
    }

    fn wait_over(&mut self, query: usize) {
        if self.queries[query].state != QueryState::Waiting {
            return;
        }
        let front = self.queries[query].front;
        self.fronts[front].gate.cancel(query as u64, self.now);
        self.refuse(query);
    }

    fn refuse(&mut self, query: usize) {
        let took = self.now.since(self.queries[query].arrived);
        self.queries[query].state = QueryState::Ended;
        let tally = FieldTally {
            asked: 1.0,
            refused: 1.0,
            slowest_refusal: took,
            ..FieldTally::default()
        };
        self.count(query, tally);
    }

    fn start(&mut self, query: usize) {
        self.queries[query].state = QueryState::Running;
        self.queries[query].started = self.now;
        for shard in 0..self.options.shards {
            self.send(query, shard);
        }
        let due = self.queries[query].arrived + self.kind(query).target;
        self.events.add(due, FieldEvent::Due { query });
    }

    /// Sends a part to the replica at which this front has fewest attempts out.
    fn send(&mut self, query: usize, shard: usize) {
        let front = self.queries[query].front;
        let draw = usize::from(self.draws.unit() < 0.5);
        let out = &mut self.fronts[front].out[shard];
        let replica = match out[0].cmp(&out[1]) {
            std::cmp::Ordering::Less => 0,
            std::cmp::Ordering::Equal => draw,
            std::cmp::Ordering::Greater => 1,
        };
        let tried = &mut self.queries[query].tried[shard];
        // One that refused is not asked again.
        let replica = tried.map_or(replica, |first| 1 - first);
        *tried = Some(replica);
        out[replica] += 1;
        self.events.add(
            self.now + WAY,
            FieldEvent::Reached {
                query,
                shard,
                replica,
            },
        );
    }

    fn reach(&mut self, query: usize, shard: usize, replica: usize) {
        let target = &mut self.shards[shard][replica];
        if target.busy == SLOTS && target.queue.len() == QUEUE {
            self.back(query, shard, replica, self.now, false);
            return;
        }
        target.queue.push_back((query, shard));
        self.start_work(shard, replica);
    }

    fn start_work(&mut self, shard: usize, replica: usize) {
        while self.shards[shard][replica].busy < SLOTS {
            let Some((query, _)) = self.shards[shard][replica].queue.pop_front() else {
                return;
            };
            // Work stops with the answer that it is for; what has waited for so long is not begun.
            let ends = self.queries[query].arrived + self.kind(query).target;
            if self.now >= ends {
                self.back(query, shard, replica, self.now, false);
                continue;
            }
            let done = self.now + self.work(query, shard);
            self.shards[shard][replica].busy += 1;
            let event = FieldEvent::WorkDone { shard, replica };
            self.events.add(done.min(ends), event);
            self.back(query, shard, replica, done.min(ends), done <= ends);
        }
    }

    fn work(&mut self, query: usize, shard: usize) -> TimeSpan {
        let mean = self.kind(query).work;
        let tail = if self.draws.unit() < 0.01 { 5.0 } else { 1.0 };
        let slow = self.options.slow;
        let slow = if shard < slow.0 { slow.1 } else { 1.0 };
        mean.mul_f64((0.5 + self.draws.unit()) * tail * slow)
    }

    fn back(
        &mut self,
        query: usize,
        shard: usize,
        replica: usize,
        time: TimePoint,
        is_answered: bool,
    ) {
        let front = self.queries[query].front;
        self.fronts[front].out[shard][replica] -= 1;
        let event = FieldEvent::Back {
            query,
            shard,
            is_answered,
        };
        self.events.add(time + WAY, event);
    }

    fn take(&mut self, query: usize, shard: usize, is_answered: bool) {
        if self.queries[query].state != QueryState::Running {
            return;
        }
        if is_answered {
            self.queries[query].present += 1;
            if self.queries[query].present == self.kind(query).least {
                self.end(query);
            }
        } else if !self.queries[query].retried[shard] {
            self.queries[query].retried[shard] = true;
            self.send(query, shard);
        }
    }

    fn end(&mut self, query: usize) {
        let known = &mut self.queries[query];
        if known.state != QueryState::Running {
            return;
        }
        known.state = QueryState::Ended;
        let (front, started, arrived) = (known.front, known.started, known.arrived);
        let kind = self.kind(query);
        let is_enough = self.queries[query].present >= kind.least;
        let need = if is_enough {
            let passed = self.now.since(started).as_secs_f64();
            QueryNeed::Met(passed / kind.target.as_secs_f64())
        } else {
            QueryNeed::Missed
        };
        let tally = FieldTally {
            asked: 1.0,
            in_time: f64::from(u8::from(is_enough && self.now.since(arrived) < kind.target)),
            ..FieldTally::default()
        };
        self.count(query, tally);
        if self.options.is_gated {
            let gate = &mut self.fronts[front].gate;
            gate.finished(self.now.since(started), need);
            while let Some(next) = self.fronts[front].gate.next_ready(self.now) {
                self.start(usize::try_from(next).expect("a place"));
            }
        }
    }

    fn kind(&self, query: usize) -> KindOptions {
        self.options.kinds[self.queries[query].kind]
    }

    fn count(&mut self, query: usize, tally: FieldTally) {
        let known = &self.queries[query];
        let second = known.arrived.as_micros() / ms(1_000).as_micros();
        self.tallies.push((known.kind, known.front, second, tally));
    }
}

impl FieldFront {
    fn new(shards: usize) -> Self {
        Self {
            gate: QueryGate::default(),
            out: vec![[0; 2]; shards],
        }
    }
}
