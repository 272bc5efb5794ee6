//! Dispatcher of the attempts at one target.
//!
//! Attempts wait in the target's queue and start while its concurrency limit allows. Refused and
//! dropped attempts are answered as not run. A request that is suspected of crashing targets runs
//! alone, so that a crash has one possible cause.

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
use alderhaven_policy::crash_watch::{CrashWatch, WatchedAttempt};
use alderhaven_policy::query_gather;
use alderhaven_policy::relay_queue::{OfferOutcome, RelayQueue};
use alderhaven_policy::target_limit::{AttemptSignal, TargetLimit};
use alderhaven_store::target_watch::TargetWatch;
use tokio::sync::Notify;
use tokio::time;

use crate::dispatch_options::DispatchOptions;
use crate::metrics::AttemptCounters;
use crate::relay_attempt::RelayAttempt;
use crate::target_call;
use crate::target_call::{CallOptions, CallResult, ConnectionLoss};
use crate::target_connections::{PathReport, TargetConnections};

/// Queues the attempts at one target, runs them and answers them.
#[derive(Debug)]
pub struct TargetDispatcher {
    context: DispatcherContext,
    authority: String,
    state: Mutex<DispatcherState>,
    /// Number of waiting attempts, readable without the lock.
    waiting_count: AtomicUsize,
}

/// The target of a dispatcher, and the relay's parts that it uses.
#[derive(Debug)]
pub struct DispatcherContext {
    /// Id of the target.
    pub target: TargetId,
    /// Failure domain of the target.
    pub domain: FailureDomain,
    /// Pool of connections to the target.
    pub connections: TargetConnections,
    /// Clock that all dispatchers share.
    pub clock: ProcessClock,
    /// Counters that all dispatchers share.
    pub counters: AttemptCounters,
    /// Targets that get no new work.
    pub target_watch: TargetWatch,
    /// Quarantine of requests that crash targets.
    pub strikes: Arc<StrikeTracker>,
}

#[derive(Debug)]
struct DispatcherState {
    queue: RelayQueue,
    limit: TargetLimit,
    slots: u32,
    waiting: HashMap<AttemptId, RelayAttempt>,
    running: HashMap<AttemptId, Arc<Notify>>,
    /// A suspected request that has a slot and waits until nothing else runs at the target.
    held_suspect: Option<ReadyAttempt>,
    /// Whether a suspected request runs; nothing else starts meanwhile.
    is_suspect_running: bool,
    crash_watch: CrashWatch<AttemptId>,
}

/// State of a dispatcher for the dump.
#[derive(Clone, Debug, serde::Serialize)]
pub struct DispatcherReport {
    /// Address of the target.
    pub address: String,
    /// Number of waiting attempts.
    pub queued: usize,
    /// Number of attempts that hold a slot.
    pub in_flight: usize,
    /// Current concurrency limit.
    pub limit: u32,
    /// Number of idle connections.
    pub idle_connections: usize,
    /// State of the connections.
    pub path: PathReport,
    /// Whether the target gets no new work.
    pub draining: bool,
}

/// The next attempt to run or to refuse.
enum NextAttempt {
    Run(ReadyAttempt),
    Refuse(RelayAttempt, NotRunReason),
}

/// An attempt that was given a slot.
#[derive(Debug)]
struct ReadyAttempt {
    attempt: RelayAttempt,
    cancelled: Arc<Notify>,
    time_waited: TimeSpan,
    expected_service_time: TimeSpan,
}

impl TargetDispatcher {
    /// Creates a dispatcher to a target that declares `slots` slots.
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

    /// Returns the target's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.context.connections.address()
    }

    /// Accepts or refuses an attempt; an accepted one runs at once or is queued.
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

    /// Cancels an attempt: at the target if it runs, else in the queue. Unknown ids are ignored.
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

    /// Answers the waiting attempts that have expired.
    pub fn expire_waiting(self: &Arc<Self>) {
        if self.waiting_count.load(Ordering::Relaxed) > 0 {
            self.run_ready();
        }
    }

    /// Answers the waiting attempts as not run, because the relay is about to end.
    pub fn refuse_waiting(self: &Arc<Self>) {
        self.lock().queue.drop_all(NotRunReason::NoRoute);
        self.run_ready();
    }

    /// Opens connections before the first attempts, one per slot of the target; stops at the first
    /// error.
    pub async fn open_connections(&self) {
        let slots = self.lock().slots as usize;
        while self.context.connections.idle_count() < slots {
            let Ok(new) = self.context.connections.connect().await else {
                return;
            };
            self.context.connections.give_back(new.sender);
        }
    }

    /// Returns the number of attempts that wait or run.
    #[must_use]
    pub fn unfinished_count(&self) -> usize {
        let state = self.lock();
        state.queue.waiting_count() + state.queue.running_count()
    }

    /// Returns the state for the dump.
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

    /// Returns true if the target is leaving by its own report, the host list or a published drain.
    fn is_leaving(&self) -> bool {
        self.context
            .target_watch
            .is_leaving(self.context.target.as_str())
    }

    /// Returns true if the request is refused because it crashed targets.
    fn is_quarantined(&self, attempt: &RelayAttempt) -> bool {
        self.context
            .strikes
            .refused_for(&attempt.fingerprint)
            .is_some()
    }

    /// Returns the reason for refusing attempts at a leaving target.
    ///
    /// The target's own report is passed on: entries don't see it, and would keep sending attempts
    /// and spend their retries. Entries follow the host list and published drains themselves. Those
    /// may be withdrawn, so they are not passed on as the target's report, which entries keep.
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

    /// Starts queued attempts while the limit allows, and answers those that were dropped.
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

    /// Broadcasts a crash if the target's process crashed with the attempt in flight, before the
    /// reply to the entry, so that a retry arrives after the strikes. An answer clears strikes.
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
        let now = context.clock.now();
        let (incident, _) = self
            .lock()
            .crash_watch
            .record_loss(attempt.id(), rand::random(), now);
        if !Box::pin(context.connections.is_process_dead()).await {
            return;
        }
        let is_new = context.strikes.record_crash(&TargetCrash {
            id: incident.id,
            target: context.target.clone(),
            domain: context.domain.clone(),
            in_flight: incident.in_flight,
            trials: incident.trials,
        });
        if is_new {
            context.counters.target_crashes.inc();
        }
    }

    /// Sends the attempt and waits until the target replies or the deadline passes.
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
                // The slot stays in use until the target replies or the deadline passes.
                let connections = &self.context.connections;
                Box::pin(target_call::cancel_attempt(connections, &self.authority, &attempt.request)).await;
                bounded_call.await
            }
        };
        replied.unwrap_or_else(|_| CallResult::without_reply(AttemptOutcome::Unknown))
    }

    /// Frees the attempt's slot, updates the estimates from its result and returns the estimated
    /// wait of a new attempt of its class.
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
        if result.may_still_run() {
            state.crash_watch.record_abandoned(attempt.id(), now);
        } else {
            state.crash_watch.record_finished(attempt.id());
        }
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

    /// Answers an attempt that did not run.
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
    /// A suspected request runs alone. If the target crashes again, the cause is known; if the
    /// target answers, the request is cleared. It waits for the running attempts, and nothing else
    /// starts meanwhile.
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
        Some(self.start(ready, false))
    }

    /// Starts the held suspect once nothing else runs.
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
        Some(self.start(held, true))
    }

    fn start(&mut self, ready: ReadyAttempt, is_trial: bool) -> NextAttempt {
        let attempt = &ready.attempt;
        self.running
            .insert(attempt.id(), Arc::clone(&ready.cancelled));
        let watched = WatchedAttempt {
            fingerprint: attempt.fingerprint,
            shard: attempt.request.shard,
            is_trial,
        };
        self.crash_watch.record_started(attempt.id(), watched);
        NextAttempt::Run(ready)
    }

    /// Frees the slot of an attempt that will not run.
    fn refuse(&mut self, ready: ReadyAttempt, reason: NotRunReason, now: TimePoint) -> NextAttempt {
        self.queue.record_finished(ready.attempt.id(), None, now);
        self.limit
            .record_finished(AttemptSignal::Uninformative, now);
        NextAttempt::Refuse(ready.attempt, reason)
    }

    /// Removes the held suspect if it is the attempt `id`.
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
