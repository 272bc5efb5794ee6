//! Serves group requests of fronts in other failure domains: sends the attempts and merges the
//! replies.
//!
//! No policy is applied here. The requesting front chooses targets, hedges and retries.

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_intake::connection_slot::ConnectionSlot;
use alderhaven_peer::connection::{self, FrameSender};
use alderhaven_peer::frames::PeerMessage;
use alderhaven_peer::group_messages::{GroupAttemptResult, GroupOutcome, GroupReply, GroupRequest};
use alderhaven_policy::delivery_age::DeliveryAge;
use alderhaven_policy::drain::DrainState;
use alderhaven_policy::top_records;
use bytes::Bytes;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use http::request::Parts;
use http::{HeaderName, HeaderValue, Request};
use log::Level;
use tokio::net::{TcpListener, TcpStream};
use tokio::time;
use tokio_util::task::AbortOnDropHandle;

use crate::attempt::{AttemptOutcome, AttemptPlan, AttemptReport};
use crate::attempt_phase::AttemptPhase;
use crate::caller_identity::CallerIdentity;
use crate::front_context::{self, FrontContext};
use crate::front_event::FrontEvent;
use crate::query_call::QueryCall;
use crate::target_handle::TargetStatus;

/// Pause after a failed accept, which in most cases means that file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(20);

/// Time without a request after which the connection of a front is closed. A front whose path has
/// lost the connection never closes it.
const IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_mins(10);

/// Accepts connections of other fronts for as long as the process runs.
pub async fn serve(listener: TcpListener, context: FrontContext) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(slot) = context.intake.groups.admit() else {
                    FrontEvent::ConnectionRefused { address: "groups" }.emit(Level::Warn);
                    continue;
                };
                tokio::spawn(serve_front_until_closed(stream, slot, context.clone()));
            }
            Err(_) => time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// A group request in progress. Dropping it aborts its attempts.
struct OpenRequest {
    is_request_finished: Arc<AtomicBool>,
    task: AbortOnDropHandle<()>,
}

async fn serve_front_until_closed(
    stream: TcpStream,
    slot: ConnectionSlot,
    context: FrontContext,
) -> io::Result<()> {
    tokio::select! {
        ended = serve_front(stream, &slot, context) => ended,
        () = slot.closed() => {
            FrontEvent::ConnectionReplaced { address: "groups" }.emit(Level::Warn);
            Ok(())
        }
    }
}

async fn serve_front(
    stream: TcpStream,
    slot: &ConnectionSlot,
    context: FrontContext,
) -> io::Result<()> {
    let (sender, mut reader) = connection::split(stream)?;
    let mut requests: HashMap<u64, OpenRequest> = HashMap::new();
    let mut delivery_age = DeliveryAge::default();
    // Requests end with their connection: the requesting front no longer waits for them.
    while let Ok(Some(message)) =
        time::timeout(IDLE_TIMEOUT, connection::next_message(&mut reader)).await
    {
        slot.touch();
        match message {
            PeerMessage::GroupRequest(request) => {
                let now = context.clock.now();
                let delay =
                    delivery_age.record_delivery(TimePoint::from_micros(request.sent_us), now);
                requests.retain(|_, open| !open.task.is_finished());
                requests.insert(
                    request.number,
                    start_request(request, delay, &context, sender.clone()),
                );
            }
            PeerMessage::GroupClose(close) => {
                let Some(open) = requests.remove(&close.number) else {
                    continue;
                };
                open.is_request_finished.store(true, Ordering::Relaxed);
                if !close.is_abandoned {
                    tokio::spawn(drain_attempts(open, context.options.drain_timeout));
                }
            }
            _ => {}
        }
    }
    Ok(())
}

/// Lets the attempts of a request end within `limit`, so that their connections can be reused.
async fn drain_attempts(open: OpenRequest, limit: TimeSpan) {
    let _finished = time::timeout(limit.as_duration(), open.task).await;
}

fn start_request(
    request: GroupRequest,
    delay: TimeSpan,
    context: &FrontContext,
    sender: FrameSender,
) -> OpenRequest {
    let is_request_finished = Arc::new(AtomicBool::new(false));
    let run = GroupRun::new(
        request,
        delay,
        context.clone(),
        sender,
        Arc::clone(&is_request_finished),
    );
    OpenRequest {
        is_request_finished,
        task: AbortOnDropHandle::new(tokio::spawn(run.run())),
    }
}

struct GroupRun {
    context: FrontContext,
    sender: FrameSender,
    request: GroupRequest,
    flush_at: TimePoint,
    deadline: TimePoint,
    is_request_finished: Arc<AtomicBool>,
    attempt_results: Vec<GroupAttemptResult>,
    reply_bodies: Vec<Bytes>,
}

impl GroupRun {
    fn new(
        request: GroupRequest,
        delay: TimeSpan,
        context: FrontContext,
        sender: FrameSender,
        is_request_finished: Arc<AtomicBool>,
    ) -> Self {
        let now = context.clock.now();
        let remaining = |micros: u64| TimeSpan::from_micros(micros).saturating_sub(delay);
        Self {
            flush_at: now + remaining(request.flush_after_us),
            deadline: now + remaining(request.remaining_us),
            context,
            sender,
            request,
            is_request_finished,
            attempt_results: Vec::new(),
            reply_bodies: Vec::new(),
        }
    }

    async fn run(mut self) {
        // A graceful stop waits for this request.
        let _in_flight = self.context.stop.begin_request();
        self.context.metrics.served_group_requests.inc();
        let mut attempts = self.start_attempts();
        let mut is_flushed = false;
        loop {
            if attempts.is_empty() {
                self.flush();
                return;
            }
            tokio::select! {
                biased;
                Some(report) = attempts.next() => {
                    self.record_report(report);
                    if is_flushed || self.request.has_separate_replies {
                        self.flush();
                    }
                }
                () = front_context::sleep_until(self.context.clock, self.flush_at), if !is_flushed => {
                    is_flushed = true;
                    self.flush();
                }
            }
        }
    }

    fn start_attempts(&mut self) -> FuturesUnordered<BoxFuture<'static, AttemptReport>> {
        let attempts = FuturesUnordered::new();
        let Some(call) = self.rebuild_call() else {
            return attempts;
        };
        if !matches!(
            self.context.stop.state(),
            DrainState::Serving | DrainState::Leaving
        ) {
            // The other front can send these attempts itself, and this process is about to end.
            let unsent = (0..self.request.targets.len())
                .map(|index| attempt_result(index, GroupOutcome::NotSent, TimeSpan::ZERO));
            self.attempt_results.extend(unsent);
            return attempts;
        }
        let crashes = self.context.catalog.crashes();
        let is_settled = crashes.refusal_delay(&call) == TimeSpan::ZERO;
        if is_settled && crashes.refused_for(&call).is_some() {
            let refused = (0..self.request.targets.len())
                .map(|index| attempt_result(index, GroupOutcome::Quarantined, TimeSpan::ZERO));
            self.attempt_results.extend(refused);
            return attempts;
        }
        let view = self.context.catalog.view();
        for (index, id) in self.request.targets.iter().enumerate() {
            let target = view.targets.get(id);
            let ready = target.filter(|target| !target.is_closed());
            let Some(target) = ready else {
                self.attempt_results.push(attempt_result(
                    index,
                    GroupOutcome::NotSent,
                    TimeSpan::ZERO,
                ));
                continue;
            };
            let plan = AttemptPlan {
                shard: index,
                target: Arc::clone(target),
                call: Arc::clone(&call),
                is_idempotent: true,
                deadline: self.deadline,
                is_request_finished: Arc::clone(&self.is_request_finished),
                phase: AttemptPhase::default(),
                typical_latency: TimeSpan::from_micros(self.request.typical_latency_us),
                dialect: Arc::clone(&self.context.dialect),
                clock: self.context.clock,
                crashes: self.context.crashes.clone(),
                replies: Arc::clone(&self.context.intake.replies),
                trial: None,
                is_trial: false,
            };
            attempts.push(Box::pin(plan.run()) as BoxFuture<'static, AttemptReport>);
        }
        attempts
    }

    /// Rebuilds the caller's request. Returns `None` if the group request is malformed.
    fn rebuild_call(&self) -> Option<Arc<QueryCall>> {
        let now = self.context.clock.now();
        let mut head = request_head(&self.request)?;
        if self.context.catalog.has_teams() {
            // The sender has a key in its head only if its configuration has no teams yet.
            let _key = self.context.dialect.take_caller_key(&mut head);
        }
        let identity = CallerIdentity::Undetermined;
        let forwarded_head = self
            .context
            .dialect
            .forwarded_head(&head, identity.team_header())
            .ok()?;
        Some(Arc::new(QueryCall {
            identity,
            head,
            forwarded_head,
            body: self.request.body.clone(),
            request_id: Arc::from(self.request.request_id.as_str()),
            arrived_at: now,
            time_left: self.deadline.since(now),
            known_fingerprint: OnceLock::new(),
        }))
    }

    fn record_report(&mut self, report: AttemptReport) {
        let outcome = match report.outcome {
            AttemptOutcome::Success(reply) => {
                let mut answered =
                    attempt_result(report.shard, GroupOutcome::Answered, report.elapsed);
                if let Some(proof) = reply.proof {
                    answered.proof = Bytes::copy_from_slice(proof.as_bytes());
                }
                self.attempt_results.push(answered);
                self.reply_bodies.push(reply.reply.body.into_bytes());
                return;
            }
            AttemptOutcome::Failure(_) => GroupOutcome::Failed,
            AttemptOutcome::TimedOut(_) => GroupOutcome::TimedOut,
            AttemptOutcome::NotRun => GroupOutcome::NotRun,
            AttemptOutcome::Unreachable | AttemptOutcome::Cancelled => GroupOutcome::NotSent,
            AttemptOutcome::WrongTarget => {
                report.target.set_status(TargetStatus::Leaving);
                GroupOutcome::NotRun
            }
            AttemptOutcome::Lost => GroupOutcome::Lost,
        };
        self.attempt_results
            .push(attempt_result(report.shard, outcome, report.elapsed));
    }

    fn flush(&mut self) {
        let records = usize::try_from(self.request.max_records).unwrap_or(usize::MAX);
        let reply = GroupReply {
            number: self.request.number,
            results: std::mem::take(&mut self.attempt_results),
            records: top_records::greatest_records(&self.reply_bodies, records),
        };
        self.reply_bodies.clear();
        // If the connection is lost, the requesting front detects that by itself.
        let _is_sent = self.sender.send(PeerMessage::GroupReply(reply));
    }
}

fn attempt_result(index: usize, outcome: GroupOutcome, elapsed: TimeSpan) -> GroupAttemptResult {
    GroupAttemptResult {
        target_index: u32::try_from(index).unwrap_or(u32::MAX),
        outcome: outcome.into(),
        proof: Bytes::new(),
        elapsed_us: elapsed.as_micros(),
    }
}

fn request_head(request: &GroupRequest) -> Option<Parts> {
    let mut builder = Request::builder()
        .method(request.method.as_str())
        .uri(request.path.as_str());
    for field in &request.headers {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(&field.value).ok()?;
        builder = builder.header(name, value);
    }
    let (head, ()) = builder.body(()).ok()?.into_parts();
    Some(head)
}
