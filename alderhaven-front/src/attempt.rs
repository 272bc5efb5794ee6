//! One attempt at one target, from its first byte to the last one of the reply.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::replica_stats::AttemptResult;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use log::Level;

use crate::attempt_phase::AttemptPhase;
use crate::front_answer::ForwardedReply;
use crate::front_event::FrontEvent;
use crate::query_call::QueryCall;
use crate::target_handle::TargetHandle;
use crate::target_pool::PooledConnection;
use crate::wire_dialect::{ReplyKind, TargetCall, WholeBody, WireDialect};

/// The largest reply that is read from a target, in bytes. Replies are held whole, and some dozens of
/// them at a time must fit into a host of 160 MB.
const MAX_REPLY_BYTES: usize = 2 << 20;

/// An `AttemptEnd` is what an attempt came to.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The target ran the request and succeeded.
    Success(TargetReply),
    /// The target ran the request and failed.
    Failure(TargetReply),
    /// The target refused without running the request.
    NotRun,
    /// Another target has the address; the request did not run.
    WrongTarget,
    /// The target could not be reached; nothing was sent.
    Unreachable,
    /// The request was over, or the target closed, before anything was sent.
    Cancelled,
    /// The request was sent and no whole reply to it came: it may have run.
    Lost,
}

/// A `TargetReply` is a target's whole reply.
#[derive(Debug)]
pub struct TargetReply {
    /// The reply.
    pub reply: ForwardedReply,
    /// The proof of it, which callers check.
    pub proof: Option<HeaderValue>,
}

/// An `AttemptPlan` is an attempt before it is sent.
pub struct AttemptPlan {
    /// The shard that it is for, by its place in the query.
    pub shard: usize,
    /// The target.
    pub target: Arc<TargetHandle>,
    /// The caller's request.
    pub call: Arc<QueryCall>,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// When the time of the request is over.
    pub deadline: TimePoint,
    /// Set once the request was answered: nothing more is sent for it then.
    pub is_request_finished: Arc<AtomicBool>,
    /// Whether the attempt may send, and whether it has begun to.
    pub phase: AttemptPhase,
    /// The usual time of such an attempt.
    pub typical_latency: TimeSpan,
    /// The protocol.
    pub dialect: Arc<dyn WireDialect>,
    /// The clock.
    pub clock: ProcessClock,
}

/// An `AttemptReport` is an attempt after its end.
#[derive(Debug)]
pub struct AttemptReport {
    /// The shard that it was for.
    pub shard: usize,
    /// The target.
    pub target: Arc<TargetHandle>,
    /// How long it took.
    pub elapsed: TimeSpan,
    /// What it came to.
    pub outcome: AttemptOutcome,
}

/// Notes the end of an attempt at its target, also where the attempt is dropped.
struct AttemptGuard {
    target: Arc<TargetHandle>,
    sent_at: TimePoint,
    typical_latency: TimeSpan,
    clock: ProcessClock,
    result: AttemptResult,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.clock.now();
        let is_newly_ejected = {
            let mut stats = self.target.stats();
            let was_ejected = stats.is_ejected(now);
            stats.end_attempt(self.sent_at, self.typical_latency, self.result, now);
            stats.is_ejected(now) && !was_ejected
        };
        if is_newly_ejected {
            let entry = self.target.entry();
            FrontEvent::TargetEjected {
                target: entry.id.clone(),
                service: entry.service.clone(),
            }
            .emit(Level::Warn);
        }
    }
}

impl AttemptPlan {
    /// Sends the attempt and reads its reply.
    pub async fn run(self) -> AttemptReport {
        let sent_at = self.clock.now();
        self.target.stats().begin_attempt(sent_at);
        let mut guard = AttemptGuard {
            target: Arc::clone(&self.target),
            sent_at,
            typical_latency: self.typical_latency,
            clock: self.clock,
            result: AttemptResult::Cancelled,
        };
        let (shard, target, clock) = (self.shard, Arc::clone(&self.target), self.clock);
        let outcome = self.exchange().await;
        guard.result = match &outcome {
            AttemptOutcome::Success(_) => AttemptResult::Answered,
            AttemptOutcome::Unreachable => AttemptResult::Unreachable,
            AttemptOutcome::Cancelled => AttemptResult::Cancelled,
            _ => AttemptResult::Failed,
        };
        drop(guard);
        AttemptReport {
            shard,
            target,
            elapsed: clock.now().since(sent_at),
            outcome,
        }
    }

    async fn exchange(self) -> AttemptOutcome {
        let Ok(mut connection) = self.target.pool.take(!self.is_idempotent).await else {
            return AttemptOutcome::Unreachable;
        };
        // Built only now: the wait for a connection has used up some of the time that is left.
        let Some(request) = self.build_request() else {
            self.target.pool.give_back_unused(connection);
            return AttemptOutcome::Cancelled;
        };
        match send(&self.target, &mut connection, request).await {
            Ok(response) => {
                let request_id = &self.call.request_id;
                read_reply(
                    &self.target,
                    connection,
                    response,
                    request_id,
                    &*self.dialect,
                )
                .await
            }
            Err(outcome) => outcome,
        }
    }

    /// Builds the request; none where it is no longer to be sent.
    fn build_request(&self) -> Option<Request<WholeBody>> {
        let now = self.clock.now();
        let is_expired = self.is_request_finished.load(Ordering::Relaxed) || now >= self.deadline;
        // The target may have been closed while the attempt waited for a connection.
        if is_expired || self.target.is_closed() || !self.phase.begin_send() {
            return None;
        }
        let entry = self.target.entry();
        let call = TargetCall {
            head: &self.call.forwarded_head,
            body: &self.call.body,
            target: &entry.id,
            time_left: self.deadline.since(now),
        };
        self.dialect.target_request(&call).ok()
    }
}

async fn send(
    target: &TargetHandle,
    connection: &mut PooledConnection,
    request: Request<WholeBody>,
) -> Result<Response<Incoming>, AttemptOutcome> {
    let mut refused = match connection.sender().try_send_request(request).await {
        Ok(response) => return Ok(response),
        Err(refused) => refused,
    };
    // A request that comes back was never written: the target had closed the idle connection.
    let Some(request) = refused.take_message() else {
        return Err(AttemptOutcome::Lost);
    };
    if connection.is_new() || target.pool.replace(connection).await.is_err() {
        return Err(AttemptOutcome::Unreachable);
    }
    let result = connection.sender().try_send_request(request).await;
    result.map_err(|mut refused| match refused.take_message() {
        Some(_) => AttemptOutcome::Unreachable,
        None => AttemptOutcome::Lost,
    })
}

async fn read_reply(
    target: &TargetHandle,
    connection: PooledConnection,
    response: Response<Incoming>,
    request_id: &str,
    dialect: &dyn WireDialect,
) -> AttemptOutcome {
    let (head, body) = response.into_parts();
    let kind = dialect.reply_kind(request_id, head.status, &head.headers);
    if kind == ReplyKind::RequestIdMismatch {
        // The reply to an earlier request came late or twice: this one's may come or not, and what
        // else comes on the connection can't be told apart.
        return AttemptOutcome::Lost;
    }
    let Ok(body) = Limited::new(body, MAX_REPLY_BYTES).collect().await else {
        return match kind {
            ReplyKind::NotRun => AttemptOutcome::NotRun,
            ReplyKind::WrongTarget => AttemptOutcome::WrongTarget,
            _ => AttemptOutcome::Lost,
        };
    };
    target
        .pool
        .give_back(connection, keep_alive_timeout(&head.headers));
    let reply = TargetReply {
        proof: dialect.reply_proof(&head.headers),
        reply: forwarded_reply(head.status, head.headers, body.to_bytes()),
    };
    match kind {
        ReplyKind::Success => AttemptOutcome::Success(reply),
        ReplyKind::Failure => AttemptOutcome::Failure(reply),
        ReplyKind::NotRun => AttemptOutcome::NotRun,
        ReplyKind::WrongTarget => AttemptOutcome::WrongTarget,
        ReplyKind::RequestIdMismatch => AttemptOutcome::Lost,
    }
}

const fn forwarded_reply(status: StatusCode, headers: HeaderMap, body: Bytes) -> ForwardedReply {
    ForwardedReply {
        status,
        headers,
        body,
    }
}

/// Gets how long the target keeps the connection, by the `Keep-Alive` header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<TimeSpan> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(TimeSpan::from_secs)
}
