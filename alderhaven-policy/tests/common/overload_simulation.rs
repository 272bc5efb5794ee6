//! Simulation of several fronts that query the same shards under overload.
//!
//! Some replicas are slow for a time, fronts learn separately, attempts are hedged, and refused
//! callers return once with less time left.

use std::collections::VecDeque;

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::answer_time::{AnswerStep, AnswerTime, ShardCount, usable_time};
use alderhaven_policy::caller_delay::CallerDelay;
use alderhaven_policy::concurrency_limit::QuerySignal;
use alderhaven_policy::hedge_timing::{HedgeTiming, attempt_deadline};
use alderhaven_policy::query_gate::{GateDecision, GateQuery, QueryGate};
use alderhaven_policy::query_rank::QueryRank;
use alderhaven_policy::repeat_budget::{RepeatBudget, RepeatOptions, RepeatReason};
use alderhaven_policy::replica_stats::{AttemptResult, ReplicaStats};

use super::{EventQueue, SeededRng, ms};

/// Network delay between a front and a target, in each direction.
const TARGET_DELAY: TimeSpan = TimeSpan::from_micros(500);
/// Network delay between a caller and a front, in each direction.
const CALLER_DELAY: TimeSpan = ms(1);
/// Time that a front reserves for sending its answer.
const ANSWER_RESERVE: TimeSpan = ms(3);
/// Attempts that wait at a replica before it refuses more.
const MAX_QUEUE_LENGTH: usize = 12;
/// Replicas that may run the same part.
const MAX_TRIED: u32 = 2;
/// Attempts that a replica runs at the same time.
const SLOTS: u32 = 2;
/// Repeats that each request to a shard allows.
const REPEAT_RATIO: f64 = 0.2;
/// Repeats of a shard that are allowed in each window without any requests, for all fronts together.
const FREE_REPEATS: f64 = 164.0;
/// Window of the repeat budget.
const REPEAT_WINDOW: TimeSpan = TimeSpan::from_secs(10);

/// One kind of query.
#[derive(Clone, Copy, Debug)]
pub struct OverloadKind {
    /// Rank in the admission queue; 0 is served first.
    pub rank: u32,
    /// Share of this kind among all queries.
    pub share: f64,
    /// Mean work per shard.
    pub mean_work: TimeSpan,
    /// Latency target, counted from the caller's first attempt.
    pub latency_target: TimeSpan,
    /// Share of the shards that makes an answer.
    pub min_coverage: f64,
    /// Time that the caller waits in all.
    pub timeout: TimeSpan,
}

/// Replicas that are slow for a time.
#[derive(Clone, Copy, Debug)]
pub struct SlowReplicas {
    /// Share of all replicas.
    pub share: f64,
    /// Factor on their work.
    pub factor: f64,
    /// Start and end.
    pub between: (TimePoint, TimePoint),
    /// Length of the alternating slow and normal times, if not slow throughout.
    pub period: Option<TimeSpan>,
}

/// Load and size of one run.
#[derive(Clone, Debug)]
pub struct OverloadOptions {
    /// Queries per second at each front, by phases that last until the given time.
    pub rates: Vec<(TimePoint, Vec<f64>)>,
    /// Number of shards.
    pub shards: usize,
    /// Replicas of each shard.
    pub replicas: usize,
    /// Kinds of queries.
    pub kinds: Vec<OverloadKind>,
    /// Slow replicas.
    pub slow: SlowReplicas,
    /// Time that an attempt holds its slot beyond its work.
    pub slot_overhead: TimeSpan,
    /// Shares of the demand by team, from team 1 on; empty without teams.
    pub teams: Vec<f64>,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Counts of callers whose query has ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct OverloadTally {
    /// All callers.
    pub total: f64,
    /// Answered within the latency target.
    pub in_time: f64,
    /// Answered later.
    pub late: f64,
    /// Refused and not served afterwards.
    pub refused: f64,
    /// Refused at least once.
    pub refused_once: f64,
    /// Refused again after the retry time.
    pub refused_twice: f64,
    /// Sum of the squared shares of shards in answers that were in time.
    pub worth: f64,
}

impl OverloadTally {
    /// Adds the counts of another tally.
    pub fn add(&mut self, other: &Self) {
        self.total += other.total;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.refused_once += other.refused_once;
        self.refused_twice += other.refused_twice;
        self.worth += other.worth;
    }
}

#[derive(Clone, Copy, Debug)]
enum OverloadEvent {
    Arrive {
        front: usize,
    },
    Offer {
        query: usize,
    },
    WaitOver {
        query: usize,
        attempt: u8,
    },
    AttemptArrived(Attempt),
    WorkDone {
        shard: usize,
        replica: usize,
    },
    Reply {
        attempt: Attempt,
        result: ReplyResult,
    },
    Hedge {
        query: usize,
        shard: usize,
    },
    Check {
        query: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReplyResult {
    Answered,
    /// The attempt ran until its deadline, or the deadline passed in the queue.
    TimedOut,
    /// The queue was full.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    query: usize,
    shard: usize,
    replica: usize,
    sent_at: TimePoint,
    deadline: TimePoint,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerState {
    Waiting,
    Running,
    Ended,
}

#[derive(Clone, Copy, Debug, Default)]
struct PartState {
    is_answered: bool,
    open: u8,
    /// Bits of the replicas that were tried.
    tried: u32,
    /// Attempts that a replica refused.
    refused: u32,
}

#[derive(Debug)]
struct CallerQuery {
    front: usize,
    kind: usize,
    team: u64,
    first_sent_at: TimePoint,
    arrived_at: TimePoint,
    started_at: TimePoint,
    refusals: u8,
    state: CallerState,
    answer_time: AnswerTime,
    covered_at: Option<TimePoint>,
    parts: Vec<PartState>,
    gate_query: Option<GateQuery>,
}

#[derive(Debug, Default)]
struct Replica {
    is_slow: bool,
    busy: u32,
    queue: VecDeque<Attempt>,
}

struct Front {
    gate: QueryGate,
    stats: Vec<Vec<ReplicaStats>>,
    /// Budgets of the shards.
    budgets: Vec<RepeatBudget>,
    /// Share of the free repeats.
    repeat_share: f64,
    /// Recent attempt latencies by kind.
    latencies: Vec<VecDeque<TimeSpan>>,
    typical: Vec<(TimeSpan, TimeSpan)>,
}

/// State of one run.
pub struct OverloadSimulation {
    options: OverloadOptions,
    rng: SeededRng,
    now: TimePoint,
    events: EventQueue<OverloadEvent>,
    queries: Vec<CallerQuery>,
    shards: Vec<Vec<Replica>>,
    fronts: Vec<Front>,
    tallies: Vec<(usize, u64, TimePoint, OverloadTally)>,
}

impl OverloadSimulation {
    /// Runs a load to its end.
    pub fn run(options: OverloadOptions) -> Self {
        let mut rng = SeededRng(options.seed);
        let mut new_replica = |_| Replica {
            is_slow: rng.unit() < options.slow.share,
            ..Replica::default()
        };
        let shards = (0..options.shards)
            .map(|_| (0..options.replicas).map(&mut new_replica).collect())
            .collect();
        let front_count = options.rates[0].1.len();
        let mut simulation = Self {
            fronts: (0..front_count).map(|_| Front::new(&options)).collect(),
            rng,
            options,
            now: TimePoint::START,
            events: EventQueue::new(),
            queries: Vec::new(),
            shards,
            tallies: Vec::new(),
        };
        for front in 0..front_count {
            simulation.plan_arrival(front);
        }
        while let Some((time, event)) = simulation.events.next() {
            simulation.now = time;
            simulation.handle(event);
        }
        simulation
    }

    /// Sums the counts whose kind, team and time of the first attempt match.
    pub fn tally(&self, matches: impl Fn(usize, u64, TimePoint) -> bool) -> OverloadTally {
        let mut sum = OverloadTally::default();
        for (kind, team, time, tally) in &self.tallies {
            if matches(*kind, *team, *time) {
                sum.add(tally);
            }
        }
        sum
    }

    fn handle(&mut self, event: OverloadEvent) {
        match event {
            OverloadEvent::Arrive { front } => self.arrive(front),
            OverloadEvent::Offer { query } => self.offer(query),
            OverloadEvent::WaitOver { query, attempt } => self.end_wait(query, attempt),
            OverloadEvent::AttemptArrived(attempt) => self.receive_attempt(attempt),
            OverloadEvent::WorkDone { shard, replica } => {
                self.shards[shard][replica].busy -= 1;
                self.start_work(shard, replica);
            }
            OverloadEvent::Reply { attempt, result } => self.receive_reply(attempt, result),
            OverloadEvent::Hedge { query, shard } => {
                let simulated = &self.queries[query];
                if simulated.state == CallerState::Running && !simulated.parts[shard].is_answered {
                    self.repeat(query, shard, RepeatReason::Hedge);
                }
            }
            OverloadEvent::Check { query } => self.check(query),
        }
    }

    fn plan_arrival(&mut self, front: usize) {
        let now = self.now;
        let phase = self.options.rates.iter().find(|(until, _)| now < *until);
        if let Some((_, rates)) = phase {
            let mean = TimeSpan::from_secs(1).mul_f64(1.0 / rates[front].max(0.01));
            let gap = self.rng.exponential(mean);
            self.events.add(now + gap, OverloadEvent::Arrive { front });
        }
    }

    fn arrive(&mut self, front: usize) {
        self.plan_arrival(front);
        let kind_shares: Vec<f64> = self.options.kinds.iter().map(|kind| kind.share).collect();
        let kind = draw(&mut self.rng, &kind_shares);
        let team = match self.options.teams.len() {
            0 => 0,
            _ => 1 + draw(&mut self.rng, &self.options.teams) as u64,
        };
        let now = self.now;
        self.queries.push(CallerQuery {
            front,
            kind,
            team,
            first_sent_at: now,
            arrived_at: now,
            started_at: now,
            refusals: 0,
            state: CallerState::Waiting,
            answer_time: AnswerTime::new(now, TimeSpan::ZERO, TimeSpan::ZERO, TimeSpan::ZERO),
            covered_at: None,
            parts: Vec::new(),
            gate_query: None,
        });
        let query = self.queries.len() - 1;
        self.events
            .add(now + CALLER_DELAY, OverloadEvent::Offer { query });
    }

    fn offer(&mut self, id: usize) {
        let kind = self.kind(id);
        let simulated = &mut self.queries[id];
        simulated.arrived_at = self.now;
        let waited = self
            .now
            .since(simulated.first_sent_at)
            .saturating_sub(CALLER_DELAY);
        let delay = CallerDelay(waited);
        simulated.answer_time = AnswerTime::new(
            self.now,
            kind.latency_target,
            ANSWER_RESERVE + delay.consumed_time(kind.latency_target),
            kind.timeout.saturating_sub(waited + CALLER_DELAY),
        );
        let query = GateQuery {
            id: id as u64,
            rank: QueryRank::of_route(kind.rank),
            latency_target: kind.latency_target,
            team: simulated.team,
            work: self.fronts[simulated.front].typical[simulated.kind].0,
            is_late: delay.is_late(kind.latency_target),
        };
        simulated.gate_query = Some(query);
        let (front, refusals) = (simulated.front, simulated.refusals);
        match self.fronts[front].gate.offer(query, self.now) {
            GateDecision::Admit => self.start(id),
            GateDecision::Wait { until, outranked } => {
                let event = OverloadEvent::WaitOver {
                    query: id,
                    attempt: refusals,
                };
                self.events.add(until, event);
                if let Some(outranked) = outranked {
                    let refusal = self.fronts[front].gate.outranked_refusal(self.now);
                    self.refuse(index(outranked), refusal.retry_after);
                }
            }
            GateDecision::Refuse(refusal) => self.refuse(id, refusal.retry_after),
        }
    }

    fn end_wait(&mut self, query: usize, attempt: u8) {
        let simulated = &self.queries[query];
        if simulated.state == CallerState::Waiting && simulated.refusals == attempt {
            let gate = &mut self.fronts[simulated.front].gate;
            let refusal = gate.cancel(query as u64, self.now);
            self.refuse(query, refusal.retry_after);
        }
    }

    /// Sends the caller back after the retry time, at most a third of the time it has left.
    fn refuse(&mut self, query: usize, retry_after: TimeSpan) {
        let jitter = 0.5 + self.rng.unit();
        let timeout = self.kind(query).timeout;
        let simulated = &mut self.queries[query];
        simulated.refusals += 1;
        if simulated.refusals > 1 {
            self.record(query, |tally| tally.refused = 1.0);
            return;
        }
        let left = timeout.saturating_sub(self.now.since(simulated.first_sent_at));
        let pause = retry_after.mul_f64(jitter).min(left.mul_f64(1.0 / 3.0));
        let returns_at = self.now + CALLER_DELAY + pause + CALLER_DELAY;
        self.events.add(returns_at, OverloadEvent::Offer { query });
    }

    fn start(&mut self, query: usize) {
        let (shards, now) = (self.options.shards, self.now);
        let simulated = &mut self.queries[query];
        simulated.state = CallerState::Running;
        simulated.started_at = now;
        simulated.parts = vec![PartState::default(); shards];
        let (front, kind, answer_time) = (simulated.front, simulated.kind, simulated.answer_time);
        for shard in 0..shards {
            self.send(query, shard);
        }
        let front = &mut self.fronts[front];
        for budget in &mut front.budgets {
            budget.record_request(now);
        }
        let (typical_latency, late_threshold) = front.typical[kind];
        let timing = HedgeTiming {
            answer_at: answer_time.partial_at,
            typical_latency,
            late_threshold,
        };
        for shard in 0..shards {
            self.events
                .add(timing.hedge_at(now), OverloadEvent::Hedge { query, shard });
        }
        for time in [answer_time.partial_at, answer_time.deadline] {
            self.events
                .add(time.max(now), OverloadEvent::Check { query });
        }
    }

    /// Sends an attempt to the replica with the lowest expected cost that was not tried.
    fn send(&mut self, query: usize, shard: usize) -> bool {
        let kind = self.kind(query);
        let offset = index(self.rng.next() % self.options.replicas as u64);
        let now = self.now;
        let simulated = &mut self.queries[query];
        let front = &mut self.fronts[simulated.front];
        let (typical, _) = front.typical[simulated.kind];
        let part = &mut simulated.parts[shard];
        let replicas = (0..self.options.replicas).map(|nth| (nth + offset) % self.options.replicas);
        let replica = replicas
            .filter(|replica| part.tried & (1 << replica) == 0)
            .min_by_key(|replica| front.stats[shard][*replica].expected_cost(typical, SLOTS, now));
        let Some(replica) = replica else {
            return false;
        };
        part.tried |= 1 << replica;
        part.open += 1;
        front.stats[shard][replica].begin_attempt(now);
        let attempt = Attempt {
            query,
            shard,
            replica,
            sent_at: now,
            deadline: attempt_deadline(&simulated.answer_time, kind.latency_target, now),
        };
        let event = OverloadEvent::AttemptArrived(attempt);
        self.events.add(now + TARGET_DELAY, event);
        true
    }

    /// Sends the shard to one more replica if the budget allows it.
    fn repeat(&mut self, query: usize, shard: usize, reason: RepeatReason) {
        let simulated = &self.queries[query];
        let part = simulated.parts[shard];
        if part.counted_replicas() >= MAX_TRIED
            || self.now >= simulated.answer_time.deadline
            || (reason == RepeatReason::Hedge && !self.is_hedge_worthwhile(query, shard))
        {
            return;
        }
        let front = &mut self.fronts[simulated.front];
        if front.budgets[shard].take(reason, front.repeat_share, self.now) {
            self.send(query, shard);
        }
    }

    fn is_hedge_worthwhile(&self, query: usize, shard: usize) -> bool {
        let simulated = &self.queries[query];
        let front = &self.fronts[simulated.front];
        let (typical_latency, late_threshold) = front.typical[simulated.kind];
        let timing = HedgeTiming {
            answer_at: simulated.answer_time.partial_at,
            typical_latency,
            late_threshold,
        };
        let part = simulated.parts[shard];
        let others = (0..self.options.replicas).filter(|replica| part.tried & (1 << replica) == 0);
        others
            .map(|replica| {
                front.stats[shard][replica].expected_cost(typical_latency, SLOTS, self.now)
            })
            .min()
            .is_some_and(|cost| timing.is_worthwhile(cost, self.now))
    }

    fn receive_attempt(&mut self, attempt: Attempt) {
        let replica = &mut self.shards[attempt.shard][attempt.replica];
        if replica.busy == SLOTS && replica.queue.len() >= MAX_QUEUE_LENGTH {
            self.reply(attempt, self.now, ReplyResult::Refused);
            return;
        }
        replica.queue.push_back(attempt);
        self.start_work(attempt.shard, attempt.replica);
    }

    fn start_work(&mut self, shard: usize, replica: usize) {
        while self.shards[shard][replica].busy < SLOTS {
            let Some(attempt) = self.shards[shard][replica].queue.pop_front() else {
                return;
            };
            if self.now >= attempt.deadline {
                self.reply(attempt, self.now, ReplyResult::TimedOut);
                continue;
            }
            let done = self.now + self.draw_work(attempt);
            let end = done.min(attempt.deadline);
            self.shards[shard][replica].busy += 1;
            self.events
                .add(end, OverloadEvent::WorkDone { shard, replica });
            let result = if done <= attempt.deadline {
                ReplyResult::Answered
            } else {
                ReplyResult::TimedOut
            };
            self.reply(attempt, end, result);
        }
    }

    fn draw_work(&mut self, attempt: Attempt) -> TimeSpan {
        let mean = self.kind(attempt.query).mean_work;
        let tail = if self.rng.unit() < 0.01 { 5.0 } else { 1.0 };
        let is_slow = self.shards[attempt.shard][attempt.replica].is_slow && self.is_slow_now();
        let slow = if is_slow {
            self.options.slow.factor
        } else {
            1.0
        };
        mean.mul_f64((0.5 + self.rng.unit()) * tail * slow) + self.options.slot_overhead
    }

    fn is_slow_now(&self) -> bool {
        let SlowReplicas {
            between, period, ..
        } = self.options.slow;
        let is_within = self.now >= between.0 && self.now < between.1;
        let is_on = period.is_none_or(|period| {
            (self.now.since(between.0).as_micros() / period.as_micros()).is_multiple_of(2)
        });
        is_within && is_on
    }

    fn reply(&mut self, attempt: Attempt, time: TimePoint, result: ReplyResult) {
        let event = OverloadEvent::Reply { attempt, result };
        self.events.add(time + TARGET_DELAY, event);
    }

    fn receive_reply(&mut self, attempt: Attempt, reply: ReplyResult) {
        let Attempt {
            query,
            shard,
            replica,
            sent_at,
            ..
        } = attempt;
        let (front, kind) = (self.queries[query].front, self.queries[query].kind);
        let front = &mut self.fronts[front];
        let is_answered = reply == ReplyResult::Answered;
        let result = match reply {
            ReplyResult::Answered => AttemptResult::Answered,
            ReplyResult::TimedOut => AttemptResult::Cancelled,
            ReplyResult::Refused => AttemptResult::Failed,
        };
        let typical = front.typical[kind].0;
        front.stats[shard][replica].end_attempt(sent_at, typical, result, self.now);
        if is_answered {
            front.record_latency(kind, self.now.since(sent_at));
        }
        let simulated = &mut self.queries[query];
        if simulated.state != CallerState::Running {
            return;
        }
        let part = &mut simulated.parts[shard];
        part.open -= 1;
        part.is_answered |= is_answered;
        part.refused += u32::from(reply == ReplyResult::Refused);
        if !part.is_answered && part.open == 0 {
            self.repeat(query, shard, RepeatReason::Retry);
        }
        self.check(query);
    }

    fn check(&mut self, query: usize) {
        let kind = self.kind(query);
        let simulated = &mut self.queries[query];
        if simulated.state != CallerState::Running {
            return;
        }
        let count = simulated.count(kind.min_coverage);
        if count.answered >= count.required {
            simulated.covered_at.get_or_insert(self.now);
        }
        match simulated.answer_time.decide(count, self.now) {
            AnswerStep::Wait(_) => {}
            AnswerStep::Answer => self.finish(query, count, true),
            AnswerStep::GiveUp | AnswerStep::TimeUp => self.finish(query, count, false),
        }
    }

    fn finish(&mut self, query: usize, count: ShardCount, is_answer: bool) {
        let kind = self.kind(query);
        let simulated = &self.queries[query];
        let front = simulated.front;
        let took = (self.now + CALLER_DELAY).since(simulated.first_sent_at);
        let run_time = self.now.since(simulated.started_at);
        let signal = simulated.covered_at.map_or(QuerySignal::TimedOut, |time| {
            let elapsed = time.since(simulated.started_at).as_secs_f64();
            let usable = usable_time(kind.latency_target, ANSWER_RESERVE);
            QuerySignal::EnoughShards(elapsed / usable.as_secs_f64())
        });
        let gate_query = simulated.gate_query.expect("an offered query");
        let coverage = count.answered as f64 / count.total as f64;
        self.record(query, |tally| {
            if is_answer && took <= kind.latency_target {
                tally.in_time = 1.0;
                tally.worth = coverage * coverage;
            } else if is_answer {
                tally.late = 1.0;
            }
        });
        self.fronts[front]
            .gate
            .record_finished(&gate_query, run_time, signal);
        while let Some(next) = self.fronts[front].gate.next_ready(self.now) {
            self.start(index(next));
        }
    }

    fn record(&mut self, query: usize, set: impl FnOnce(&mut OverloadTally)) {
        let simulated = &mut self.queries[query];
        simulated.state = CallerState::Ended;
        let mut tally = OverloadTally {
            total: 1.0,
            refused_once: f64::from(u8::from(simulated.refusals > 0)),
            refused_twice: f64::from(u8::from(simulated.refusals > 1)),
            ..OverloadTally::default()
        };
        set(&mut tally);
        let time = simulated.first_sent_at;
        self.tallies
            .push((simulated.kind, simulated.team, time, tally));
    }

    fn kind(&self, query: usize) -> OverloadKind {
        self.options.kinds[self.queries[query].kind]
    }
}

impl PartState {
    /// Returns the number of replicas that may have run the part.
    const fn counted_replicas(&self) -> u32 {
        self.tried.count_ones() - self.refused
    }
}

impl CallerQuery {
    fn count(&self, min_coverage: f64) -> ShardCount {
        let total = self.parts.len();
        let pending = |part: &&PartState| !part.is_answered && part.open > 0;
        ShardCount {
            total,
            answered: self.parts.iter().filter(|part| part.is_answered).count(),
            pending: self.parts.iter().filter(pending).count(),
            required: required_shards(total, min_coverage),
        }
    }
}

impl Front {
    fn new(options: &OverloadOptions) -> Self {
        let typical = |kind: &OverloadKind| (kind.mean_work, kind.mean_work.mul_f64(2.0));
        let repeat_options = RepeatOptions {
            ratio: REPEAT_RATIO,
            free_per_window: FREE_REPEATS,
            window: REPEAT_WINDOW,
        };
        Self {
            gate: QueryGate::default(),
            stats: vec![vec![ReplicaStats::default(); options.replicas]; options.shards],
            budgets: vec![RepeatBudget::new(repeat_options); options.shards],
            repeat_share: 1.0 / options.rates[0].1.len() as f64,
            latencies: vec![VecDeque::new(); options.kinds.len()],
            typical: options.kinds.iter().map(typical).collect(),
        }
    }

    /// Updates the median and the 95th percentile once in a while.
    fn record_latency(&mut self, kind: usize, latency: TimeSpan) {
        let recent = &mut self.latencies[kind];
        recent.push_back(latency);
        if recent.len() >= 300 {
            let mut sorted: Vec<TimeSpan> = recent.drain(..).collect();
            self.typical[kind] = (
                super::quantile(&mut sorted, 0.5),
                super::quantile(&mut sorted, 0.95),
            );
        }
    }
}

fn required_shards(total: usize, min_coverage: f64) -> usize {
    (1..=total)
        .find(|count| *count as f64 >= total as f64 * min_coverage - 1e-9)
        .unwrap_or(total)
}

fn draw(rng: &mut SeededRng, shares: &[f64]) -> usize {
    let mut remaining = rng.unit() * shares.iter().sum::<f64>();
    let found = shares.iter().position(|share| {
        remaining -= share;
        remaining < 0.0
    });
    found.unwrap_or(0)
}

fn index(id: u64) -> usize {
    usize::try_from(id).expect("valid query index")
}
