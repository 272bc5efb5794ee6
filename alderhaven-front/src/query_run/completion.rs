//! Builds the answer of a request and records its outcome in metrics and log.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::answer_time::AnswerStep;
use alderhaven_policy::concurrency_limit::QuerySignal;
use alderhaven_policy::query_gate::{GateReason, GateRefusal};
use alderhaven_policy::top_records;
use futures::StreamExt;
use log::Level;
use rand::RngExt;
use tokio::time;

use crate::attempt::AttemptOutcome;
use crate::catalog_view::LiveRoute;
use crate::event_log;
use crate::front_answer::{ForwardedReply, FrontAnswer, RefusalReason};
use crate::front_context::FrontContext;
use crate::front_event::{FrontEvent, RequestOutcome, UnansweredAttempt};
use crate::front_metrics::{AdmissionResult, QueryShape, UnansweredReason};
use crate::query_call::QueryCall;
use crate::query_run::QueryRun;
use crate::request_refusal::RequestRefusal;
use crate::route_destination::RouteDestination;
use crate::shard_reply::ShardReply;

/// The shortest `Retry-After` of a request that no target ran.
const RETRY_AFTER_MIN: TimeSpan = TimeSpan::from_millis(60);
/// Upper bound of the random delay added to [`RETRY_AFTER_MIN`], which spreads the retries of
/// callers that were refused together.
const RETRY_AFTER_JITTER: TimeSpan = TimeSpan::from_millis(120);

/// Random factor on the retry delay of an admission refusal, which spreads the retries of callers
/// that were refused together.
const REFUSAL_JITTER_FACTOR: std::ops::Range<f64> = 0.5..1.5;

impl QueryRun<'_> {
    pub(super) fn finish(mut self, step: AnswerStep) -> FrontAnswer {
        self.is_request_finished.store(true, Ordering::Relaxed);
        self.drain_attempts();
        let answer = match step {
            AnswerStep::Answer | AnswerStep::Wait(_) => self.success_answer(),
            AnswerStep::GiveUp => self.failure_answer(false),
            AnswerStep::TimeUp => self.failure_answer(true),
        };
        if matches!(
            answer,
            FrontAnswer::Gathered { .. } | FrontAnswer::Forwarded(_)
        ) {
            self.record.mark_complete();
        }
        self.report_outcome(self.request_outcome(&answer));
        answer
    }

    /// Lets unfinished attempts run in the background until the drain timeout, so that their
    /// connections can be reused.
    pub(super) fn drain_attempts(&mut self) {
        for request in &mut self.group_requests {
            request.call.mark_answered();
        }
        if self.attempts.is_empty() {
            return;
        }
        let mut attempts = std::mem::take(&mut self.attempts);
        let drain_timeout = self.context.options.drain_timeout.as_duration();
        let state = Arc::clone(&self.route.state);
        tokio::spawn(async move {
            let drain = async {
                while let Some(report) = attempts.next().await {
                    if matches!(report.outcome, AttemptOutcome::Success(_)) {
                        state.record_latency(report.elapsed);
                    }
                }
            };
            let _finished = time::timeout(drain_timeout, drain).await;
        });
    }

    pub(super) fn success_answer(&mut self) -> FrontAnswer {
        let RouteDestination::Shards { records, .. } = self.route.rule.destination else {
            let reply = self.shards.iter_mut().find_map(|shard| shard.reply.take());
            return match reply {
                Some(ShardReply::Single(reply)) => FrontAnswer::Forwarded(reply.reply),
                Some(ShardReply::Merged { .. }) | None => FrontAnswer::Unknown {
                    is_timed_out: false,
                },
            };
        };
        let replies: Vec<&ShardReply> = self
            .shards
            .iter()
            .filter_map(|shard| shard.reply.as_ref())
            .collect();
        let single_bodies = replies.iter().filter_map(|reply| match reply {
            ShardReply::Single(reply) => Some(reply.reply.body.bytes()),
            ShardReply::Merged { .. } => None,
        });
        FrontAnswer::Gathered {
            proofs: replies
                .iter()
                .filter_map(|reply| reply.proof().cloned())
                .collect(),
            missing: self.shards.len() - replies.len(),
            records: top_records::greatest_records(
                single_bodies.chain(&self.merged_blocks),
                records,
            ),
        }
    }

    /// Cancels the attempts that have sent nothing. They do not count as possible runs.
    fn cancel_unsent(&mut self) {
        for open in self.open_attempts.drain(..) {
            if open.phase.cancel() {
                self.shards[open.shard].record_unsent();
            }
        }
    }

    pub(super) fn failure_answer(&mut self, is_timed_out: bool) -> FrontAnswer {
        self.cancel_unsent();
        let may_have_run = self.shards.iter().any(|shard| shard.possible_runs > 0);
        if !may_have_run {
            let has_sent = self.shards.iter().any(|shard| !shard.tried.is_empty());
            if let Some(retry_after) = self.quarantine_span() {
                return FrontAnswer::NotRun {
                    reason: RefusalReason::Crashes,
                    retry_after,
                };
            }
            return FrontAnswer::NotRun {
                reason: if has_sent {
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
            Some(failure) if !is_gathered => FrontAnswer::Forwarded(failure.reply),
            _ => FrontAnswer::Unknown { is_timed_out },
        }
    }

    fn request_outcome(&self, answer: &FrontAnswer) -> RequestOutcome {
        match answer {
            FrontAnswer::Gathered { missing: 0, .. } => RequestOutcome::Complete,
            FrontAnswer::Gathered { missing, .. } => {
                self.context.metrics.missing_parts.inc_by(*missing as u64);
                RequestOutcome::Partial
            }
            FrontAnswer::Forwarded(ForwardedReply { status, .. }) if status.is_success() => {
                RequestOutcome::Complete
            }
            FrontAnswer::Forwarded(_) => RequestOutcome::TargetFailed,
            FrontAnswer::NotRun { .. } | FrontAnswer::OverLimit { .. } => RequestOutcome::NotRun,
            FrontAnswer::Unknown { is_timed_out: true } => RequestOutcome::TimeUp,
            FrontAnswer::Unknown { .. } | FrontAnswer::BadRequest(_) => RequestOutcome::Unknown,
        }
    }

    /// Records the outcome in the metrics, and logs it. Complete requests are logged as a sample
    /// only.
    pub(super) fn report_outcome(&mut self, outcome: RequestOutcome) {
        self.is_reported = true;
        self.record_signal();
        let shape = match self.route.rule.destination {
            RouteDestination::Shards { .. } => QueryShape::Gathered,
            _ => QueryShape::Single,
        };
        let now = self.context.clock.now();
        let elapsed = now.since(self.call.arrived_at);
        self.context
            .metrics
            .observe_request(shape, outcome, elapsed);
        if outcome == RequestOutcome::Complete && !event_log::sample_success() {
            return;
        }
        let build = || self.ended_event(outcome, now);
        event_log::write_with(Level::Info, outcome.kind(), build);
    }

    /// Passes the capacity signal of the query on to its permit.
    fn record_signal(&mut self) {
        let signal = self.query_signal();
        if let Some(permit) = &mut self.permit {
            permit.record_signal(signal);
        }
    }

    fn query_signal(&self) -> QuerySignal {
        // Measured against the time of a caller without prior delay: a late caller says nothing
        // about capacity and must not lower the concurrency limit.
        let usable_seconds = self.usable_time.as_secs_f64();
        if let Some(reached_at) = self.min_coverage_at {
            let elapsed_seconds = reached_at.since(self.started_at).as_secs_f64();
            return QuerySignal::EnoughShards(elapsed_seconds / usable_seconds.max(1e-3));
        }
        // Only shards that were refused or are still running indicate missing capacity, not those
        // whose targets are gone or fail.
        let count = self.count_shards();
        let missing = self.shards.iter().filter(|shard| shard.reply.is_none());
        let delayed = missing
            .filter(|shard| shard.is_refused || shard.open_attempts > 0)
            .count();
        if count.answered + delayed >= count.required {
            QuerySignal::TimedOut
        } else {
            QuerySignal::Uninformative
        }
    }

    fn ended_event(&self, outcome: RequestOutcome, now: TimePoint) -> FrontEvent {
        let mut unanswered = self.unanswered_attempts.clone();
        let mut present = self.shards.len();
        // A complete answer has taken the replies out of the shards, and lacks none.
        if outcome != RequestOutcome::Complete {
            unanswered.extend(self.unanswered_attempts(now));
            present = self.count_shards().answered;
        }
        FrontEvent::RequestEnded {
            request: self.call.request_id.to_string(),
            fingerprint: self.call.fingerprint().to_string(),
            route: self.route.rule.name.clone(),
            version: self.route.version,
            team: self.call.identity.team().map(|team| team.name.clone()),
            end: outcome,
            took_ms: now.since(self.call.arrived_at).as_millis(),
            shards: self.shards.len(),
            present,
            attempts: self.attempts_sent,
            is_idempotent: self.route.rule.is_idempotent,
            lost: unanswered,
            without_target: self.services_without_target(),
        }
    }

    /// Returns the unfinished attempts of shards without a reply.
    fn unanswered_attempts(&self, now: TimePoint) -> Vec<UnansweredAttempt> {
        let missing = self.shards.iter().filter(|shard| shard.reply.is_none());
        let tried = missing.flat_map(|shard| shard.tried.iter().zip(&shard.sent_at));
        let open = tried.map(|(target, sent)| UnansweredAttempt {
            target: target.entry().id.clone(),
            reason: UnansweredReason::Open,
            status: None,
            age: now.since(*sent),
        });
        open.filter(|open| {
            self.unanswered_attempts
                .iter()
                .all(|ended| ended.target != open.target)
        })
        .collect()
    }

    fn services_without_target(&self) -> Vec<String> {
        let destination = &self.route.rule.destination;
        let shards = self.shards.iter().zip(destination.services());
        let untried = shards.filter(|(shard, _)| shard.tried.is_empty());
        untried
            .filter_map(|(shard, service)| match (&shard.service, destination) {
                (Some(known), _) => Some(known.name.clone()),
                // The service that a split chose does not follow from the index of the shard.
                (None, RouteDestination::Split(_)) => None,
                (None, _) => Some(service.to_owned()),
            })
            .collect()
    }
}

/// Returns the result that is counted for a refusal.
pub(super) const fn admission_result(reason: GateReason) -> AdmissionResult {
    match reason {
        GateReason::NoRoom => AdmissionResult::NoRoom,
        GateReason::Outranked => AdmissionResult::Outranked,
        GateReason::WaitOver => AdmissionResult::WaitOver,
    }
}

/// Builds the answer to a query that was not admitted, and records the refusal.
pub(super) fn refuse(
    context: &FrontContext,
    route: &LiveRoute,
    call: &QueryCall,
    refusal: GateRefusal,
) -> FrontAnswer {
    let reason = match refusal.reason {
        GateReason::NoRoom => RefusalReason::NoRoom,
        GateReason::Outranked => RefusalReason::Outranked,
        GateReason::WaitOver => RefusalReason::WaitOver,
    };
    let jitter: f64 = rand::rng().random_range(REFUSAL_JITTER_FACTOR);
    let retry_after = refusal.retry_after.mul_f64(jitter);
    RequestRefusal::of_call(call, route, reason, retry_after)
        .answer_not_run(&context.metrics, Level::Info)
}

/// Returns the retry delay of a request that no target ran.
fn retry_after() -> TimeSpan {
    let jitter: f64 = rand::rng().random_range(0.0..1.0);
    RETRY_AFTER_MIN + RETRY_AFTER_JITTER.mul_f64(jitter)
}
