//! Runs one request: its attempts, hedges and retries, and when it is answered.
//!
//! A request to a single service runs as a query with one shard. Target choice, hedging and
//! retries are the same, only the answer differs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::answer_time::{self, AnswerStep, AnswerTime, ShardCount};
use alderhaven_policy::caller_delay::CallerDelay;
use alderhaven_policy::hedge_timing::{self, HedgeTiming};
use alderhaven_policy::query_gate::GateRefusal;
use alderhaven_policy::repeat_budget::RepeatReason;
use alderhaven_policy::suspect_trial::SuspectTrial;
use bytes::Bytes;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;

use crate::admission_permit::AdmissionPermit;
use crate::attempt::{AttemptOutcome, AttemptPlan, AttemptReport};
use crate::attempt_phase::AttemptPhase;
use crate::catalog_view::{CatalogView, LiveRoute};
use crate::front_answer::FrontAnswer;
use crate::front_context::{self, FrontContext};
use crate::front_event::{RequestOutcome, UnansweredAttempt};
use crate::front_metrics::{AdmissionResult, AttemptKind, UnansweredReason};
use crate::group_plan;
use crate::query_call::QueryCall;
use crate::query_run::group_requests::{GroupRequestKind, PendingGroupRequest};
use crate::route_destination::RouteDestination;
use crate::run_record::RunRecord;
use crate::shard_reply::ShardReply;
use crate::shard_set_id::ShardSetId;
use crate::shard_state::ShardState;
use crate::stop_check;
use crate::suspect_check;
use crate::target_handle::{TargetHandle, TargetStatus};
use crate::trial_registry::TrialGuard;

mod completion;
mod group_requests;
mod silent_domains;
mod trial;

/// One request in progress. Dropping it early cancels its attempts and reports that the caller
/// left.
pub struct QueryRun<'a> {
    context: &'a FrontContext,
    call: &'a Arc<QueryCall>,
    route: &'a LiveRoute,
    answer_time: AnswerTime,
    typical_latency: TimeSpan,
    late_threshold: TimeSpan,
    shards: Vec<ShardState>,
    attempts: FuturesUnordered<BoxFuture<'static, AttemptReport>>,
    /// Unfinished attempts that this front sends itself.
    open_attempts: Vec<OpenAttempt>,
    group_requests: Vec<PendingGroupRequest>,
    merged_blocks: Vec<Bytes>,
    is_request_finished: Arc<AtomicBool>,
    attempts_sent: usize,
    unanswered_attempts: Vec<UnansweredAttempt>,
    /// Attempts that are held back while the request may be crashing targets.
    trial: SuspectTrial<()>,
    /// The right to run on trial; `None` unless the request is a suspect from the start.
    trial_guard: Option<Arc<TrialGuard>>,
    /// Whether the trial was lost; nothing more is sent then.
    is_trial_lost: bool,
    /// Targets tried so far in a trial that has brought no decision.
    undecided_trials: usize,
    /// Whether another front refused the request as quarantined.
    is_quarantined: bool,
    is_reported: bool,
    permit: Option<AdmissionPermit>,
    record: RunRecord,
    started_at: TimePoint,
    /// Time from arrival to the partial answer for a caller without prior delay.
    usable_time: TimeSpan,
    /// When the number of answered shards first reached the minimum coverage.
    min_coverage_at: Option<TimePoint>,
}

/// An attempt whose end has not been seen yet.
struct OpenAttempt {
    shard: usize,
    target: Arc<TargetHandle>,
    phase: AttemptPhase,
    sent_at: TimePoint,
    /// Whether it was counted as overdue against its failure domain.
    is_overdue: bool,
}

impl Drop for QueryRun<'_> {
    /// Reports a request that is dropped because its caller closed the connection.
    fn drop(&mut self) {
        if !self.is_reported {
            self.report_outcome(RequestOutcome::CallerLeft);
        }
    }
}

impl<'a> QueryRun<'a> {
    /// Runs a request and returns its answer, or the refusal of admission. Sets `has_started` before
    /// anything is sent.
    pub async fn answer(
        context: &'a FrontContext,
        view: &CatalogView,
        route: &'a LiveRoute,
        call: &'a Arc<QueryCall>,
        has_started: &AtomicBool,
    ) -> FrontAnswer {
        let delay = route
            .state
            .record_caller_delay(call.time_left, call.arrived_at);
        // The split chooses its service before admission, so that a request which is refused there
        // does not move to another service.
        let shards = shards_for_route(view, route);
        let permit = match Self::admit(context, route, call, &shards, delay).await {
            Ok(permit) => permit,
            Err(refusal) => return completion::refuse(context, route, call, refusal),
        };
        let trial_guard = match suspect_check::begin_trial(context, route, call).await {
            Ok(guard) => guard,
            Err(answer) => return *answer,
        };
        // The waits before may have used up the time that a stop leaves.
        if let Err(answer) = stop_check::refuse_unfinishable(context, route, call) {
            return *answer;
        }
        has_started.store(true, Ordering::Relaxed);
        let mut run = Self::new(context, call, route, shards, delay);
        run.permit = permit;
        if trial_guard.is_some() {
            run.begin_trial(trial_guard);
        } else {
            let shards = (0..run.shards.len()).collect();
            run.send_first_attempts(&shards);
        }
        let step = run.wait_for_answer().await;
        run.finish(step)
    }

    /// Waits for admission among the requests to the same services. A request to an unknown
    /// service needs no permit.
    async fn admit(
        context: &FrontContext,
        route: &LiveRoute,
        call: &QueryCall,
        shards: &[ShardState],
        delay: CallerDelay,
    ) -> Result<Option<AdmissionPermit>, GateRefusal> {
        let single = || {
            shards
                .first()?
                .service
                .as_ref()
                .map(|service| ShardSetId::of_service(&service.name))
        };
        let Some(set) = route.shards.or_else(single) else {
            return Ok(None);
        };
        let work = route.state.typical_latency(route.rule.latency_target);
        let admission = &context.admission;
        let identity = &call.identity;
        let permit = admission
            .admit(&route.rule, identity, set, delay, work)
            .await;
        let result = match &permit {
            Ok(permit) if permit.has_waited() => AdmissionResult::Waited,
            Ok(_) => AdmissionResult::Admitted,
            Err(refusal) => completion::admission_result(refusal.reason),
        };
        context.metrics.observe_admission(route.rule.rank, result);
        Ok(Some(permit?))
    }

    fn new(
        context: &'a FrontContext,
        call: &'a Arc<QueryCall>,
        route: &'a LiveRoute,
        shards: Vec<ShardState>,
        delay: CallerDelay,
    ) -> Self {
        let options = &context.options;
        let limit = call.time_left.min(route.rule.timeout);
        let target = route.rule.latency_target;

        // Caller latency counts twice: the request on its way here and the answer on its way back.
        let round_trip = options.caller_latency + options.caller_latency;
        // The event loop may be late both in reading the request and in sending the answer.
        let timer_lag = context.timer_lag();
        let reserve = round_trip + options.answer_overhead + timer_lag + timer_lag;
        Self {
            context,
            call,
            route,
            answer_time: AnswerTime::new(
                call.arrived_at,
                target,
                reserve + delay.consumed_time(target),
                limit,
            ),
            typical_latency: route.state.typical_latency(target),
            late_threshold: route.state.late_threshold(target),
            shards,
            attempts: FuturesUnordered::new(),
            open_attempts: Vec::new(),
            group_requests: Vec::new(),
            merged_blocks: Vec::new(),
            is_request_finished: Arc::default(),
            attempts_sent: 0,
            unanswered_attempts: Vec::new(),
            trial: SuspectTrial::default(),
            trial_guard: None,
            is_trial_lost: false,
            undecided_trials: 0,
            is_quarantined: false,
            is_reported: false,
            permit: None,
            record: RunRecord::begin(
                &route.state,
                &call.work_kinds(&route.rule.path_prefix),
                context.clock,
            ),
            started_at: context.clock.now(),
            usable_time: answer_time::usable_time(target, reserve),
            min_coverage_at: None,
        }
    }

    /// Sends the first attempt of each of these shards to its best target.
    fn send_first_attempts(&mut self, shards: &BTreeSet<usize>) {
        let now = self.context.clock.now();
        let shard_states = self.shards.iter().enumerate();
        let best: Vec<Option<Arc<TargetHandle>>> = shard_states
            .map(|(index, shard)| {
                let is_due = shards.contains(&index);
                is_due.then(|| shard.next_target(self.typical_latency, now))?
            })
            .collect();
        // On trial, this front itself has to see whether the target crashes.
        let may_group = !self.is_on_trial();
        if may_group && matches!(self.route.rule.destination, RouteDestination::Shards { .. }) {
            for group in group_plan::group_cross_domain_shards(
                &self.shards,
                &best,
                self.typical_latency,
                now,
            ) {
                // Shards that were not sent because no link is usable are sent directly below.
                let _direct = self.send_group(group, GroupRequestKind::FirstAttempts, now);
            }
        }
        for (shard, target) in best.into_iter().enumerate() {
            if !shards.contains(&shard) {
                continue;
            }
            if let Some(service) = &self.shards[shard].service {
                service.budget().record_request(now);
            }
            // Already sent through another front.
            if !self.shards[shard].tried.is_empty() {
                continue;
            }
            self.context.metrics.observe_attempt(AttemptKind::First);
            if let Some(target) = target {
                self.send(shard, target, now);
            }
        }
    }

    async fn wait_for_answer(&mut self) -> AnswerStep {
        let context = self.context;
        let mut closing = std::pin::pin!(context.stop.closing());
        loop {
            let now = self.context.clock.now();
            let count = self.count_shards();
            if self.min_coverage_at.is_none() && count.answered >= count.required {
                self.min_coverage_at = Some(now);
            }
            let until = match self.answer_time.decide(count, now) {
                AnswerStep::Wait(until) => until,
                step => return step,
            };
            self.expire_silent_requests(now);
            self.record_overdue_attempts(now);
            self.abandon_silent(now);
            self.send_hedges(now);
            let hedges = self.shards.iter().filter_map(|shard| shard.hedge_at);
            let until = hedges
                .chain(self.next_expiry_check(now))
                .chain(self.next_silence_check(now))
                .fold(until, TimePoint::min);
            tokio::select! {
                biased;
                Some(report) = self.attempts.next() => self.handle_report(report),
                (index, event) = group_requests::next_event(&mut self.group_requests) => self.handle_group_event(index, event),
                () = &mut closing => return self.last_step(),
                () = front_context::sleep_until(self.context.clock, until) => {
                    self.context.record_wakeup(until);
                }
            }
        }
    }

    /// Returns how a request ends that is unfinished when the process gives its last answers.
    fn last_step(&self) -> AnswerStep {
        if self.count_shards().is_enough() {
            AnswerStep::Answer
        } else {
            AnswerStep::TimeUp
        }
    }

    fn count_shards(&self) -> ShardCount {
        let total = self.shards.len();
        let required = match &self.route.rule.destination {
            RouteDestination::Shards { min_coverage, .. } => min_shard_count(total, *min_coverage),
            _ => 1,
        };
        let answered = self.shards.iter().filter(|shard| shard.reply.is_some());
        let pending = self.shards.iter().filter(|shard| shard.is_open());
        ShardCount {
            total,
            answered: answered.count(),
            pending: pending.count(),
            required,
        }
    }

    /// Sends a hedge for each shard whose attempt is late. Hedges to targets in the same other
    /// failure domain share a group request.
    fn send_hedges(&mut self, now: TimePoint) {
        let mut assignments = Vec::new();
        let is_on_trial = self.is_on_trial();
        for index in 0..self.shards.len() {
            let shard = &mut self.shards[index];
            if shard.hedge_at.is_none_or(|hedge_at| hedge_at > now) {
                continue;
            }
            shard.hedge_at = None;
            if shard.is_open()
                && !is_on_trial
                && let Some(target) = self.next_repeat_target(index, RepeatReason::Hedge, now)
            {
                assignments.push((index, target));
            }
        }
        let (groups, mut direct) = group_plan::group_by_domain(assignments);
        for group in groups {
            direct.extend(self.send_group(group, GroupRequestKind::Hedges, now));
        }
        for (index, target) in direct {
            self.send(index, target, now);
        }
    }

    fn handle_report(&mut self, report: AttemptReport) {
        let now = self.context.clock.now();
        self.open_attempts.retain(|open| {
            open.shard != report.shard || !Arc::ptr_eq(&open.target, &report.target)
        });
        silent_domains::record_outcome(&report, now);
        let shard = &mut self.shards[report.shard];
        if shard.is_abandoned(&report.target) {
            if let AttemptOutcome::Success(reply) = report.outcome {
                shard.reply.get_or_insert(ShardReply::Single(reply));
                self.record_shard_answer(report.shard, now);
            }
            return;
        }
        shard.open_attempts -= 1;
        let mut status = None;
        let may_be_crashing = matches!(
            report.outcome,
            AttemptOutcome::Lost | AttemptOutcome::TimedOut(_)
        );
        let reason = match report.outcome {
            AttemptOutcome::Success(reply) => {
                self.route.state.record_latency(report.elapsed);
                shard.hedge_at = None;
                shard.reply.get_or_insert(ShardReply::Single(reply));
                self.record_shard_answer(report.shard, now);
                return;
            }
            AttemptOutcome::Failure(reply) | AttemptOutcome::TimedOut(reply) => {
                let reply_status = reply.reply.status;
                status = Some(reply_status.as_u16());
                if self.context.dialect.is_failure_status(reply_status) {
                    shard.failure = Some(reply);
                }
                UnansweredReason::Failed
            }
            AttemptOutcome::NotRun => {
                shard.record_refused();
                shard.is_refused = true;
                UnansweredReason::NotRun
            }
            AttemptOutcome::WrongTarget => {
                shard.record_refused();
                // Another process has taken over the address, so this target has ended.
                report.target.set_status(TargetStatus::Leaving);
                UnansweredReason::WrongTarget
            }
            AttemptOutcome::Unreachable | AttemptOutcome::Cancelled => {
                shard.record_unsent();
                UnansweredReason::Unreachable
            }
            AttemptOutcome::Lost => UnansweredReason::Lost,
        };
        self.record_unanswered(UnansweredAttempt {
            target: report.target.entry().id.clone(),
            reason,
            status,
            age: report.elapsed,
        });
        self.retry_unanswered(report.shard, may_be_crashing, now);
    }

    fn record_unanswered(&mut self, attempt: UnansweredAttempt) {
        self.context
            .metrics
            .observe_unanswered_attempt(attempt.reason);
        self.unanswered_attempts.push(attempt);
    }

    /// Sends the shard to one more replica after a failure. Returns `false` if route, budget or time
    /// do not allow it.
    fn retry(&mut self, shard: usize, now: TimePoint) -> bool {
        let Some(target) = self.next_repeat_target(shard, RepeatReason::Retry, now) else {
            return false;
        };
        self.send(shard, target, now);
        true
    }

    /// Chooses the target of a hedge or retry and takes the repeat from the budget. Returns `None`
    /// if route, budget or time do not allow it.
    fn next_repeat_target(
        &self,
        shard: usize,
        reason: RepeatReason,
        now: TimePoint,
    ) -> Option<Arc<TargetHandle>> {
        let state = &self.shards[shard];
        let may_run_again = self.route.rule.is_idempotent || state.possible_runs == 0;
        let is_limit_reached = state.counted_targets() >= self.route.rule.max_targets;
        if !may_run_again || is_limit_reached || now >= self.answer_time.deadline {
            return None;
        }
        if reason == RepeatReason::Retry
            && !stop_check::can_finish(self.context, self.route, self.call)
        {
            return None;
        }
        let service = state.service.as_ref()?;
        let target = state.next_target(self.typical_latency, now)?;
        if reason == RepeatReason::Hedge && !self.is_hedge_worthwhile(&target, now) {
            return None;
        }
        // An attempt counts as a repeat only if an earlier one may have reached the service.
        let is_repeat = state.has_reached_service();
        let repeat_share = self.context.catalog.share().repeat_share();
        if is_repeat && !service.budget().take(reason, repeat_share, now) {
            self.context.metrics.refused_repeats.inc();
            return None;
        }
        self.context.metrics.observe_attempt(match reason {
            RepeatReason::Hedge => AttemptKind::Hedge,
            RepeatReason::Retry => AttemptKind::Retry,
        });
        Some(target)
    }

    /// Sends an attempt directly to a target.
    fn send(&mut self, shard: usize, target: Arc<TargetHandle>, now: TimePoint) {
        let phase = AttemptPhase::default();
        self.open_attempts.push(OpenAttempt {
            shard,
            target: Arc::clone(&target),
            phase: phase.clone(),
            sent_at: now,
            is_overdue: false,
        });
        let plan = self.plan_attempt(shard, &target, phase);
        let hedge_at = self.hedge_timing().hedge_at(now);
        self.record_sent(shard, target, hedge_at, now);
        self.attempts.push(Box::pin(plan.run()));
    }

    /// Records an attempt that this front or another one sends.
    fn record_sent(
        &mut self,
        shard: usize,
        target: Arc<TargetHandle>,
        hedge_at: TimePoint,
        now: TimePoint,
    ) {
        let rule = &self.route.rule;
        let state = &mut self.shards[shard];
        state.begin_attempt(target, now);
        let may_hedge = rule.is_idempotent && state.counted_targets() < rule.max_targets;
        state.hedge_at = may_hedge.then_some(hedge_at);
        self.attempts_sent += 1;
    }

    fn is_hedge_worthwhile(&self, target: &TargetHandle, now: TimePoint) -> bool {
        let slots = target.entry().slots;
        let expected_cost = target
            .stats()
            .expected_cost(self.typical_latency, slots, now);
        self.hedge_timing().is_worthwhile(expected_cost, now)
    }

    const fn hedge_timing(&self) -> HedgeTiming {
        HedgeTiming {
            answer_at: self.answer_time.partial_at,
            typical_latency: self.typical_latency,
            late_threshold: self.late_threshold,
        }
    }

    /// Returns when an attempt that is sent now stops being of use.
    fn attempt_deadline(&self) -> TimePoint {
        if self.shards.len() < 2 {
            return self.answer_time.deadline;
        }
        let target = self.route.rule.latency_target;
        hedge_timing::attempt_deadline(&self.answer_time, target, self.context.clock.now())
    }

    fn plan_attempt(
        &self,
        shard: usize,
        target: &Arc<TargetHandle>,
        phase: AttemptPhase,
    ) -> AttemptPlan {
        let is_trial = self.trial.slot() == Some(shard) && !self.trial.is_cleared();
        AttemptPlan {
            shard,
            target: Arc::clone(target),
            call: Arc::clone(self.call),
            is_idempotent: self.route.rule.is_idempotent,
            // A target that gives up a trial early brings no decision.
            deadline: if is_trial {
                self.answer_time.deadline
            } else {
                self.attempt_deadline()
            },
            is_request_finished: Arc::clone(&self.is_request_finished),
            phase,
            typical_latency: self.typical_latency,
            dialect: Arc::clone(&self.context.dialect),
            clock: self.context.clock,
            crashes: self.context.crashes.clone(),
            replies: Arc::clone(&self.context.intake.replies),
            trial: is_trial.then(|| self.trial_guard.clone()).flatten(),
            is_trial,
        }
    }
}

fn shards_for_route(view: &CatalogView, route: &LiveRoute) -> Vec<ShardState> {
    let shard = |service: &str| ShardState::new(view.services.get(service).cloned());
    match &route.rule.destination {
        RouteDestination::Service(service) => vec![shard(service)],
        RouteDestination::Split(parts) => {
            let weights: Vec<f64> = parts.iter().map(|part| part.weight).collect();
            let index = route.state.next_split_index(&weights);
            let service = index.map(|index| parts[index].service.as_str());
            service.map(shard).into_iter().collect()
        }
        RouteDestination::Shards { services, .. } => {
            services.iter().map(|service| shard(service)).collect()
        }
    }
}

/// Returns the smallest number of shards that covers at least `share` of `total`, and at least 1.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share of a small count is a small positive number"
)]
fn min_shard_count(total: usize, share: f64) -> usize {
    // Subtracting the epsilon keeps rounding errors of the product from adding a shard.
    ((total as f64 * share - 1e-9).ceil().max(1.0)) as usize
}
