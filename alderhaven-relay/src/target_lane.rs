//! The lane to one target: its queue, its limit and the attempts that run there.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use alderhaven_core::ids::{AttemptId, FailureDomain, TargetId};
use alderhaven_core::manifest::MAX_SLOTS;
use alderhaven_core::outcome::{AttemptOutcome, NotRunReason};
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_peer::frames::{AttemptReply, ReplyStatus};
use alderhaven_peer::strike_tracker::StrikeTracker;
use alderhaven_policy::crash_strike::TargetCrash;
use alderhaven_policy::query_gather;
use alderhaven_policy::relay_queue::{OfferOutcome, RelayQueue};
use alderhaven_policy::target_limit::{AttemptSignal, TargetLimit};
use alderhaven_store::target_watch::TargetWatch;
use tokio::sync::Notify;
use tokio::time;

use crate::crash_watch::CrashWatch;
use crate::lane_attempt::LaneAttempt;
use crate::lane_options::LaneOptions;
use crate::metrics::AttemptCounters;
use crate::target_call;
use crate::target_call::{CallPace, CallVerdict, ConnectionLoss};
use crate::target_connections::{PathReport, TargetConnections};

/// A `TargetLane` orders and runs the attempts at one target.
#[derive(Debug)]
pub struct TargetLane {
    shared: LaneShared,
    authority: String,
    state: Mutex<LaneState>,
    /// The number of waiting attempts, readable without the lock.
    waiting: AtomicUsize,
}

/// A `LaneShared` is what a lane is given by its relay.
#[derive(Debug)]
pub struct LaneShared {
    /// The target.
    pub target: TargetId,
    /// The target's failure domain.
    pub domain: FailureDomain,
    /// The connections to the target.
    pub connections: TargetConnections,
    /// The clock of all lanes.
    pub clock: ProcessClock,
    /// The counts of attempts.
    pub counters: AttemptCounters,
    /// The targets that get no new work.
    pub watch: TargetWatch,
    /// What is known of requests that crash targets.
    pub strikes: Arc<StrikeTracker>,
}

#[derive(Debug)]
struct LaneState {
    queue: RelayQueue,
    limit: TargetLimit,
    slots: u32,
    waiting: HashMap<AttemptId, LaneAttempt>,
    running: HashMap<AttemptId, Arc<Notify>>,
    /// A suspect that has a slot and waits until nothing else runs at the target.
    held: Option<ReadyAttempt>,
    /// Whether a suspect runs, with which nothing else is started.
    is_reserved: bool,
    crash: CrashWatch,
}

/// A `LaneReport` is the state of a lane for the dump.
#[derive(Clone, Debug, serde::Serialize)]
pub struct LaneReport {
    /// The target's address.
    pub address: String,
    /// The attempts that wait.
    pub queued: usize,
    /// The attempts at the target.
    pub in_flight: usize,
    /// The most attempts at the target at a time, as adapted.
    pub limit: u32,
    /// The idle connections.
    pub idle_connections: usize,
    /// What is believed of the connections.
    pub path: PathReport,
    /// Whether the target gets no new work.
    pub draining: bool,
}

/// What becomes of the attempt that is next.
enum NextAttempt {
    Run(ReadyAttempt),
    Refuse(LaneAttempt, NotRunReason),
}

/// An attempt that was given a slot, with the means to cancel it.
#[derive(Debug)]
struct ReadyAttempt {
    attempt: LaneAttempt,
    cancelled: Arc<Notify>,
    waited: TimeSpan,
    expected: TimeSpan,
}

impl TargetLane {
    /// Returns a lane to a target with this many declared slots.
    #[must_use]
    pub fn new(shared: LaneShared, slots: u32, options: &LaneOptions) -> Self {
        let slots = slots.clamp(1, MAX_SLOTS);
        Self {
            authority: shared.connections.address().to_string(),
            shared,
            state: Mutex::new(LaneState {
                queue: RelayQueue::new(options.policy, options.queue.clone()),
                limit: TargetLimit::new(options.policy, options.limit.clone(), slots),
                slots,
                waiting: HashMap::new(),
                running: HashMap::new(),
                held: None,
                is_reserved: false,
                crash: CrashWatch::default(),
            }),
            waiting: AtomicUsize::new(0),
        }
    }

    /// Gets the target's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.shared.connections.address()
    }

    /// Takes an attempt: it is run, queued or refused at once.
    pub fn offer(self: &Arc<Self>, attempt: LaneAttempt) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let refusal = if self.is_leaving() {
            Some(self.leaving_reason())
        } else if self.is_refused(&attempt) {
            Some(NotRunReason::Quarantined)
        } else {
            let slots = state.limit.limit(now);
            match state.queue.offer(attempt.job(), now, slots) {
                OfferOutcome::Queued => None,
                OfferOutcome::Refused(reason) => Some(reason),
            }
        };
        if let Some(reason) = refusal {
            let wait = state.wait_of(&attempt, now);
            drop(state);
            self.answer_not_run(&attempt, reason, wait);
            return;
        }
        state.waiting.insert(attempt.id(), attempt);
        drop(state);
        self.run_ready();
    }

    /// Drops an attempt whose answer is no longer wanted; one at the target is cancelled there.
    pub fn cancel(self: &Arc<Self>, id: AttemptId) {
        let mut state = self.lock();
        if let Some(cancelled) = state.running.get(&id) {
            cancelled.notify_one();
            return;
        }
        if let Some(held) = state.take_held(id, self.shared.clock.now()) {
            drop(state);
            self.answer_not_run(&held, NotRunReason::Cancelled, TimeSpan::ZERO);
            self.run_ready();
            return;
        }
        if state.queue.cancel(id)
            && let Some(attempt) = state.waiting.remove(&id)
        {
            drop(state);
            self.answer_not_run(&attempt, NotRunReason::Cancelled, TimeSpan::ZERO);
            self.run_ready();
        }
    }

    /// Answers the waiting attempts whose time is up.
    pub fn expire(self: &Arc<Self>) {
        if self.waiting.load(Ordering::Relaxed) > 0 {
            self.run_ready();
        }
    }

    /// Makes connections ahead of the first attempts, as many as the target has slots.
    pub async fn warm(&self) {
        let slots = self.lock().slots as usize;
        while self.shared.connections.idle_count() < slots {
            let Ok(new) = self.shared.connections.connect().await else {
                return;
            };
            self.shared.connections.give_back(new.sender);
        }
    }

    /// Gets the number of attempts that wait or are at the target.
    #[must_use]
    pub fn unfinished(&self) -> usize {
        let state = self.lock();
        state.queue.waiting_count() + state.queue.running_count()
    }

    /// Gets the lane's state for the dump.
    #[must_use]
    pub fn report(&self) -> LaneReport {
        let now = self.shared.clock.now();
        let state = self.lock();
        LaneReport {
            address: self.authority.clone(),
            queued: state.queue.waiting_count(),
            in_flight: state.queue.running_count(),
            limit: state.limit.limit(now),
            idle_connections: self.shared.connections.idle_count(),
            path: self.shared.connections.report(),
            draining: self.is_leaving(),
        }
    }

    /// Returns true where the target leaves: by its own word, the host list's or an operator's.
    fn is_leaving(&self) -> bool {
        self.shared.watch.is_leaving(self.shared.target.as_str())
    }

    /// Returns true where the request is refused because it crashed targets.
    fn is_refused(&self, attempt: &LaneAttempt) -> bool {
        self.shared
            .strikes
            .refused_for(&attempt.fingerprint)
            .is_some()
    }

    /// Gets the reason with which attempts at a leaving target are refused.
    ///
    /// The target's own word is passed on, or each entry would go on to send a part of its attempts
    /// here and use up its retries. What the host list or an operator says an entry hears itself,
    /// also when it is taken back: passed on as the target's word it would be held on to.
    fn leaving_reason(&self) -> NotRunReason {
        if self.shared.watch.has_reported_drain(&self.shared.target) {
            NotRunReason::Draining
        } else {
            NotRunReason::NoRoute
        }
    }

    fn lock(&self) -> MutexGuard<'_, LaneState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts queued attempts while the limit allows it and answers those that were dropped.
    fn run_ready(self: &Arc<Self>) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let mut ready = Vec::new();
        if self.is_leaving() {
            state.queue.drop_all(self.leaving_reason());
        }
        let mut refused = Vec::new();
        while let Some(next) = state.start_next(now, &self.shared.strikes) {
            match next {
                NextAttempt::Run(attempt) => ready.push(attempt),
                NextAttempt::Refuse(attempt, reason) => refused.push((attempt, reason)),
            }
        }
        let mut dropped = state.take_dropped();
        dropped.append(&mut refused);
        let waits: Vec<TimeSpan> = dropped
            .iter()
            .map(|(attempt, _)| state.wait_of(attempt, now))
            .collect();
        self.waiting
            .store(state.queue.waiting_count(), Ordering::Relaxed);
        drop(state);
        for ((attempt, reason), wait) in dropped.into_iter().zip(waits) {
            self.answer_not_run(&attempt, reason, wait);
        }
        for attempt in ready {
            let lane = Arc::clone(self);
            tokio::spawn(async move {
                lane.run(attempt).await;
                lane.run_ready();
            });
        }
    }

    async fn run(&self, mut ready: ReadyAttempt) {
        let started = self.shared.clock.now();
        let attempt = &mut ready.attempt;
        attempt.request.remaining = attempt.remaining(started);
        let pace = CallPace {
            expected: ready.expected,
            is_idempotent: attempt.is_idempotent,
        };
        let verdict = self.call_target(attempt, pace, &ready.cancelled).await;
        self.shared.counters.observe(verdict.outcome);
        self.look_for_crash(attempt, &verdict).await;
        let now = self.shared.clock.now();
        let service = now.since(verdict.resent_at.unwrap_or(started));
        let wait = self.note_finished(attempt, &verdict, service, ready.expected, now);
        let reply = AttemptReply {
            sequence: attempt.id().sequence,
            status: ReplyStatus::from(verdict.outcome).into(),
            rows: verdict.rows,
            snapshot: attempt.request.snapshot.0,
            version: attempt.request.version.0,
            queued_us: ready.waited.as_micros(),
            service_us: service.as_micros(),
            wait_us: wait.as_micros(),
            ran: !query_gather::is_not_run(verdict.outcome),
            path_lost: verdict.loss == Some(ConnectionLoss::Silent),
        };
        attempt.reply(reply);
    }

    /// Tells everyone of a crash where the target's process died with the attempt in flight, before
    /// the attempt is answered and retried.
    async fn look_for_crash(&self, attempt: &LaneAttempt, verdict: &CallVerdict) {
        let shared = &self.shared;
        if verdict.found_silence {
            shared.counters.silent.inc();
        }
        match verdict.loss {
            Some(ConnectionLoss::Closed) => {}
            Some(ConnectionLoss::Silent) => return,
            None => {
                if verdict.outcome == AttemptOutcome::Answered {
                    let answered = attempt.request.shard;
                    shared.strikes.record_answer(&attempt.fingerprint, answered);
                }
                return;
            }
        }
        let incident = self.lock().crash.lost(attempt.id(), rand::random());
        if !Box::pin(shared.connections.is_process_dead()).await {
            return;
        }
        let is_new = shared.strikes.record_crash(&TargetCrash {
            id: incident.number,
            target: shared.target.clone(),
            domain: shared.domain.clone(),
            in_flight: incident.in_flight,
        });
        if is_new {
            shared.counters.crashes.inc();
        }
    }

    /// Calls the target until it replies or the attempt's time is up.
    async fn call_target(
        &self,
        attempt: &LaneAttempt,
        pace: CallPace,
        cancelled: &Notify,
    ) -> CallVerdict {
        let connections = &self.shared.connections;
        let call = target_call::run(connections, &self.authority, &attempt.request, pace);
        let deadline = self.shared.clock.instant(attempt.deadline);
        let bounded = time::timeout_at(deadline.into(), call);
        tokio::pin!(bounded);
        let replied = tokio::select! {
            replied = &mut bounded => replied,
            () = cancelled.notified() => {
                // The target is asked to drop the attempt; its slot is free once it has replied.
                let connections = &self.shared.connections;
                Box::pin(target_call::cancel(connections, &self.authority, &attempt.request)).await;
                bounded.await
            }
        };
        replied.unwrap_or_else(|_| CallVerdict::without_reply(AttemptOutcome::Unknown))
    }

    /// Frees the attempt's slot, learns from its verdict and returns the wait of the next one.
    fn note_finished(
        &self,
        attempt: &LaneAttempt,
        verdict: &CallVerdict,
        service: TimeSpan,
        expected: TimeSpan,
        now: TimePoint,
    ) -> TimeSpan {
        let mut state = self.lock();
        state.running.remove(&attempt.id());
        state.crash.ended(attempt.id());
        if state.running.is_empty() {
            state.is_reserved = false;
        }
        let has_run = verdict.outcome == AttemptOutcome::Answered;
        let measured = has_run.then_some(service);
        state.queue.record_finished(attempt.id(), measured, now);
        let signal = match verdict.outcome {
            AttemptOutcome::Answered => AttemptSignal::Ran {
                service_time: service,
                expected_service_time: expected,
            },
            AttemptOutcome::NotRun(NotRunReason::Shed) => AttemptSignal::Shed,
            AttemptOutcome::NotRun(_)
            | AttemptOutcome::Failed
            | AttemptOutcome::VersionGone
            | AttemptOutcome::Unknown => AttemptSignal::Uninformative,
        };
        state.limit.record_finished(signal, now);
        if let Some(free) = verdict.free_slots {
            let used = state.slots.saturating_sub(free);
            state.limit.record_report(used, now);
        }
        if verdict.is_draining {
            self.shared.watch.record_draining_reply(&self.shared.target);
            state.queue.drop_all(NotRunReason::Draining);
        }
        state.wait_of(attempt, now)
    }

    /// Answers an attempt that certainly did not run.
    fn answer_not_run(&self, attempt: &LaneAttempt, reason: NotRunReason, wait: TimeSpan) {
        let outcome = AttemptOutcome::NotRun(reason);
        self.shared.counters.observe(outcome);
        attempt.reply(AttemptReply {
            sequence: attempt.id().sequence,
            status: ReplyStatus::from(outcome).into(),
            queued_us: self.shared.clock.now().since(attempt.arrived).as_micros(),
            wait_us: wait.as_micros(),
            ..AttemptReply::default()
        });
    }
}

impl LaneState {
    /// Gives a slot to the next attempt, if one is free.
    ///
    /// A suspect runs with nothing else at the target: if that crashes, the cause is known, and the
    /// requests that were beside it at the first crash are cleared by their answers. What runs is
    /// awaited, and nothing is started meanwhile.
    fn start_next(&mut self, now: TimePoint, strikes: &StrikeTracker) -> Option<NextAttempt> {
        if self.is_reserved {
            return None;
        }
        if self.held.is_some() {
            return self.start_held(now, strikes);
        }
        let slots = self.limit.in_flight() + self.limit.free_slots(now);
        let started = self.queue.start_next(now, slots)?;
        let attempt = self.waiting.remove(&started.job.id)?;
        self.limit.record_sent();
        let ready = ReadyAttempt {
            expected: self.queue.expected_service_time(&attempt.template),
            attempt,
            cancelled: Arc::new(Notify::new()),
            waited: started.waited,
        };
        if strikes.refused_for(&ready.attempt.fingerprint).is_some() {
            return Some(self.refuse(ready, NotRunReason::Quarantined, now));
        }
        if strikes.is_suspect(&ready.attempt.fingerprint) {
            self.held = Some(ready);
            return self.start_held(now, strikes);
        }
        Some(self.start(ready))
    }

    /// Starts the held suspect where nothing else runs any more.
    fn start_held(&mut self, now: TimePoint, strikes: &StrikeTracker) -> Option<NextAttempt> {
        if !self.running.is_empty() {
            return None;
        }
        let held = self.held.take()?;
        if strikes.refused_for(&held.attempt.fingerprint).is_some() {
            return Some(self.refuse(held, NotRunReason::Quarantined, now));
        }
        if held.attempt.deadline <= now {
            return Some(self.refuse(held, NotRunReason::Expired, now));
        }
        self.is_reserved = true;
        Some(self.start(held))
    }

    fn start(&mut self, ready: ReadyAttempt) -> NextAttempt {
        let attempt = &ready.attempt;
        self.running
            .insert(attempt.id(), Arc::clone(&ready.cancelled));
        self.crash
            .started(attempt.id(), attempt.fingerprint, attempt.request.shard);
        NextAttempt::Run(ready)
    }

    /// Gives back the slot of an attempt that will not run.
    fn refuse(&mut self, ready: ReadyAttempt, reason: NotRunReason, now: TimePoint) -> NextAttempt {
        self.queue.record_finished(ready.attempt.id(), None, now);
        self.limit
            .record_finished(AttemptSignal::Uninformative, now);
        NextAttempt::Refuse(ready.attempt, reason)
    }

    /// Takes the held suspect out where it is the named attempt.
    fn take_held(&mut self, id: AttemptId, now: TimePoint) -> Option<LaneAttempt> {
        let held = self.held.take_if(|held| held.attempt.id() == id)?;
        match self.refuse(held, NotRunReason::Cancelled, now) {
            NextAttempt::Run(ready) => Some(ready.attempt),
            NextAttempt::Refuse(attempt, _) => Some(attempt),
        }
    }

    fn take_dropped(&mut self) -> Vec<(LaneAttempt, NotRunReason)> {
        self.queue
            .take_dropped()
            .into_iter()
            .filter_map(|dropped| Some((self.waiting.remove(&dropped.id)?, dropped.reason)))
            .collect()
    }

    fn wait_of(&self, attempt: &LaneAttempt, now: TimePoint) -> TimeSpan {
        self.queue
            .estimated_wait(attempt.class, now, self.limit.limit(now))
    }
}
