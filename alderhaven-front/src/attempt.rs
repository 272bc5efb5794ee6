//! One attempt at one target: takes a connection, sends the request and reads the whole reply.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::quantities::ByteSize;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_intake::byte_ledger::ByteLedger;
use alderhaven_intake::held_buffer::HeldBuffer;
use alderhaven_intake::held_bytes::HeldBytes;
use alderhaven_policy::crash_watch::WatchedAttempt;
use alderhaven_policy::replica_stats::AttemptResult;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use log::Level;

use crate::attempt_phase::AttemptPhase;
use crate::crash_reporter;
use crate::crash_reporter::CrashReporter;
use crate::front_answer::ForwardedReply;
use crate::front_event::FrontEvent;
use crate::query_call::QueryCall;
use crate::target_handle::TargetHandle;
use crate::target_pool::PooledConnection;
use crate::trial_registry::TrialGuard;
use crate::wire_dialect::{ReplyKind, TargetCall, WholeBody, WireDialect};

/// The largest reply body that is read from a target. Replies are buffered whole, so
/// this bounds the memory of concurrent attempts.
const MAX_REPLY_SIZE: ByteSize = ByteSize::from_kib(2 << 10);

/// How an attempt ended, and whether the request may have run at the target.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The target ran the request and replied with success.
    Success(TargetReply),
    /// The target ran the request and replied with a failure.
    Failure(TargetReply),
    /// The target replied that the time of the request is over. It may still be running it.
    TimedOut(TargetReply),
    /// The target refused the request without running it.
    NotRun,
    /// The address now belongs to another target, which did not run the request.
    WrongTarget,
    /// No connection could be made, or it was closed before the request was written.
    Unreachable,
    /// The request finished or timed out, or the target stopped taking work, before anything was
    /// sent.
    Cancelled,
    /// The request was sent and no complete reply to it arrived. It may have run.
    Lost,
}

/// A reply that was read to its end.
#[derive(Debug)]
pub struct TargetReply {
    /// Status, headers and body as the target sent them.
    pub reply: ForwardedReply,
    /// Proof header of the reply, passed on for callers to verify.
    pub proof: Option<HeaderValue>,
}

/// Everything that one attempt needs before it is sent.
pub struct AttemptPlan {
    /// Index of the shard within the query.
    pub shard: usize,
    /// Where the request is sent.
    pub target: Arc<TargetHandle>,
    /// The caller's request, shared by all attempts.
    pub call: Arc<QueryCall>,
    /// Whether the request may run more than once. If not, a new connection is opened for it.
    pub is_idempotent: bool,
    /// Time after which the attempt is of no use. The time that remains is sent to the target.
    pub deadline: TimePoint,
    /// Set when the request has been answered. An attempt that has sent nothing by then is
    /// cancelled.
    pub is_request_finished: Arc<AtomicBool>,
    /// Arbitrates between sending the request and cancelling the attempt.
    pub phase: AttemptPhase,
    /// Typical latency of the route's attempts, to which the target's statistics compare this one.
    pub typical_latency: TimeSpan,
    /// Builds the request and classifies the reply.
    pub dialect: Arc<dyn WireDialect>,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Examines the attempt if it is lost.
    pub crashes: CrashReporter,
    /// Accounts for the bytes of the reply.
    pub replies: Arc<ByteLedger>,
    /// The trial that the attempt is part of, if its request is a suspect.
    pub trial: Option<Arc<TrialGuard>>,
    /// Whether no other attempt of the query runs, because its request may have crashed targets.
    pub is_trial: bool,
}

/// Number of the next attempt of this process.
static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(0);

/// Watches an attempt for a crash of its target from when it is sent. Dropping it before the attempt
/// has ended marks the attempt as abandoned.
struct CrashGuard {
    target: Arc<TargetHandle>,
    clock: ProcessClock,
    number: u64,
    has_ended: bool,
}

impl CrashGuard {
    fn end(mut self) {
        self.has_ended = true;
        self.target.crash_watch().record_finished(self.number);
    }

    /// Marks the attempt as one that the target may still be running.
    fn abandon(self) {
        drop(self);
    }
}

impl Drop for CrashGuard {
    fn drop(&mut self) {
        if !self.has_ended {
            let now = self.clock.now();
            self.target.crash_watch().record_abandoned(self.number, now);
        }
    }
}

/// An attempt that has ended.
#[derive(Debug)]
pub struct AttemptReport {
    /// Index of the shard within the query.
    pub shard: usize,
    /// Where the request was sent.
    pub target: Arc<TargetHandle>,
    /// Time from the start of the attempt to its end, including the wait for a connection.
    pub elapsed: TimeSpan,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
}

/// Records the end of an attempt in the statistics of its target, also when the attempt is
/// dropped.
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
    /// Runs the attempt to its end and records the result in the statistics of the target.
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
        let mut connection = match self.target.pool.take(!self.is_idempotent).await {
            Ok(connection) => connection,
            Err(error) => {
                if error.kind() == io::ErrorKind::ConnectionRefused {
                    self.crashes.record_refused_connection(&self.target);
                }
                return AttemptOutcome::Unreachable;
            }
        };
        // Built after the wait for a connection, which has used up part of the time left.
        let Some(request) = self.build_request() else {
            self.target.pool.give_back_unused(connection);
            return AttemptOutcome::Cancelled;
        };
        let watch = self.watch_for_crash();
        let outcome = match send(&self.target, &mut connection, request).await {
            Ok(response) => self.read_reply(connection, response).await,
            Err(outcome) => outcome,
        };
        if matches!(outcome, AttemptOutcome::Lost) {
            self.crashes
                .examine_loss(&self.target, watch.number, self.trial);
        }
        if matches!(outcome, AttemptOutcome::TimedOut(_)) {
            watch.abandon();
        } else {
            watch.end();
        }
        outcome
    }

    fn watch_for_crash(&self) -> CrashGuard {
        let number = NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed);
        let attempt = WatchedAttempt {
            fingerprint: self.call.fingerprint(),
            shard: crash_reporter::shard_of_service(&self.target.entry().service),
            is_trial: self.is_trial,
        };
        self.target.crash_watch().record_started(number, attempt);
        CrashGuard {
            target: Arc::clone(&self.target),
            clock: self.clock,
            number,
            has_ended: false,
        }
    }

    /// Builds the request. Returns `None` if it must not be sent any more.
    fn build_request(&self) -> Option<Request<WholeBody>> {
        let now = self.clock.now();
        let is_expired = self.is_request_finished.load(Ordering::Relaxed) || now >= self.deadline;
        // The target may have stopped taking work while the attempt waited for a connection.
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

    async fn read_reply(
        &self,
        connection: PooledConnection,
        response: Response<Incoming>,
    ) -> AttemptOutcome {
        let dialect = &*self.dialect;
        let (head, body) = response.into_parts();
        let kind = dialect.reply_kind(&self.call.request_id, head.status, &head.headers);
        if kind == ReplyKind::RequestIdMismatch {
            // A late or duplicate reply to an earlier request. Later replies on this connection cannot
            // be matched to requests either, so the connection is closed.
            return AttemptOutcome::Lost;
        }
        let buffer = HeldBuffer::new(Arc::clone(&self.replies), MAX_REPLY_SIZE);
        let mut buffer = buffer.with_announced_length();
        let read = buffer.read(body).await;
        let Ok(body) = read.and_then(|()| buffer.finish(None)) else {
            return match kind {
                ReplyKind::NotRun => AttemptOutcome::NotRun,
                ReplyKind::WrongTarget => AttemptOutcome::WrongTarget,
                _ => AttemptOutcome::Lost,
            };
        };
        // After a reply that can't be the target's own, more bytes of that kind may follow.
        if kind != ReplyKind::Failure || dialect.is_failure_status(head.status) {
            self.target
                .pool
                .give_back(connection, keep_alive_timeout(&head.headers));
        }
        let reply = TargetReply {
            proof: dialect.reply_proof(&head.headers),
            reply: forwarded_reply(head.status, head.headers, body),
        };
        match kind {
            ReplyKind::Success => AttemptOutcome::Success(reply),
            ReplyKind::Failure => AttemptOutcome::Failure(reply),
            ReplyKind::TimedOut => AttemptOutcome::TimedOut(reply),
            ReplyKind::NotRun => AttemptOutcome::NotRun,
            ReplyKind::WrongTarget => AttemptOutcome::WrongTarget,
            ReplyKind::RequestIdMismatch => AttemptOutcome::Lost,
        }
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
    // hyper returns the message only if nothing of it was written: the target had closed the idle
    // connection.
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

const fn forwarded_reply(
    status: StatusCode,
    headers: HeaderMap,
    body: HeldBytes,
) -> ForwardedReply {
    ForwardedReply {
        status,
        headers,
        body,
    }
}

/// Parses the idle timeout that the target announces in the `Keep-Alive` header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<TimeSpan> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(TimeSpan::from_secs)
}
