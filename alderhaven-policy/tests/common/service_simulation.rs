//! Simulation of entries with admission control in front of the queues of one service's shards.

use std::collections::BTreeMap;

use alderhaven_core::class::QueryClass;
use alderhaven_core::ids::{AttemptId, ServiceName, TeamId, TemplateName};
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::admission::{AdmissionGate, AdmissionOptions};
use alderhaven_policy::admit_decision::{AdmitDecision, AdmitRequest, AdmitTicket, ReadyQuery};
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_policy::relay_queue::{OfferOutcome, QueueJob, RelayQueue, RelayQueueOptions};
use alderhaven_policy::service_capacity::QueryReport;

use super::{EventQueue, SeededRng, ms};

/// A query that a caller sends.
#[derive(Clone)]
pub struct Call {
    pub time: TimePoint,
    pub team: &'static str,
    pub class: QueryClass,
    pub key: u64,
    /// The only shard that it queries, or `None` for all shards.
    pub shard: Option<usize>,
    /// Time until the query's deadline.
    pub time_limit: TimeSpan,
    /// Mean service time of one attempt.
    pub mean_service_time: TimeSpan,
}

/// What a caller received, and after which time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    Complete(TimeSpan),
    Incomplete(TimeSpan),
    Refused(TimeSpan),
}

/// Size of the simulated service.
pub struct ServiceShape {
    pub shards: usize,
    pub slots: u32,
    pub entries: usize,
    pub policy: PolicyKind,
}

struct OpenQuery {
    ticket: AdmitTicket,
    entry: usize,
    call: usize,
    pending: usize,
    waits: Vec<TimeSpan>,
    service_times: Vec<TimeSpan>,
    not_run: u32,
}

enum Step {
    Call(usize),
    End(usize, AttemptId, u64, TimeSpan),
    Deadline(u64),
    Wake,
}

/// State of one run.
pub struct ServiceSimulation<'a> {
    shape: ServiceShape,
    calls: &'a [Call],
    gates: Vec<AdmissionGate>,
    queues: Vec<RelayQueue>,
    open: BTreeMap<u64, OpenQuery>,
    waits: BTreeMap<AttemptId, TimeSpan>,
    pub outcomes: Vec<Option<CallOutcome>>,
    events: EventQueue<Step>,
    rng: SeededRng,
    next_wakeup: Option<TimePoint>,
    /// Number of attempts that the targets ran.
    pub ran: u64,
}

impl<'a> ServiceSimulation<'a> {
    pub fn new(shape: ServiceShape, calls: &'a [Call], seed: u64) -> Self {
        let mut gates = Vec::new();
        for entry in 0..shape.entries {
            let options = AdmissionOptions::default();
            let mut gate = AdmissionGate::new(shape.policy, options, seed + entry as u64);
            gate.set_entries(u32::try_from(shape.entries).unwrap(), TimePoint::START);
            let shards = u32::try_from(shape.shards).unwrap();
            gate.set_service(&service(), shards, shards * shape.slots);
            gates.push(gate);
        }
        let queue = || RelayQueue::new(shape.policy, RelayQueueOptions::default());
        Self {
            queues: (0..shape.shards).map(|_| queue()).collect(),
            shape,
            calls,
            gates,
            open: BTreeMap::new(),
            waits: BTreeMap::new(),
            outcomes: vec![None; calls.len()],
            events: EventQueue::new(),
            rng: SeededRng(seed),
            next_wakeup: None,
            ran: 0,
        }
    }

    /// Runs all calls to their end.
    pub fn run(mut self) -> Self {
        for (index, call) in self.calls.iter().enumerate() {
            self.events.add(call.time, Step::Call(index));
        }
        while let Some((now, step)) = self.events.next() {
            match step {
                Step::Call(index) => self.call(index, now),
                Step::End(shard, id, query, service) => {
                    self.queues[shard].record_finished(id, Some(service), now);
                    let wait = self.waits.remove(&id).unwrap_or_default();
                    self.record_answer(query, Some((wait, service)), now);
                    self.start(shard, now);
                }
                Step::Deadline(query) => self.give_up(query, now),
                Step::Wake => {}
            }
            self.process_ready(now);
        }
        self
    }

    fn call(&mut self, index: usize, now: TimePoint) {
        let call = &self.calls[index];
        let entry = index % self.shape.entries;
        let fan_out = call.shard.map_or(self.shape.shards, |_| 1);
        let request = AdmitRequest {
            id: index as u64,
            team: call.team.parse().unwrap(),
            service: service(),
            template: template(call),
            class: call.class,
            fan_out: u32::try_from(fan_out).unwrap(),
            key: call.key,
            deadline: now + call.time_limit,
        };
        match self.gates[entry].offer(request, now) {
            AdmitDecision::Admit(ticket) => self.scatter(entry, ticket, now),
            AdmitDecision::Queue => {}
            AdmitDecision::Refuse(_) => {
                self.outcomes[index] = Some(CallOutcome::Refused(TimeSpan::ZERO));
            }
        }
    }

    fn process_ready(&mut self, now: TimePoint) {
        for entry in 0..self.gates.len() {
            while let Some(ready) = self.gates[entry].next_ready(now) {
                match ready {
                    ReadyQuery::Admit(ticket) => self.scatter(entry, ticket, now),
                    ReadyQuery::Refuse { id, .. } => {
                        let index = usize::try_from(id).unwrap();
                        let after = now.since(self.calls[index].time);
                        self.outcomes[index] = Some(CallOutcome::Refused(after));
                    }
                }
            }
        }
        if self.next_wakeup.is_some_and(|wake| wake > now) {
            return;
        }
        for shard in 0..self.queues.len() {
            self.queues[shard].drop_expired(now);
            self.start(shard, now);
        }
        let wake = now + ms(1);
        self.next_wakeup = Some(wake);
        let is_busy = self.queues.iter().any(|queue| queue.waiting_count() > 0)
            || self.gates.iter().any(|gate| gate.next_expiry().is_some());
        if is_busy {
            self.events.add(wake, Step::Wake);
        }
    }

    fn scatter(&mut self, entry: usize, ticket: AdmitTicket, now: TimePoint) {
        let query = ticket.request.id;
        let index = usize::try_from(query).unwrap();
        let call = &self.calls[index];
        let shards: Vec<usize> = call
            .shard
            .map_or_else(|| (0..self.shape.shards).collect(), |shard| vec![shard]);
        let order = ticket.order_at.as_micros();
        let (class, deadline) = (ticket.class, ticket.request.deadline);
        let job_template = template(call);
        self.events.add(deadline, Step::Deadline(query));
        self.open.insert(
            query,
            OpenQuery {
                ticket,
                entry,
                call: index,
                pending: shards.len(),
                waits: Vec::new(),
                service_times: Vec::new(),
                not_run: 0,
            },
        );
        for shard in shards {
            let job = QueueJob {
                id: attempt_id(query, shard),
                class,
                order,
                template: job_template.clone(),
                deadline,
                is_hedge: false,
            };
            if let OfferOutcome::Refused(_) = self.queues[shard].offer(job, now, self.shape.slots) {
                self.record_answer(query, None, now);
            }
            self.start(shard, now);
        }
    }

    fn start(&mut self, shard: usize, now: TimePoint) {
        while let Some(started) = self.queues[shard].start_next(now, self.shape.slots) {
            let query = started.job.id.origin;
            let mean = self.calls[usize::try_from(query).unwrap()].mean_service_time;
            // Half of the service time is fixed, half is exponentially distributed.
            let service = mean.mul_f64(0.5) + self.rng.exponential(mean.mul_f64(0.5));
            self.waits.insert(started.job.id, started.waited);
            self.ran += 1;
            self.events.add(
                now + service,
                Step::End(shard, started.job.id, query, service),
            );
        }
        for dropped in self.queues[shard].take_dropped() {
            self.record_answer(dropped.id.origin, None, now);
        }
    }

    fn record_answer(&mut self, query: u64, reply: Option<(TimeSpan, TimeSpan)>, now: TimePoint) {
        let Some(open) = self.open.get_mut(&query) else {
            return;
        };
        match reply {
            Some((wait, service)) => {
                open.waits.push(wait);
                open.service_times.push(service);
            }
            None => open.not_run += 1,
        }
        open.pending -= 1;
        self.gates[open.entry].record_reply(&mut open.ticket);
        if open.pending == 0 {
            self.close(query, now);
        }
    }

    fn give_up(&mut self, query: u64, now: TimePoint) {
        if self.open.contains_key(&query) {
            for shard in 0..self.queues.len() {
                self.queues[shard].cancel(attempt_id(query, shard));
            }
            self.close(query, now);
        }
    }

    fn close(&mut self, query: u64, now: TimePoint) {
        let open = self.open.remove(&query).unwrap();
        let report = QueryReport {
            queue_wait: mean(&open.waits),
            service_time: mean(&open.service_times),
            attempts: open.ticket.request.fan_out,
            not_run: open.not_run,
        };
        self.gates[open.entry].record_finished(&open.ticket, report, now);
        let after = now.since(self.calls[open.call].time);
        let is_complete = open.pending == 0 && open.not_run == 0;
        self.outcomes[open.call] = Some(if is_complete {
            CallOutcome::Complete(after)
        } else {
            CallOutcome::Incomplete(after)
        });
    }

    /// Returns the current limit of each entry.
    pub fn limits(&self) -> Vec<f64> {
        self.gates
            .iter()
            .map(|gate| gate.service_load(&service()).unwrap().limit)
            .collect()
    }

    /// Summarizes the outcomes of the calls for which `matches` holds.
    pub fn summarize(&self, matches: impl Fn(&Call) -> bool) -> String {
        let (mut complete, mut incomplete, mut refused, mut late) = (0, 0, 0, 0);
        for outcome in self.outcomes_of(matches) {
            match outcome {
                CallOutcome::Complete(_) => complete += 1,
                CallOutcome::Incomplete(_) => incomplete += 1,
                CallOutcome::Refused(after) if after > ms(5) => late += 1,
                CallOutcome::Refused(_) => refused += 1,
            }
        }
        format!(
            "complete {complete} incomplete {incomplete} refused {refused} refused late {late}, limits {:?}",
            self.limits()
        )
    }

    /// Returns the latencies of the complete answers to the calls for which `matches` holds.
    pub fn latencies(&self, matches: impl Fn(&Call) -> bool) -> Vec<TimeSpan> {
        self.outcomes_of(matches)
            .filter_map(|outcome| match outcome {
                CallOutcome::Complete(after) => Some(after),
                _ => None,
            })
            .collect()
    }

    /// Returns the share of the calls that got a complete answer.
    pub fn complete_share(&self, matches: impl Fn(&Call) -> bool + Copy) -> f64 {
        let all = self.outcomes_of(matches).count();
        self.latencies(matches).len() as f64 / all.max(1) as f64
    }

    /// Iterates over the outcomes of the calls for which `matches` holds.
    pub fn outcomes_of(
        &self,
        matches: impl Fn(&Call) -> bool,
    ) -> impl Iterator<Item = CallOutcome> {
        self.calls
            .iter()
            .zip(&self.outcomes)
            .filter(move |(call, _)| matches(call))
            .map(|(_, outcome)| outcome.expect("every call has an outcome"))
    }
}

fn mean(spans: &[TimeSpan]) -> TimeSpan {
    let sum = spans.iter().fold(TimeSpan::ZERO, |sum, span| sum + *span);
    sum.mul_f64(1.0 / spans.len().max(1) as f64)
}

fn attempt_id(query: u64, shard: usize) -> AttemptId {
    AttemptId {
        origin: query,
        sequence: shard as u64,
    }
}

fn service() -> ServiceName {
    "stock".parse().unwrap()
}

fn template(call: &Call) -> TemplateName {
    format!("{}-{}", call.class, call.mean_service_time)
        .parse()
        .unwrap()
}

/// Draws calls of a Poisson process with a rate per second from `from` until `until`.
pub fn poisson(
    rng: &mut SeededRng,
    rate: f64,
    from: TimePoint,
    until: TimePoint,
    mut build: impl FnMut(&mut SeededRng, TimePoint) -> Call,
) -> Vec<Call> {
    let mut calls = Vec::new();
    let mut time = from;
    loop {
        time = time + rng.exponential(TimeSpan::from_secs(1).mul_f64(1.0 / rate));
        if time >= until {
            return calls;
        }
        calls.push(build(rng, time));
    }
}

/// Parses a team name.
pub fn team(name: &str) -> TeamId {
    name.parse().unwrap()
}
