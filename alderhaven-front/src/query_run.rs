//! A request on its way: its attempts, and when it is answered.
//!
//! A request to one service is a query with one shard: choice, hedges and retries are the same, only
//! the answer differs.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::answer_time::{self, AnswerStep, AnswerTime, ShardCount};
use alderhaven_policy::caller_wait::CallerDelay;
use alderhaven_policy::hedge_time::{self, HedgeTime};
use alderhaven_policy::query_gate::GateRefusal;
use alderhaven_policy::repeat_budget::RepeatReason;
use bytes::Bytes;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;

use crate::admission_pass::AdmissionPass;
use crate::attempt::{AttemptEnd, AttemptPlan, AttemptReport};
use crate::attempt_phase::AttemptPhase;
use crate::catalog_view::{CatalogView, LiveRoute};
use crate::front_answer::FrontAnswer;
use crate::front_context::{self, FrontContext};
use crate::front_event::{LostAttempt, RequestEnd};
use crate::front_metrics::{AttemptFate, SendKind};
use crate::group_plan;
use crate::query_call::QueryCall;
use crate::query_run::crashes::CrashSuspect;
use crate::query_run::groups::{AskKind, GroupQuery};
use crate::route_destination::RouteDestination;
use crate::shard_part::ShardPart;
use crate::shard_run::ShardRun;
use crate::shard_set::ShardSet;
use crate::target_handle::{TargetHandle, TargetStanding};

mod crashes;
mod ending;
mod groups;
mod silence;

/// A `QueryRun` carries one request to its answer.
pub struct QueryRun<'a> {
    context: &'a FrontContext,
    call: &'a Arc<QueryCall>,
    route: &'a LiveRoute,
    time: AnswerTime,
    usual: TimeSpan,
    late: TimeSpan,
    shards: Vec<ShardRun>,
    attempts: FuturesUnordered<BoxFuture<'static, AttemptReport>>,
    /// The attempts of its own that are out.
    open: Vec<OpenAttempt>,
    asks: Vec<GroupQuery>,
    blocks: Vec<Bytes>,
    is_over: Arc<AtomicBool>,
    sent: usize,
    lost: Vec<LostAttempt>,
    suspects: Vec<CrashSuspect>,
    is_reported: bool,
    pass: Option<AdmissionPass>,
    started: TimePoint,
    /// The time until the answer of a caller that had not waited before.
    usable: TimeSpan,
    /// When enough shards were in.
    enough_at: Option<TimePoint>,
}

/// An `OpenAttempt` is an attempt of which no end was heard yet.
struct OpenAttempt {
    shard: usize,
    target: Arc<TargetHandle>,
    phase: AttemptPhase,
    sent: TimePoint,
    /// Whether its failure domain was told that it says nothing.
    is_missed: bool,
}

impl Drop for QueryRun<'_> {
    /// Reports a request whose caller closed the connection: it is dropped with its attempts.
    fn drop(&mut self) {
        if !self.is_reported {
            self.report(RequestEnd::CallerLeft);
        }
    }
}

impl<'a> QueryRun<'a> {
    /// Runs a request to its answer.
    pub async fn answer(
        context: &'a FrontContext,
        view: &CatalogView,
        route: &'a LiveRoute,
        call: &'a Arc<QueryCall>,
    ) -> FrontAnswer {
        let delay = route.state.waited(call.time_left, call.arrived);
        // A split is dealt before: what finds no room at its part must not go to another one.
        let shards = shards_of(view, route);
        let pass = match Self::admit(context, route, &shards, delay).await {
            Ok(pass) => pass,
            Err(refusal) => return ending::refuse(context, call, refusal),
        };
        let mut run = Self::new(context, call, route, shards, delay);
        run.pass = pass;
        run.start();
        let step = run.wait().await;
        run.finish(step)
    }

    /// Waits for the turn of a request among those to the same services. One whose service is not known
    /// needs none.
    async fn admit(
        context: &FrontContext,
        route: &LiveRoute,
        shards: &[ShardRun],
        delay: CallerDelay,
    ) -> Result<Option<AdmissionPass>, GateRefusal> {
        let single = || {
            shards
                .first()?
                .service
                .as_ref()
                .map(|service| ShardSet::single(&service.name))
        };
        let Some(set) = route.shards.or_else(single) else {
            return Ok(None);
        };
        let pass = context.admission.admit(&route.rule, set, delay).await?;
        Ok(Some(pass))
    }

    fn new(
        context: &'a FrontContext,
        call: &'a Arc<QueryCall>,
        route: &'a LiveRoute,
        shards: Vec<ShardRun>,
        delay: CallerDelay,
    ) -> Self {
        let options = &context.options;
        let limit = call.time_left.min(route.rule.timeout);
        let target = route.rule.latency_target;

        // The request's own way here counts as well as the answer's way back.
        let way = options.caller_path + options.caller_path;
        // The request may have waited as long to be seen as the answer will wait to be sent.
        let lag = context.wake_lag();
        let reserve = way + options.answer_work + lag + lag;
        Self {
            context,
            call,
            route,
            time: AnswerTime::new(call.arrived, target, reserve + delay.used_up(target), limit),
            usual: route.state.usual(target),
            late: route.state.late(target),
            shards,
            attempts: FuturesUnordered::new(),
            open: Vec::new(),
            asks: Vec::new(),
            blocks: Vec::new(),
            is_over: Arc::default(),
            sent: 0,
            lost: Vec::new(),
            suspects: Vec::new(),
            is_reported: false,
            pass: None,
            started: context.clock.now(),
            usable: answer_time::usable(target, reserve),
            enough_at: None,
        }
    }

    /// Sends the first attempt of each shard, to its best target.
    fn start(&mut self) {
        let now = self.context.clock.now();
        let best: Vec<Option<Arc<TargetHandle>>> = self
            .shards
            .iter()
            .map(|shard| shard.next_target(self.usual, now))
            .collect();
        if matches!(self.route.rule.destination, RouteDestination::Shards { .. }) {
            for group in group_plan::group(&self.shards, &best, self.usual, now) {
                // What can't be asked so is sent directly below.
                let _direct = self.ask(group, AskKind::Firsts, now);
            }
        }
        for (shard, target) in best.into_iter().enumerate() {
            if let Some(service) = &self.shards[shard].service {
                service.budget().note_request(now);
            }
            // Those that were asked through another front are under way.
            if !self.shards[shard].tried.is_empty() {
                continue;
            }
            self.context.metrics.observe_send(SendKind::First);
            if let Some(target) = target {
                self.send(shard, target, now);
            }
        }
    }

    async fn wait(&mut self) -> AnswerStep {
        loop {
            let now = self.context.clock.now();
            let count = self.count();
            if self.enough_at.is_none() && count.present >= count.least {
                self.enough_at = Some(now);
            }
            let until = match self.time.decide(count, now) {
                AnswerStep::Wait(until) => until,
                step => return step,
            };
            self.give_up_silent_asks(now);
            self.note_silence(now);
            self.leave_silent(now);
            self.hedge(now);
            let hedges = self.shards.iter().filter_map(|shard| shard.hedge_at);
            let until = hedges
                .chain(self.next_look(now))
                .chain(self.next_silence(now))
                .fold(until, TimePoint::min);
            tokio::select! {
                biased;
                Some(report) = self.attempts.next() => self.take_report(report),
                (place, news) = groups::next_news(&mut self.asks) => self.take_news(place, news),
                () = front_context::sleep_until(self.context.clock, until) => {
                    self.context.note_wake(until);
                }
            }
        }
    }

    fn count(&self) -> ShardCount {
        let all = self.shards.len();
        let least = match &self.route.rule.destination {
            RouteDestination::Shards { min_coverage, .. } => least_of(all, *min_coverage),
            _ => 1,
        };
        let present = self.shards.iter().filter(|shard| shard.part.is_some());
        let open = self.shards.iter().filter(|shard| shard.is_open());
        ShardCount {
            all,
            present: present.count(),
            open: open.count(),
            least,
        }
    }

    /// Asks another replica of each shard whose attempt is late, those in one other failure domain
    /// together.
    fn hedge(&mut self, now: TimePoint) {
        let mut chosen = Vec::new();
        for place in 0..self.shards.len() {
            let shard = &mut self.shards[place];
            if shard.hedge_at.is_none_or(|hedge_at| hedge_at > now) {
                continue;
            }
            shard.hedge_at = None;
            if shard.is_open()
                && let Some(target) = self.next_repeat(place, RepeatReason::Hedge, now)
            {
                chosen.push((place, target));
            }
        }
        let (groups, mut direct) = group_plan::split(chosen);
        for group in groups {
            direct.extend(self.ask(group, AskKind::Hedges, now));
        }
        for (place, target) in direct {
            self.send(place, target, now);
        }
    }

    fn take_report(&mut self, report: AttemptReport) {
        let now = self.context.clock.now();
        self.open.retain(|open| {
            open.shard != report.shard || !Arc::ptr_eq(&open.target, &report.target)
        });
        silence::note_end(&report, now);
        let shard = &mut self.shards[report.shard];
        if shard.has_left(&report.target) {
            if let AttemptEnd::Success(reply) = report.end {
                shard.part.get_or_insert(ShardPart::Own(reply));
            }
            return;
        }
        shard.open -= 1;
        let mut status = None;
        let fate = match report.end {
            AttemptEnd::Success(reply) => {
                self.route.state.note_time(report.took);
                shard.hedge_at = None;
                shard.part.get_or_insert(ShardPart::Own(reply));
                return;
            }
            AttemptEnd::Failure(reply) => {
                status = Some(reply.reply.status.as_u16());
                shard.failure = Some(reply);
                AttemptFate::Failed
            }
            AttemptEnd::NotRun => {
                shard.note_refused();
                shard.is_refused = true;
                AttemptFate::NotRun
            }
            AttemptEnd::WrongTarget => {
                shard.note_refused();
                // The target's process has ended, and its address belongs to another one.
                report.target.set_standing(TargetStanding::Leaving);
                AttemptFate::WrongTarget
            }
            AttemptEnd::Unreachable | AttemptEnd::Withdrawn => {
                shard.note_unsent();
                AttemptFate::Unreachable
            }
            AttemptEnd::Lost => {
                self.suspect_crash(report.shard, &report.target);
                AttemptFate::Lost
            }
        };
        self.note_lost(LostAttempt {
            target: report.target.entry().id.clone(),
            fate,
            status,
            age: report.took,
        });
        if self.shards[report.shard].part.is_none() && self.shards[report.shard].open == 0 {
            self.retry(report.shard, now);
        }
    }

    fn note_lost(&mut self, lost: LostAttempt) {
        self.context.metrics.observe_lost(lost.fate);
        self.lost.push(lost);
    }

    /// Asks one more replica of a shard after a failure, where route, budget and time allow it.
    fn retry(&mut self, shard: usize, now: TimePoint) {
        if let Some(target) = self.next_repeat(shard, RepeatReason::Retry, now) {
            self.send(shard, target, now);
        }
    }

    /// Gets the target that a shard is sent to once more, and takes the repeat from the budget; none
    /// where route, budget or time do not allow it.
    fn next_repeat(
        &self,
        shard: usize,
        reason: RepeatReason,
        now: TimePoint,
    ) -> Option<Arc<TargetHandle>> {
        let run = &self.shards[shard];
        let may_run_again = self.route.rule.is_idempotent || run.ran == 0;
        let is_used_up = run.counted() >= self.route.rule.max_targets;
        if !may_run_again || is_used_up || now >= self.time.ends_at {
            return None;
        }
        let service = run.service.as_ref()?;
        let target = run.next_target(self.usual, now)?;
        if reason == RepeatReason::Hedge && !self.is_in_time(&target, now) {
            return None;
        }
        // The first arrival at the service is no repeat.
        let is_repeat = run.has_arrived();
        let part = self.context.catalog.share().repeat_part();
        if is_repeat && !service.budget().take(reason, part, now) {
            self.context.metrics.refused_repeats.inc();
            return None;
        }
        self.context.metrics.observe_send(match reason {
            RepeatReason::Hedge => SendKind::Hedge,
            RepeatReason::Retry => SendKind::Retry,
        });
        Some(target)
    }

    /// Sends an attempt of a shard.
    fn send(&mut self, shard: usize, target: Arc<TargetHandle>, now: TimePoint) {
        let phase = AttemptPhase::default();
        self.open.push(OpenAttempt {
            shard,
            target: Arc::clone(&target),
            phase: phase.clone(),
            sent: now,
            is_missed: false,
        });
        let plan = self.plan(shard, &target, phase);
        let hedge_at = self.hedge_time().hedge_at(now);
        self.note_sent(shard, target, hedge_at, now);
        self.attempts.push(Box::pin(plan.run()));
    }

    /// Notes an attempt of a shard that is sent, by this front or through another one.
    fn note_sent(
        &mut self,
        shard: usize,
        target: Arc<TargetHandle>,
        hedge_at: TimePoint,
        now: TimePoint,
    ) {
        let rule = &self.route.rule;
        let run = &mut self.shards[shard];
        run.begin(target, now);
        let may_hedge = rule.is_idempotent && run.counted() < rule.max_targets;
        run.hedge_at = may_hedge.then_some(hedge_at);
        self.sent += 1;
    }

    fn is_in_time(&self, target: &TargetHandle, now: TimePoint) -> bool {
        let slots = target.entry().slots;
        let expected = target.gauge().expected(self.usual, slots, now);
        self.hedge_time().is_worth(expected, now)
    }

    const fn hedge_time(&self) -> HedgeTime {
        HedgeTime {
            answer_at: self.time.partial_at,
            usual: self.usual,
            late: self.late,
        }
    }

    /// Gets when an attempt that is sent now is of no more use.
    fn attempt_ends_at(&self) -> TimePoint {
        if self.shards.len() < 2 {
            return self.time.ends_at;
        }
        let target = self.route.rule.latency_target;
        hedge_time::attempt_ends(&self.time, target, self.context.clock.now())
    }

    fn plan(&self, shard: usize, target: &Arc<TargetHandle>, phase: AttemptPhase) -> AttemptPlan {
        AttemptPlan {
            shard,
            target: Arc::clone(target),
            call: Arc::clone(self.call),
            is_idempotent: self.route.rule.is_idempotent,
            ends_at: self.attempt_ends_at(),
            is_over: Arc::clone(&self.is_over),
            phase,
            usual: self.usual,
            dialect: Arc::clone(&self.context.dialect),
            clock: self.context.clock,
        }
    }
}

fn shards_of(view: &CatalogView, route: &LiveRoute) -> Vec<ShardRun> {
    let shard = |service: &str| ShardRun::new(view.services.get(service).cloned());
    match &route.rule.destination {
        RouteDestination::Service(service) => vec![shard(service)],
        RouteDestination::Split(parts) => {
            let weights: Vec<f64> = parts.iter().map(|part| part.weight).collect();
            let place = route.state.deal(&weights);
            let service = place.map(|place| parts[place].service.as_str());
            service.map(shard).into_iter().collect()
        }
        RouteDestination::Shards { services, .. } => {
            services.iter().map(|service| shard(service)).collect()
        }
    }
}

/// Gets the least number of shards that is at least this share of all.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share of a small count is a small positive number"
)]
fn least_of(all: usize, share: f64) -> usize {
    // A share such as 0.7 of 10 must not round up to 8 by the error of the product.
    ((all as f64 * share - 1e-9).ceil().max(1.0)) as usize
}
