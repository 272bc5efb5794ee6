//! A request on its way: its attempts, and when it is answered.
//!
//! A request to one service is a query with one shard: choice, hedges and retries are the same, only
//! the answer differs.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_peer::group_messages::{GroupAsk, GroupEnd, GroupOutcome, GroupReply, HeaderField};
use alderhaven_policy::answer_time::{AnswerStep, AnswerTime, ShardCount};
use alderhaven_policy::repeat_budget::RepeatReason;
use alderhaven_policy::replica_gauge::AttemptResult;
use alderhaven_policy::top_records;
use bytes::Bytes;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use http::HeaderValue;
use log::Level;
use rand::RngExt;
use tokio::time;

use crate::attempt::{AttemptEnd, AttemptPlan, AttemptReport};
use crate::catalog_view::{CatalogView, LiveRoute};
use crate::front_answer::{FrontAnswer, PassedReply, RefusalReason};
use crate::front_context::{self, FrontContext};
use crate::front_event::{FrontEvent, LostAttempt, RequestEnd};
use crate::front_metrics::{AttemptFate, QueryShape, SendKind};
use crate::group_links::{GroupNews, GroupTicket};
use crate::group_plan::{self, ShardGroup};
use crate::query_call::QueryCall;
use crate::route_destination::RouteDestination;
use crate::shard_part::ShardPart;
use crate::shard_run::ShardRun;
use crate::target_handle::{TargetHandle, TargetStanding};

/// The shortest time after which a caller should come back: a pause of a target is over by then.
const RETRY_AFTER_MIN: TimeSpan = TimeSpan::from_millis(60);
/// What is added to it at random, so that callers who were refused together come back one by one.
const RETRY_AFTER_SPREAD: TimeSpan = TimeSpan::from_millis(120);

/// How long before its hedges a query wants the replies of another front: the way between failure
/// domains, and the work at both ends.
const FLUSH_LEAD: TimeSpan = TimeSpan::from_millis(3);

/// How long after its hedges a query takes the silence of another front for a lost one. Two such
/// waits fit into the time after a hedge of the tightest routes.
const FLUSH_LATE: TimeSpan = TimeSpan::from_millis(60);

/// The time that is left to a hedge, against the time that few attempts exceed.
const HEDGE_MARGIN: f64 = 2.0;

/// The time that a hedge must have left to be worth sending, against the usual time.
const HEDGE_ROOM: f64 = 1.5;

/// The part of the latency target beyond the moment of the answer for which attempts at shards go on.
const PART_SPARE: f64 = 0.05;

/// What is added to it: the work of sending it and of reading the reply on a part of a core.
const HEDGE_WORK: TimeSpan = TimeSpan::from_millis(2);

/// The least time before a hedge, against the usual time: half of all attempts answer by then.
const HEDGE_LEAST: f64 = 1.2;

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
    asks: Vec<GroupQuery>,
    blocks: Vec<Bytes>,
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
        let way = options.caller_path + options.caller_path;
        // The request may have waited as long to be seen as the answer will wait to be sent.
        let lag = context.wake_lag();
        let reserve = way + options.answer_work + lag + lag + waited;
        Self {
            context,
            call,
            route,
            time: AnswerTime::new(call.arrived, target, reserve, limit),
            usual: route.state.usual(target),
            late: route.state.late(target),
            shards,
            attempts: FuturesUnordered::new(),
            asks: Vec::new(),
            blocks: Vec::new(),
            is_over: Arc::default(),
            sent: 0,
            lost: Vec::new(),
        }
    }

    /// Sends the first attempt of each shard.
    fn start(&mut self) {
        let now = self.context.clock.now();
        if matches!(self.route.rule.destination, RouteDestination::Shards { .. }) {
            for group in group_plan::group(&self.shards, self.usual, now) {
                self.ask(group, now);
            }
        }
        for shard in 0..self.shards.len() {
            if let Some(service) = &self.shards[shard].service {
                service.budget().note_request(now);
            }
            if self.shards[shard].tried.is_empty() {
                self.context.metrics.observe_send(SendKind::First);
                self.send(shard, now);
            }
        }
    }

    /// Asks a group of shards through a front of their targets' failure domain; where none is
    /// connected they are left to be asked directly.
    fn ask(&mut self, group: ShardGroup, now: TimePoint) {
        let hedge_at = self.hedge_at(now);
        let ask = self.group_ask(&group, hedge_at, now);
        let Some(ticket) = self.context.links.ask(&group.domain, ask) else {
            return;
        };
        let may_hedge = self.route.rule.max_targets > 1;
        for (place, target) in &group.shards {
            let shard = &mut self.shards[*place];
            shard.tried.push(Arc::clone(target));
            shard.open += 1;
            shard.ran += 1;
            shard.hedge_at = may_hedge.then_some(hedge_at);
            self.context.metrics.observe_send(SendKind::Relayed);
            self.sent += 1;
        }
        self.asks.push(GroupQuery {
            ticket,
            shards: group.shards.into_iter().map(Some).collect(),
            sent: now,
            due_at: hedge_at,
        });
    }

    fn group_ask(&self, group: &ShardGroup, hedge_at: TimePoint, now: TimePoint) -> GroupAsk {
        let RouteDestination::Shards { records, .. } = self.route.rule.destination else {
            return GroupAsk::default();
        };
        let head = &self.call.head;
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let fields = head.headers.iter().map(|(name, value)| HeaderField {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
        let targets = group
            .shards
            .iter()
            .map(|(_, target)| target.entry().id.clone());
        GroupAsk {
            number: 0,
            sent_us: 0,
            method: head.method.as_str().to_owned(),
            path: path.to_owned(),
            headers: fields.collect(),
            body: self.call.body.clone(),
            request_id: self.call.request_id.to_string(),
            targets: targets.collect(),
            records: u32::try_from(records).unwrap_or(u32::MAX),
            flush_us: hedge_at.since(now).saturating_sub(FLUSH_LEAD).as_micros(),
            remaining_us: self.part_ends_at().since(now).as_micros(),
            usual_us: self.usual.as_micros(),
        }
    }

    async fn wait(&mut self) -> AnswerStep {
        loop {
            let now = self.context.clock.now();
            let until = match self.time.decide(self.count(), now) {
                AnswerStep::Wait(until) => until,
                step => return step,
            };
            self.give_up_silent_asks(now);
            self.hedge(now);
            let next_hedge = self.shards.iter().filter_map(|shard| shard.hedge_at).min();
            let until = next_hedge.map_or(until, |hedge_at| hedge_at.min(until));
            tokio::select! {
                biased;
                Some(report) = self.attempts.next() => self.take_report(report),
                (place, news) = next_news(&mut self.asks) => self.take_news(place, news),
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

    /// Gives up the links whose fronts have said nothing although their flush is overdue.
    fn give_up_silent_asks(&self, now: TimePoint) {
        for ask in &self.asks {
            let is_silent = ask.shards.iter().all(Option::is_some);
            if is_silent && now >= ask.due_at + FLUSH_LATE {
                ask.ticket.missed();
            }
        }
    }

    /// Asks another replica of each shard whose attempt is late.
    fn hedge(&mut self, now: TimePoint) {
        for shard in 0..self.shards.len() {
            if self.shards[shard]
                .hedge_at
                .is_none_or(|hedge_at| hedge_at > now)
            {
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
                shard.part.get_or_insert(ShardPart::Own(reply));
                return;
            }
            AttemptEnd::Failure(reply) => {
                shard.failure = Some(reply);
                AttemptFate::Failed
            }
            AttemptEnd::NotRun => {
                shard.ran -= 1;
                AttemptFate::NotRun
            }
            AttemptEnd::WrongTarget => {
                shard.ran -= 1;
                // The target's process has ended, and its address belongs to another one.
                report.target.set_standing(TargetStanding::Leaving);
                AttemptFate::WrongTarget
            }
            AttemptEnd::Unreachable | AttemptEnd::Withdrawn => {
                shard.ran -= 1;
                AttemptFate::Unreachable
            }
            AttemptEnd::Lost => AttemptFate::Lost,
        };
        self.note_lost(LostAttempt {
            target: report.target.entry().id.clone(),
            fate,
            age: report.took,
        });
        if self.shards[report.shard].part.is_none() && self.shards[report.shard].open == 0 {
            self.repeat(report.shard, RepeatReason::Retry, now);
        }
    }

    fn take_news(&mut self, place: usize, news: GroupNews) {
        match news {
            GroupNews::Reply(reply) => self.take_group_reply(place, reply),
            GroupNews::Lost => self.lose_ask(place),
        }
    }

    /// Takes over the ends of attempts that another front made, and the records that it merged.
    fn take_group_reply(&mut self, place: usize, reply: GroupReply) {
        let now = self.context.clock.now();
        let ask = &mut self.asks[place];
        let mut ended = Vec::with_capacity(reply.ends.len());
        for end in reply.ends {
            let slot = usize::try_from(end.place).unwrap_or(usize::MAX);
            if let Some(shard) = ask.shards.get_mut(slot).and_then(Option::take) {
                ended.push((shard, end));
            }
        }
        ask.note_late(self.usual, now);
        let answered = |end: &GroupEnd| end.outcome() == GroupOutcome::Answered;
        // Records of a shard that is in another block already would count twice.
        let is_doubled = ended.iter().any(|((shard, _), end)| {
            let part = &self.shards[*shard].part;
            answered(end) && matches!(part, Some(ShardPart::Merged { .. }))
        });
        let block = self.blocks.len();
        if !is_doubled {
            self.blocks.push(reply.records);
        }
        for ((shard, target), end) in ended {
            self.shards[shard].open -= 1;
            let took = TimeSpan::from_micros(end.took_us);
            if !answered(&end) {
                self.lose_attempt(shard, &target, end.outcome(), took, now);
                continue;
            }
            let sent = TimePoint::START + now.since(TimePoint::START).saturating_sub(took);
            target
                .gauge()
                .end(sent, self.usual, AttemptResult::Answered, now);
            self.route.state.note_time(took);
            let proof = HeaderValue::from_maybe_shared(end.proof);
            if let Ok(proof) = proof
                && !is_doubled
            {
                self.shards[shard].hedge_at = None;
                // The block holds the shard's records: a reply to a hedge gives way to it.
                self.shards[shard].part = Some(ShardPart::Merged { block, proof });
            }
        }
    }

    /// Notes an attempt through another front that brought no answer.
    fn lose_attempt(
        &mut self,
        place: usize,
        target: &Arc<TargetHandle>,
        outcome: GroupOutcome,
        took: TimeSpan,
        now: TimePoint,
    ) {
        let sent = TimePoint::START + now.since(TimePoint::START).saturating_sub(took);
        target
            .gauge()
            .end(sent, self.usual, AttemptResult::Failed, now);
        let shard = &mut self.shards[place];
        if outcome == GroupOutcome::NotRun {
            shard.ran -= 1;
        }
        self.note_lost(LostAttempt {
            target: target.entry().id.clone(),
            fate: match outcome {
                GroupOutcome::NotRun => AttemptFate::NotRun,
                GroupOutcome::Failed => AttemptFate::Failed,
                GroupOutcome::Lost | GroupOutcome::Answered => AttemptFate::Lost,
            },
            age: took,
        });
        let shard = &self.shards[place];
        if shard.part.is_none() && shard.open == 0 {
            self.repeat(place, RepeatReason::Retry, now);
        }
    }

    fn note_lost(&mut self, lost: LostAttempt) {
        self.context.metrics.observe_lost(lost.fate);
        self.lost.push(lost);
    }

    /// Ends the attempts of an ask whose connection is lost.
    fn lose_ask(&mut self, place: usize) {
        let now = self.context.clock.now();
        let shards: Vec<_> = self.asks[place]
            .shards
            .iter_mut()
            .filter_map(Option::take)
            .collect();
        for (shard, target) in shards {
            self.shards[shard].open -= 1;
            self.note_lost(LostAttempt {
                target: target.entry().id.clone(),
                fate: AttemptFate::LinkLost,
                age: now.since(self.asks[place].sent),
            });
            let run = &self.shards[shard];
            if run.part.is_none() && run.open == 0 {
                self.repeat(shard, RepeatReason::Retry, now);
            }
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
        let Some(target) = service.choose(&run.tried, self.usual, now) else {
            return;
        };
        if reason == RepeatReason::Hedge && !self.is_hedge_in_time(target, now) {
            return;
        }
        let part = self.context.catalog.share().part();
        let may_repeat = service.budget().take(reason, part, now);
        if !may_repeat {
            self.context.metrics.refused_repeats.inc();
            return;
        }
        self.context.metrics.observe_send(match reason {
            RepeatReason::Hedge => SendKind::Hedge,
            RepeatReason::Retry => SendKind::Retry,
        });
        self.send(shard, now);
    }

    /// Returns true where a hedge to this target can be answered while it is worth something: the
    /// budget is for those.
    fn is_hedge_in_time(&self, target: &TargetHandle, now: TimePoint) -> bool {
        let expected = target
            .gauge()
            .expected(self.usual, target.entry().slots, now);
        now > self.time.partial_at || now + expected < self.time.partial_at
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
        let left = self.time.partial_at.since(now);
        let latest = left.saturating_sub(self.late.mul_f64(HEDGE_MARGIN));
        let last = left.saturating_sub(self.usual.mul_f64(HEDGE_ROOM) + HEDGE_WORK);
        let soonest = self.usual.mul_f64(HEDGE_LEAST);
        now + self.late.max(latest).min(last).max(soonest)
    }

    /// Gets when an attempt at a shard is of no more use.
    fn part_ends_at(&self) -> TimePoint {
        if self.shards.len() < 2 || self.context.clock.now() >= self.time.partial_at {
            return self.time.ends_at;
        }
        let spare = self.route.rule.latency_target.mul_f64(PART_SPARE);
        (self.time.partial_at + spare).min(self.time.ends_at)
    }

    fn plan(&self, shard: usize, target: &Arc<TargetHandle>) -> AttemptPlan {
        AttemptPlan {
            shard,
            target: Arc::clone(target),
            call: Arc::clone(self.call),
            is_idempotent: self.route.rule.is_idempotent,
            ends_at: self.part_ends_at(),
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
        for ask in &mut self.asks {
            ask.ticket.answered();
        }
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
            return match part {
                Some(ShardPart::Own(part)) => FrontAnswer::Passed(part.reply),
                Some(ShardPart::Merged { .. }) | None => FrontAnswer::Unknown { is_late: false },
            };
        };
        let parts: Vec<&ShardPart> = self
            .shards
            .iter()
            .filter_map(|shard| shard.part.as_ref())
            .collect();
        let own = parts.iter().filter_map(|part| match part {
            ShardPart::Own(reply) => Some(&reply.reply.body),
            ShardPart::Merged { .. } => None,
        });
        FrontAnswer::Gathered {
            proofs: parts
                .iter()
                .filter_map(|part| part.proof().cloned())
                .collect(),
            missing: self.shards.len() - parts.len(),
            records: top_records::greatest(own.chain(&self.blocks), records),
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
        let failure = self
            .shards
            .iter_mut()
            .find_map(|shard| shard.failure.take());
        match failure {
            Some(failure) if !is_gathered => FrontAnswer::Passed(failure.reply),
            _ => FrontAnswer::Unknown { is_late },
        }
    }

    fn report(&self, answer: &FrontAnswer) {
        let end = match answer {
            FrontAnswer::Gathered { missing: 0, .. } => RequestEnd::Complete,
            FrontAnswer::Gathered { missing, .. } => {
                self.context.metrics.missing_parts.inc_by(*missing as u64);
                RequestEnd::Partial
            }
            FrontAnswer::Passed(PassedReply { status, .. }) if status.is_success() => {
                RequestEnd::Complete
            }
            FrontAnswer::Passed(_) => RequestEnd::TargetFailed,
            FrontAnswer::NotRun { .. } => RequestEnd::NotRun,
            FrontAnswer::Unknown { is_late: true } => RequestEnd::TimeUp,
            FrontAnswer::Unknown { .. } | FrontAnswer::BadRequest(_) => RequestEnd::Unknown,
        };
        let shape = match self.route.rule.destination {
            RouteDestination::Shards { .. } => QueryShape::Gathered,
            _ => QueryShape::Single,
        };
        let took = self.context.clock.now().since(self.call.arrived);
        self.context.metrics.observe_request(shape, end, took);
        if end == RequestEnd::Complete {
            return;
        }
        FrontEvent::RequestEnded {
            request: self.call.request_id.to_string(),
            route: self.route.rule.name.clone(),
            version: self.route.version,
            end,
            took_ms: took.as_millis(),
            shards: self.shards.len(),
            present: self.count().present,
            attempts: self.sent,
            lost: self.lost.clone(),
        }
        .emit(Level::Info);
    }
}

/// An ask of a query that is open at another front.
struct GroupQuery {
    ticket: GroupTicket,
    /// The shards with their targets; none where the attempt has ended.
    shards: Vec<Option<(usize, Arc<TargetHandle>)>>,
    sent: TimePoint,
    /// When its first reply is due.
    due_at: TimePoint,
}

impl GroupQuery {
    /// Notes at the targets that have not answered how long they have been out.
    fn note_late(&self, usual: TimeSpan, now: TimePoint) {
        for (_, target) in self.shards.iter().flatten() {
            target
                .gauge()
                .end(self.sent, usual, AttemptResult::CalledOff, now);
        }
    }
}

/// Waits for what is heard of any ask; for ever where there is none.
async fn next_news(asks: &mut [GroupQuery]) -> (usize, GroupNews) {
    std::future::poll_fn(|context| {
        for (place, ask) in asks.iter_mut().enumerate() {
            if let std::task::Poll::Ready(Some(news)) = ask.ticket.news.poll_recv(context) {
                return std::task::Poll::Ready((place, news));
            }
        }
        std::task::Poll::Pending
    })
    .await
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
