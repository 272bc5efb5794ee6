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
use crate::dispatch_options::DispatchOptions;
use crate::metrics::AttemptCounters;
use crate::relay_attempt::RelayAttempt;
use crate::target_call;
use crate::target_call::{CallOptions, CallResult, ConnectionLoss};
use crate::target_connections::{PathReport, TargetConnections};

/// A `TargetLane` orders and runs the attempts at one target.
#[derive(Debug)]
pub struct TargetDispatcher {
    context: DispatcherContext,
    authority: String,
    state: Mutex<DispatcherState>,
    /// The number of waiting attempts, readable without the lock.
    waiting_count: AtomicUsize,
}

/// A `LaneShared` is what a lane is given by its relay.
#[derive(Debug)]
pub struct DispatcherContext {
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
    pub target_watch: TargetWatch,
    /// What is known of requests that crash targets.
    pub strikes: Arc<StrikeTracker>,
}

#[derive(Debug)]
struct DispatcherState {
    queue: RelayQueue,
    limit: TargetLimit,
    slots: u32,
    waiting: HashMap<AttemptId, RelayAttempt>,
    running: HashMap<AttemptId, Arc<Notify>>,
    /// A suspect that has a slot and waits until nothing else runs at the target.
    held_suspect: Option<ReadyAttempt>,
    /// Whether a suspect runs, with which nothing else is started.
    is_suspect_running: bool,
    crash_watch: CrashWatch,
}

/// A `LaneReport` is the state of a lane for the dump.
#[derive(Clone, Debug, serde::Serialize)]
pub struct DispatcherReport {
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
    Refuse(RelayAttempt, NotRunReason),
}

/// An attempt that was given a slot, with the means to cancel it.
#[derive(Debug)]
struct ReadyAttempt {
    attempt: RelayAttempt,
    cancelled: Arc<Notify>,
    time_waited: TimeSpan,
    expected_service_time: TimeSpan,
}

impl TargetDispatcher {
    /// Returns a lane to a target with this many declared slots.
    #[must_use]
    pub fn new(context: DispatcherContext, slots: u32, options: &DispatchOptions) -> Self {
        let slots = slots.clamp(1, MAX_SLOTS);
        Self {
            authority: context.connections.address().to_string(),
            context,
            state: Mutex::new(DispatcherState {
                queue: RelayQueue::new(options.policy, options.queue.clone()),
                limit: TargetLimit::new(options.policy, options.limit.clone(), slots),
                slots,
                waiting: HashMap::new(),
                running: HashMap::new(),
                held_suspect: None,
                is_suspect_running: false,
                crash_watch: CrashWatch::default(),
            }),
            waiting_count: AtomicUsize::new(0),
        }
    }

    /// Gets the target's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.context.connections.address()
    }

    /// Takes an attempt: it is run, queued or refused at once.
    pub fn offer(self: &Arc<Self>, attempt: RelayAttempt) {
        let now = self.context.clock.now();
        let mut state = self.lock();
        let refusal = if self.is_leaving() {
            Some(self.leaving_reason())
        } else if self.is_quarantined(&attempt) {
            Some(NotRunReason::Quarantined)
        } else {
            let slots = state.limit.limit(now);
            match state.queue.offer(attempt.queue_job(), now, slots) {
                OfferOutcome::Queued => None,
                OfferOutcome::Refused(reason) => Some(reason),
            }
        };
        if let Some(reason) = refusal {
            let wait = state.estimated_wait(&attempt, now);
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
        if let Some(held) = state.take_held_suspect(id, self.context.clock.now()) {
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
    pub fn expire_waiting(self: &Arc<Self>) {
        if self.waiting_count.load(Ordering::Relaxed) > 0 {
            self.run_ready();
        }
    }

    /// Makes connections ahead of the first attempts, as many as the target has slots.
    pub async fn open_connections(&self) {
        let slots = self.lock().slots as usize;
        while self.context.connections.idle_count() < slots {
            let Ok(new) = self.context.connections.connect().await else {
                return;
            };
            self.context.connections.give_back(new.sender);
        }
    }

    /// Gets the number of attempts that wait or are at the target.
    #[must_use]
    pub fn unfinished_count(&self) -> usize {
        let state = self.lock();
        state.queue.waiting_count() + state.queue.running_count()
    }

    /// Gets the lane's state for the dump.
    #[must_use]
    pub fn report(&self) -> DispatcherReport {
        let now = self.context.clock.now();
        let state = self.lock();
        DispatcherReport {
            address: self.authority.clone(),
            queued: state.queue.waiting_count(),
            in_flight: state.queue.running_count(),
            limit: state.limit.limit(now),
            idle_connections: self.context.connections.idle_count(),
            path: self.context.connections.report(),
            draining: self.is_leaving(),
        }
    }

    /// Returns true where the target leaves: by its own word, the host list's or an operator's.
    fn is_leaving(&self) -> bool {
        self.context
            .target_watch
            .is_leaving(self.context.target.as_str())
    }

    /// Returns true where the request is refused because it crashed targets.
    fn is_quarantined(&self, attempt: &RelayAttempt) -> bool {
        self.context
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
        if self
            .context
            .target_watch
            .has_reported_drain(&self.context.target)
        {
            NotRunReason::Draining
        } else {
            NotRunReason::NoRoute
        }
    }

    fn lock(&self) -> MutexGuard<'_, DispatcherState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts queued attempts while the limit allows it and answers those that were dropped.
    fn run_ready(self: &Arc<Self>) {
        let now = self.context.clock.now();
        let mut state = self.lock();
        let mut ready = Vec::new();
        if self.is_leaving() {
            state.queue.drop_all(self.leaving_reason());
        }
        let mut refused = Vec::new();
        while let Some(next) = state.start_next(now, &self.context.strikes) {
            match next {
                NextAttempt::Run(attempt) => ready.push(attempt),
                NextAttempt::Refuse(attempt, reason) => refused.push((attempt, reason)),
            }
        }
        let mut dropped = state.take_dropped();
        dropped.append(&mut refused);
        let waits: Vec<TimeSpan> = dropped
            .iter()
            .map(|(attempt, _)| state.estimated_wait(attempt, now))
            .collect();
        self.waiting_count
            .store(state.queue.waiting_count(), Ordering::Relaxed);
        drop(state);
        for ((attempt, reason), wait) in dropped.into_iter().zip(waits) {
            self.answer_not_run(&attempt, reason, wait);
        }
        for attempt in ready {
            let dispatcher = Arc::clone(self);
            tokio::spawn(async move {
                dispatcher.run_attempt(attempt).await;
                dispatcher.run_ready();
            });
        }
    }

    async fn run_attempt(&self, mut ready: ReadyAttempt) {
        let started_at = self.context.clock.now();
        let attempt = &mut ready.attempt;
        attempt.request.remaining = attempt.remaining_time(started_at);
        let options = CallOptions {
            expected_service_time: ready.expected_service_time,
            is_idempotent: attempt.is_idempotent,
        };
        let result = self.call_target(attempt, options, &ready.cancelled).await;
        self.context.counters.record_outcome(result.outcome);
        self.detect_crash(attempt, &result).await;
        let now = self.context.clock.now();
        let service_time = now.since(result.resent_at.unwrap_or(started_at));
        let wait = self.record_finished(
            attempt,
            &result,
            service_time,
            ready.expected_service_time,
            now,
        );
        let reply = AttemptReply {
            sequence: attempt.id().sequence,
            status: ReplyStatus::from(result.outcome).into(),
            rows: result.rows,
            snapshot: attempt.request.snapshot.0,
            version: attempt.request.version.0,
            queued_us: ready.time_waited.as_micros(),
            service_us: service_time.as_micros(),
            wait_us: wait.as_micros(),
            ran: !query_gather::is_not_run(result.outcome),
            path_lost: result.connection_loss == Some(ConnectionLoss::Silent),
        };
        attempt.reply(reply);
    }

    /// Tells everyone of a crash where the target's process died with the attempt in flight, before
    /// the attempt is answered and retried.
    async fn detect_crash(&self, attempt: &RelayAttempt, result: &CallResult) {
        let context = &self.context;
        if result.found_silent_connection {
            context.counters.silent_connections.inc();
        }
        match result.connection_loss {
            Some(ConnectionLoss::Closed) => {}
            Some(ConnectionLoss::Silent) => return,
            None => {
                if result.outcome == AttemptOutcome::Answered {
                    let shard = attempt.request.shard;
                    context.strikes.record_answer(&attempt.fingerprint, shard);
                }
                return;
            }
        }
        let incident = self
            .lock()
            .crash_watch
            .record_loss(attempt.id(), rand::random());
        if !Box::pin(context.connections.is_process_dead()).await {
            return;
        }
        let is_new = context.strikes.record_crash(&TargetCrash {
            id: incident.id,
            target: context.target.clone(),
            domain: context.domain.clone(),
            in_flight: incident.in_flight,
        });
        if is_new {
            context.counters.target_crashes.inc();
        }
    }

    /// Calls the target until it replies or the attempt's time is up.
    async fn call_target(
        &self,
        attempt: &RelayAttempt,
        options: CallOptions,
        cancelled: &Notify,
    ) -> CallResult {
        let connections = &self.context.connections;
        let call =
            target_call::run_attempt(connections, &self.authority, &attempt.request, options);
        let deadline = self.context.clock.instant(attempt.deadline);
        let bounded_call = time::timeout_at(deadline.into(), call);
        tokio::pin!(bounded_call);
        let replied = tokio::select! {
            replied = &mut bounded_call => replied,
            () = cancelled.notified() => {
                // The target is asked to drop the attempt; its slot is free once it has replied.
                let connections = &self.context.connections;
                Box::pin(target_call::cancel_attempt(connections, &self.authority, &attempt.request)).await;
                bounded_call.await
            }
        };
        replied.unwrap_or_else(|_| CallResult::without_reply(AttemptOutcome::Unknown))
    }

    /// Frees the attempt's slot, learns from its verdict and returns the wait of the next one.
    fn record_finished(
        &self,
        attempt: &RelayAttempt,
        result: &CallResult,
        service_time: TimeSpan,
        expected_service_time: TimeSpan,
        now: TimePoint,
    ) -> TimeSpan {
        let mut state = self.lock();
        state.running.remove(&attempt.id());
        state.crash_watch.record_finished(attempt.id());
        if state.running.is_empty() {
            state.is_suspect_running = false;
        }
        let is_answered = result.outcome == AttemptOutcome::Answered;
        let measured_time = is_answered.then_some(service_time);
        state
            .queue
            .record_finished(attempt.id(), measured_time, now);
        let signal = match result.outcome {
            AttemptOutcome::Answered => AttemptSignal::Ran {
                service_time,
                expected_service_time,
            },
            AttemptOutcome::NotRun(NotRunReason::Shed) => AttemptSignal::Shed,
            AttemptOutcome::NotRun(_)
            | AttemptOutcome::Failed
            | AttemptOutcome::VersionGone
            | AttemptOutcome::Unknown => AttemptSignal::Uninformative,
        };
        state.limit.record_finished(signal, now);
        if let Some(free) = result.free_slots {
            let used = state.slots.saturating_sub(free);
            state.limit.record_report(used, now);
        }
        if result.is_draining {
            self.context
                .target_watch
                .record_draining_reply(&self.context.target);
            state.queue.drop_all(NotRunReason::Draining);
        }
        state.estimated_wait(attempt, now)
    }

    /// Answers an attempt that certainly did not run.
    fn answer_not_run(&self, attempt: &RelayAttempt, reason: NotRunReason, wait: TimeSpan) {
        let outcome = AttemptOutcome::NotRun(reason);
        self.context.counters.record_outcome(outcome);
        attempt.reply(AttemptReply {
            sequence: attempt.id().sequence,
            status: ReplyStatus::from(outcome).into(),
            queued_us: self
                .context
                .clock
                .now()
                .since(attempt.arrived_at)
                .as_micros(),
            wait_us: wait.as_micros(),
            ..AttemptReply::default()
        });
    }
}

impl DispatcherState {
    /// Gives a slot to the next attempt, if one is free.
    ///
    /// A suspect runs with nothing else at the target: if that crashes, the cause is known, and the
    /// requests that were beside it at the first crash are cleared by their answers. What runs is
    /// awaited, and nothing is started meanwhile.
    fn start_next(&mut self, now: TimePoint, strikes: &StrikeTracker) -> Option<NextAttempt> {
        if self.is_suspect_running {
            return None;
        }
        if self.held_suspect.is_some() {
            return self.start_held_suspect(now, strikes);
        }
        let slots = self.limit.in_flight() + self.limit.free_slots(now);
        let started = self.queue.start_next(now, slots)?;
        let attempt = self.waiting.remove(&started.job.id)?;
        self.limit.record_sent();
        let ready = ReadyAttempt {
            expected_service_time: self.queue.expected_service_time(&attempt.template),
            attempt,
            cancelled: Arc::new(Notify::new()),
            time_waited: started.waited,
        };
        if strikes.refused_for(&ready.attempt.fingerprint).is_some() {
            return Some(self.refuse(ready, NotRunReason::Quarantined, now));
        }
        if strikes.is_suspect(&ready.attempt.fingerprint) {
            self.held_suspect = Some(ready);
            return self.start_held_suspect(now, strikes);
        }
        Some(self.start(ready))
    }

    /// Starts the held suspect where nothing else runs any more.
    fn start_held_suspect(
        &mut self,
        now: TimePoint,
        strikes: &StrikeTracker,
    ) -> Option<NextAttempt> {
        if !self.running.is_empty() {
            return None;
        }
        let held = self.held_suspect.take()?;
        if strikes.refused_for(&held.attempt.fingerprint).is_some() {
            return Some(self.refuse(held, NotRunReason::Quarantined, now));
        }
        if held.attempt.deadline <= now {
            return Some(self.refuse(held, NotRunReason::Expired, now));
        }
        self.is_suspect_running = true;
        Some(self.start(held))
    }

    fn start(&mut self, ready: ReadyAttempt) -> NextAttempt {
        let attempt = &ready.attempt;
        self.running
            .insert(attempt.id(), Arc::clone(&ready.cancelled));
        self.crash_watch
            .record_started(attempt.id(), attempt.fingerprint, attempt.request.shard);
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
    fn take_held_suspect(&mut self, id: AttemptId, now: TimePoint) -> Option<RelayAttempt> {
        let held = self.held_suspect.take_if(|held| held.attempt.id() == id)?;
        match self.refuse(held, NotRunReason::Cancelled, now) {
            NextAttempt::Run(ready) => Some(ready.attempt),
            NextAttempt::Refuse(attempt, _) => Some(attempt),
        }
    }

    fn take_dropped(&mut self) -> Vec<(RelayAttempt, NotRunReason)> {
        self.queue
            .take_dropped()
            .into_iter()
            .filter_map(|dropped| Some((self.waiting.remove(&dropped.id)?, dropped.reason)))
            .collect()
    }

    fn estimated_wait(&self, attempt: &RelayAttempt, now: TimePoint) -> TimeSpan {
        self.queue
            .estimated_wait(attempt.class, now, self.limit.limit(now))
    }
}
