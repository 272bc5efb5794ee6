//! A request on its way: its attempts, and when it is answered.
//!
//! A request to one service is a query with one shard: choice, hedges and retries are the same, only
//! the answer differs.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::answer_time::{AnswerStep, AnswerTime, ShardCount};
use alderhaven_policy::repeat_budget::RepeatReason;
use alderhaven_policy::top_records;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use log::Level;
use rand::RngExt;
use tokio::time;

use crate::attempt::{AttemptEnd, AttemptPlan, AttemptReport};
use crate::catalog_view::{CatalogView, LiveRoute};
use crate::front_answer::{FrontAnswer, PassedReply, RefusalReason};
use crate::front_context::{self, FrontContext};
use crate::front_event::{FrontEvent, LostAttempt, RequestEnd};
use crate::query_call::QueryCall;
use crate::route_destination::RouteDestination;
use crate::shard_run::ShardRun;
use crate::target_handle::{TargetHandle, TargetStanding};

/// The shortest time after which a caller should come back: a pause of a target is over by then.
const RETRY_AFTER_MIN: TimeSpan = TimeSpan::from_millis(60);
/// What is added to it at random, so that callers who were refused together come back one by one.
const RETRY_AFTER_SPREAD: TimeSpan = TimeSpan::from_millis(120);

/// The time that is left to a hedge, against the time that few attempts exceed.
const HEDGE_MARGIN: f64 = 2.0;

/// The time that a hedge must have left to be worth sending, against the usual time.
const HEDGE_ROOM: f64 = 1.3;

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
    is_over: Arc<AtomicBool>,
    sent: usize,
    lost: Vec<LostAttempt>,
}

impl<'a> QueryRun<'a> {
    /// Runs a request to its answer.
    pub async fn answer(
        context: &'a FrontContext,
        view: &CatalogView,
        route: &'a LiveRoute,
        call: &'a Arc<QueryCall>,
    ) -> FrontAnswer {
        let shards = shards_of(view, route);
        let mut run = Self::new(context, call, route, shards);
        run.start();
        let step = run.wait().await;
        run.finish(step)
    }

    fn new(
        context: &'a FrontContext,
        call: &'a Arc<QueryCall>,
        route: &'a LiveRoute,
        shards: Vec<ShardRun>,
    ) -> Self {
        let options = &context.options;
        let limit = call.time_left.min(route.rule.timeout);
        let target = route.rule.latency_target;
        let waited = route.state.waited(call.time_left, target, call.arrived);
        // The request's own way here counts as well as the answer's way back.
        let reserve = options.caller_path + options.caller_path + options.answer_work + waited;
        Self {
            context,
            call,
            route,
            time: AnswerTime::new(call.arrived, target, reserve, limit),
            usual: route.state.usual(target),
            late: route.state.late(target),
            shards,
            attempts: FuturesUnordered::new(),
            is_over: Arc::default(),
            sent: 0,
            lost: Vec::new(),
        }
    }

    /// Sends the first attempt of each shard.
    fn start(&mut self) {
        let now = self.context.clock.now();
        for shard in 0..self.shards.len() {
            if let Some(service) = &self.shards[shard].service {
                service.budget().note_request(now);
            }
            self.send(shard, now);
        }
    }

    async fn wait(&mut self) -> AnswerStep {
        loop {
            let now = self.context.clock.now();
            let until = match self.time.decide(self.count(), now) {
                AnswerStep::Wait(until) => until,
                step => return step,
            };
            self.hedge(now);
            let next_hedge = self.shards.iter().filter_map(|shard| shard.hedge_at).min();
            let until = next_hedge.map_or(until, |hedge_at| hedge_at.min(until));
            tokio::select! {
                biased;
                Some(report) = self.attempts.next() => self.take_report(report),
                () = front_context::sleep_until(self.context.clock, until) => {}
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

    /// Asks another replica of each shard whose attempt is late.
    fn hedge(&mut self, now: TimePoint) {
        for shard in 0..self.shards.len() {
            if self.shards[shard].hedge_at.is_none_or(|hedge_at| hedge_at > now) {
                continue;
            }
            self.shards[shard].hedge_at = None;
            if self.shards[shard].is_open() {
                self.repeat(shard, RepeatReason::Hedge, now);
            }
        }
    }

    fn take_report(&mut self, report: AttemptReport) {
        let now = self.context.clock.now();
        let shard = &mut self.shards[report.shard];
        shard.open -= 1;
        let fate = match report.end {
            AttemptEnd::Success(reply) => {
                self.route.state.note_time(report.took);
                shard.hedge_at = None;
                shard.part.get_or_insert(reply);
                return;
            }
            AttemptEnd::Failure(reply) => {
                shard.failure = Some(reply);
                "failed"
            }
            AttemptEnd::NotRun => {
                shard.ran -= 1;
                "not_run"
            }
            AttemptEnd::WrongTarget => {
                shard.ran -= 1;
                // The target's process has ended, and its address belongs to another one.
                report.target.set_standing(TargetStanding::Leaving);
                "wrong_target"
            }
            AttemptEnd::Unreachable => {
                shard.ran -= 1;
                "unreachable"
            }
            AttemptEnd::Lost => "lost",
        };
        self.lost.push(LostAttempt {
            target: report.target.entry().id.clone(),
            fate,
            age: report.took,
        });
        if self.shards[report.shard].part.is_none() && self.shards[report.shard].open == 0 {
            self.repeat(report.shard, RepeatReason::Retry, now);
        }
    }

    /// Asks one more replica of a shard, where route, budget and time allow it.
    fn repeat(&mut self, shard: usize, reason: RepeatReason, now: TimePoint) {
        let run = &self.shards[shard];
        let may_run_again = self.route.rule.is_idempotent || run.ran == 0;
        if !may_run_again || run.ran >= self.route.rule.max_targets || now >= self.time.ends_at {
            return;
        }
        let Some(service) = &run.service else {
            return;
        };
        if reason == RepeatReason::Hedge && !self.is_hedge_in_time(now) {
            return;
        }
        if service.choose(&run.tried, self.usual, now).is_none() {
            return;
        }
        let nodes = self.context.catalog.nodes();
        if service.budget().take(reason, nodes, now) {
            self.send(shard, now);
        }
    }

    /// Returns true where a hedge that is sent now can be answered while it is worth something.
    fn is_hedge_in_time(&self, now: TimePoint) -> bool {
        let room = self.usual.mul_f64(HEDGE_ROOM);
        now > self.time.partial_at || now + room < self.time.partial_at
    }

    /// Sends an attempt of a shard to the best replica that was not asked yet.
    fn send(&mut self, shard: usize, now: TimePoint) {
        let run = &self.shards[shard];
        let Some(service) = &run.service else {
            return;
        };
        let Some(target) = service.choose(&run.tried, self.usual, now).cloned() else {
            return;
        };
        let plan = self.plan(shard, &target);
        let hedge_at = self.hedge_at(now);
        let run = &mut self.shards[shard];
        run.tried.push(target);
        run.open += 1;
        run.ran += 1;
        let may_hedge = self.route.rule.is_idempotent && run.ran < self.route.rule.max_targets;
        run.hedge_at = may_hedge.then_some(hedge_at);
        self.sent += 1;
        self.attempts.push(Box::pin(plan.run()));
    }

    /// Gets when an attempt that is sent now should be hedged: as late as an answer of the hedge is
    /// still in time, so that only those are hedged which really need it.
    fn hedge_at(&self, now: TimePoint) -> TimePoint {
        let room = self.late.mul_f64(HEDGE_MARGIN);
        let latest = self.time.partial_at.since(now).saturating_sub(room);
        now + self.late.max(latest)
    }

    fn plan(&self, shard: usize, target: &Arc<TargetHandle>) -> AttemptPlan {
        AttemptPlan {
            shard,
            target: Arc::clone(target),
            call: Arc::clone(self.call),
            ends_at: self.time.ends_at,
            is_over: Arc::clone(&self.is_over),
            usual: self.usual,
            dialect: Arc::clone(&self.context.dialect),
            clock: self.context.clock,
        }
    }

    fn finish(mut self, step: AnswerStep) -> FrontAnswer {
        self.is_over.store(true, Ordering::Relaxed);
        self.let_linger();
        let answer = match step {
            AnswerStep::Answer | AnswerStep::Wait(_) => self.success(),
            AnswerStep::GiveUp => self.failure(false),
            AnswerStep::TimeUp => self.failure(true),
        };
        self.report(&answer);
        answer
    }

    /// Lets the attempts that are still out go on for a while, so that their connections are kept.
    fn let_linger(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let mut attempts = std::mem::take(&mut self.attempts);
        let linger = self.context.options.linger.as_duration();
        let state = Arc::clone(&self.route.state);
        tokio::spawn(async move {
            let drain = async {
                while let Some(report) = attempts.next().await {
                    if matches!(report.end, AttemptEnd::Success(_)) {
                        state.note_time(report.took);
                    }
                }
            };
            let _is_over = time::timeout(linger, drain).await;
        });
    }

    fn success(&mut self) -> FrontAnswer {
        let RouteDestination::Shards { records, .. } = self.route.rule.destination else {
            let part = self.shards.iter_mut().find_map(|shard| shard.part.take());
            return part.map_or_else(
                || FrontAnswer::Unknown { is_late: false },
                |part| FrontAnswer::Passed(part.reply),
            );
        };
        let parts: Vec<_> = self
            .shards
            .iter()
            .filter_map(|shard| shard.part.as_ref())
            .collect();
        let bodies = parts.iter().map(|part| &part.reply.body);
        FrontAnswer::Gathered {
            proofs: parts.iter().filter_map(|part| part.proof.clone()).collect(),
            missing: self.shards.len() - parts.len(),
            records: top_records::greatest(bodies, records),
        }
    }

    fn failure(&mut self, is_late: bool) -> FrontAnswer {
        let has_run = self.shards.iter().any(|shard| shard.ran > 0);
        if !has_run {
            let is_asked = self.shards.iter().any(|shard| !shard.tried.is_empty());
            return FrontAnswer::NotRun {
                reason: if is_asked {
                    RefusalReason::Refused
                } else {
                    RefusalReason::NoTarget
                },
                retry_after: retry_after(),
            };
        }
        let is_gathered = matches!(self.route.rule.destination, RouteDestination::Shards { .. });
        let failure = self.shards.iter_mut().find_map(|shard| shard.failure.take());
        match failure {
            Some(failure) if !is_gathered => FrontAnswer::Passed(failure.reply),
            _ => FrontAnswer::Unknown { is_late },
        }
    }

    fn report(&self, answer: &FrontAnswer) {
        let end = match answer {
            FrontAnswer::Gathered { missing: 0, .. } => return,
            FrontAnswer::Gathered { .. } => RequestEnd::Partial,
            FrontAnswer::Passed(PassedReply { status, .. }) if status.is_success() => return,
            FrontAnswer::Passed(_) => RequestEnd::TargetFailed,
            FrontAnswer::NotRun { .. } => RequestEnd::NotRun,
            FrontAnswer::Unknown { is_late: true } => RequestEnd::TimeUp,
            FrontAnswer::Unknown { .. } | FrontAnswer::BadRequest(_) => RequestEnd::Unknown,
        };
        FrontEvent::RequestEnded {
            request: self.call.request_id.to_string(),
            route: self.route.rule.name.clone(),
            version: self.route.version,
            end,
            took_ms: self.context.clock.now().since(self.call.arrived).as_millis(),
            shards: self.shards.len(),
            present: self.count().present,
            attempts: self.sent,
            lost: self.lost.clone(),
        }
        .emit(Level::Info);
    }
}

/// Gets when a caller that was refused should come back.
#[must_use]
pub fn retry_after() -> TimeSpan {
    let spread: f64 = rand::rng().random_range(0.0..1.0);
    RETRY_AFTER_MIN + RETRY_AFTER_SPREAD.mul_f64(spread)
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
