//! What a request is answered, and what is noted of it.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::answer_time::AnswerStep;
use alderhaven_policy::query_gate::{GateReason, GateRefusal};
use alderhaven_policy::room_limit::QueryNeed;
use alderhaven_policy::top_records;
use futures::StreamExt;
use log::Level;
use rand::RngExt;
use tokio::time;

use crate::attempt::AttemptEnd;
use crate::event_log;
use crate::front_answer::{FrontAnswer, PassedReply, RefusalReason};
use crate::front_context::FrontContext;
use crate::front_event::{FrontEvent, LostAttempt, RequestEnd};
use crate::front_metrics::{AttemptFate, QueryShape};
use crate::query_call::QueryCall;
use crate::query_run::QueryRun;
use crate::route_destination::RouteDestination;
use crate::shard_part::ShardPart;

/// The shortest time after which a caller should come back.
const RETRY_AFTER_MIN: TimeSpan = TimeSpan::from_millis(60);
/// What is added to it at random, so that callers who were refused together come back one by one.
const RETRY_AFTER_SPREAD: TimeSpan = TimeSpan::from_millis(120);

/// What the time to come back after a refusal for want of room is spread over, so that callers who were
/// refused together come back one by one.
const ROOM_SPREAD: std::ops::Range<f64> = 0.5..1.5;

impl QueryRun<'_> {
    pub(super) fn finish(mut self, step: AnswerStep) -> FrontAnswer {
        self.is_over.store(true, Ordering::Relaxed);
        self.let_linger();
        self.look_for_crashes();
        let answer = match step {
            AnswerStep::Answer | AnswerStep::Wait(_) => {
                self.clear_strikes();
                self.success()
            }
            AnswerStep::GiveUp => self.failure(false),
            AnswerStep::TimeUp => self.failure(true),
        };
        self.report(self.end_of(&answer));
        answer
    }

    /// Lets the attempts that are still out go on for a while, so that their connections are kept.
    pub(super) fn let_linger(&mut self) {
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

    pub(super) fn success(&mut self) -> FrontAnswer {
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

    /// Calls off the attempts that have sent nothing yet: the request has not run there.
    fn call_off_unsent(&mut self) {
        for open in self.open.drain(..) {
            if open.phase.call_off() {
                self.shards[open.shard].note_unsent();
            }
        }
    }

    pub(super) fn failure(&mut self, is_late: bool) -> FrontAnswer {
        self.call_off_unsent();
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

    fn end_of(&self, answer: &FrontAnswer) -> RequestEnd {
        match answer {
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
        }
    }

    /// Counts how the request ended, and writes a line unless that is ordinary.
    pub(super) fn report(&mut self, end: RequestEnd) {
        self.is_reported = true;
        self.note_need();
        let shape = match self.route.rule.destination {
            RouteDestination::Shards { .. } => QueryShape::Gathered,
            _ => QueryShape::Single,
        };
        let now = self.context.clock.now();
        let took = now.since(self.call.arrived);
        self.context.metrics.observe_request(shape, end, took);
        if end == RequestEnd::Complete && !event_log::is_sampled() {
            return;
        }
        let build = || self.ended_event(end, now);
        event_log::write_built(Level::Info, end.kind(), build);
    }

    /// Notes at its pass what the query says of the room at its shards.
    fn note_need(&mut self) {
        let need = self.need();
        if let Some(pass) = &mut self.pass {
            pass.note_need(need);
        }
    }

    fn need(&self) -> QueryNeed {
        // What a caller has used up before says nothing of the room, and must not close the gate.
        let time = self.usable.as_secs_f64();
        if let Some(enough_at) = self.enough_at {
            let passed = enough_at.since(self.started).as_secs_f64();
            return QueryNeed::Met(passed / time.max(1e-3));
        }
        // Shards whose targets are gone or fail say nothing of the room.
        let count = self.count();
        let missing = self.shards.iter().filter(|shard| shard.part.is_none());
        let held_up = missing
            .filter(|shard| shard.is_refused || shard.open > 0)
            .count();
        if count.present + held_up >= count.least {
            QueryNeed::Missed
        } else {
            QueryNeed::Unknown
        }
    }

    fn ended_event(&self, end: RequestEnd, now: TimePoint) -> FrontEvent {
        let mut lost = self.lost.clone();
        let mut present = self.shards.len();
        // A whole answer has taken its parts along, and misses none.
        if end != RequestEnd::Complete {
            lost.extend(self.unanswered(now));
            present = self.count().present;
        }
        FrontEvent::RequestEnded {
            request: self.call.request_id.to_string(),
            route: self.route.rule.name.clone(),
            version: self.route.version,
            end,
            took_ms: now.since(self.call.arrived).as_millis(),
            shards: self.shards.len(),
            present,
            attempts: self.sent,
            is_idempotent: self.route.rule.is_idempotent,
            lost,
            without_target: self.services_without_target(),
        }
    }

    /// Gets the attempts of missing shards that are still out: their targets are slow or silent.
    fn unanswered(&self, now: TimePoint) -> Vec<LostAttempt> {
        let missing = self.shards.iter().filter(|shard| shard.part.is_none());
        let tried = missing.flat_map(|shard| shard.tried.iter().zip(&shard.sent));
        let open = tried.map(|(target, sent)| LostAttempt {
            target: target.entry().id.clone(),
            fate: AttemptFate::Open,
            status: None,
            age: now.since(*sent),
        });
        open.filter(|open| self.lost.iter().all(|ended| ended.target != open.target))
            .collect()
    }

    fn services_without_target(&self) -> Vec<String> {
        let destination = &self.route.rule.destination;
        let shards = self.shards.iter().zip(destination.services());
        let untried = shards.filter(|(shard, _)| shard.tried.is_empty());
        untried
            .filter_map(|(shard, service)| match (&shard.service, destination) {
                (Some(known), _) => Some(known.name.clone()),
                // A split has dealt one of its parts, which the place does not tell.
                (None, RouteDestination::Split(_)) => None,
                (None, _) => Some(service.to_owned()),
            })
            .collect()
    }
}

/// Refuses a query that is not admitted.
pub(super) fn refuse(
    context: &FrontContext,
    call: &QueryCall,
    refusal: GateRefusal,
) -> FrontAnswer {
    let reason = match refusal.reason {
        GateReason::NoRoom => RefusalReason::NoRoom,
        GateReason::Outranked => RefusalReason::Outranked,
        GateReason::WaitOver => RefusalReason::WaitOver,
    };
    context.metrics.observe_refusal(reason);
    FrontEvent::RequestRefused {
        request: call.request_id.to_string(),
        reason,
    }
    .emit(Level::Info);
    let spread: f64 = rand::rng().random_range(ROOM_SPREAD);
    FrontAnswer::NotRun {
        reason,
        retry_after: refusal.retry_after.mul_f64(spread),
    }
}

/// Gets when a caller whose targets refused should come back.
fn retry_after() -> TimeSpan {
    let spread: f64 = rand::rng().random_range(0.0..1.0);
    RETRY_AFTER_MIN + RETRY_AFTER_SPREAD.mul_f64(spread)
}
