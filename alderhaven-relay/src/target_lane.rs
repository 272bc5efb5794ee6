//! The lane to one target: a queue, a limit of attempts at a time, and the running of attempts.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use alderhaven_core::outcome::{AttemptOutcome, NotRunReason};
use alderhaven_core::time::TimeSpan;
use alderhaven_peer::connection::FrameSender;
use alderhaven_peer::frames::{AttemptReply, PeerMessage, ReplyStatus};
use alderhaven_platform::dialect::TargetRequest;
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::time;

use crate::metrics::AttemptCounters;
use crate::target_connections::TargetConnections;

/// A `LaneAttempt` is one attempt on its way to the target.
#[derive(Debug)]
pub struct LaneAttempt {
    /// What is asked of the target; its remaining time is set when it is sent.
    pub request: TargetRequest,
    /// The time after which the answer is of no use.
    pub deadline: Instant,
    /// When the attempt came in.
    pub arrived: Instant,
    /// Where the reply goes.
    pub reply_to: FrameSender,
}

/// A `TargetLane` orders and runs the attempts at one target.
#[derive(Debug)]
pub struct TargetLane {
    connections: TargetConnections,
    authority: String,
    queue_length: usize,
    counters: AttemptCounters,
    state: Mutex<LaneState>,
}

#[derive(Debug)]
struct LaneState {
    queue: VecDeque<LaneAttempt>,
    in_flight: u32,
    limit: u32,
}

/// A `LaneReport` is the state of a lane for the dump.
#[derive(Clone, Debug, serde::Serialize)]
pub struct LaneReport {
    /// The target's address.
    pub address: String,
    /// The attempts that wait.
    pub queued: usize,
    /// The attempts at the target.
    pub in_flight: u32,
    /// The most attempts at the target at a time.
    pub limit: u32,
    /// The idle connections.
    pub idle_connections: usize,
}

/// A `LaneVerdict` is what an attempt at the target came to.
struct LaneVerdict {
    outcome: AttemptOutcome,
    rows: Bytes,
}

impl LaneVerdict {
    const fn bare(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            rows: Bytes::new(),
        }
    }
}

impl TargetLane {
    /// Returns a lane to the target behind `connections` with as many attempts at a time as it has
    /// slots.
    #[must_use]
    pub fn new(
        connections: TargetConnections,
        slots: u32,
        queue_length: usize,
        counters: AttemptCounters,
    ) -> Self {
        Self {
            authority: connections.address().to_string(),
            connections,
            queue_length,
            counters,
            state: Mutex::new(LaneState {
                queue: VecDeque::new(),
                in_flight: 0,
                limit: slots.max(1),
            }),
        }
    }

    /// Takes an attempt: it is run, queued or refused at once.
    pub fn offer(self: &Arc<Self>, attempt: LaneAttempt) {
        let mut state = self.lock();
        if state.queue.len() >= self.queue_length {
            drop(state);
            self.answer_not_run(&attempt, NotRunReason::QueueFull);
            return;
        }
        state.queue.push_back(attempt);
        drop(state);
        self.run_ready();
    }

    /// Drops a queued attempt whose answer is no longer wanted; one at the target runs on.
    pub fn cancel(&self, origin: u64, sequence: u64) {
        let mut state = self.lock();
        let place = state.queue.iter().position(|attempt| {
            attempt.request.attempt.origin == origin && attempt.request.attempt.sequence == sequence
        });
        if let Some(attempt) = place.and_then(|place| state.queue.remove(place)) {
            drop(state);
            self.answer_not_run(&attempt, NotRunReason::Cancelled);
        }
    }

    /// Gets the number of attempts that wait or are at the target.
    #[must_use]
    pub fn unfinished(&self) -> usize {
        let state = self.lock();
        state.queue.len() + state.in_flight as usize
    }

    /// Gets the lane's state for the dump.
    #[must_use]
    pub fn report(&self) -> LaneReport {
        let state = self.lock();
        LaneReport {
            address: self.authority.clone(),
            queued: state.queue.len(),
            in_flight: state.in_flight,
            limit: state.limit,
            idle_connections: self.connections.idle_count(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, LaneState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts queued attempts while the limit allows it.
    fn run_ready(self: &Arc<Self>) {
        while let Some(attempt) = self.next_ready() {
            if attempt.deadline <= Instant::now() {
                self.lock().in_flight -= 1;
                self.answer_not_run(&attempt, NotRunReason::Expired);
                continue;
            }
            let lane = Arc::clone(self);
            tokio::spawn(async move {
                lane.run(attempt).await;
                lane.lock().in_flight -= 1;
                lane.run_ready();
            });
        }
    }

    fn next_ready(&self) -> Option<LaneAttempt> {
        let mut state = self.lock();
        if state.in_flight >= state.limit {
            return None;
        }
        let attempt = state.queue.pop_front()?;
        state.in_flight += 1;
        Some(attempt)
    }

    async fn run(&self, mut attempt: LaneAttempt) {
        let started = Instant::now();
        attempt.request.remaining = TimeSpan::from(attempt.deadline - started);
        let verdict = self.ask_target(&attempt).await;
        self.counters.observe(verdict.outcome);
        let reply = AttemptReply {
            sequence: attempt.request.attempt.sequence,
            status: ReplyStatus::from(verdict.outcome).into(),
            rows: verdict.rows,
            snapshot: attempt.request.snapshot.0,
            version: attempt.request.version.0,
            queued_us: TimeSpan::from(started - attempt.arrived).as_micros(),
            service_us: TimeSpan::from(started.elapsed()).as_micros(),
            wait_us: 0,
            ran: !alderhaven_policy::query_gather::is_not_run(verdict.outcome),
        };
        send_reply(&attempt.reply_to, reply);
    }

    /// Answers an attempt that certainly did not run.
    fn answer_not_run(&self, attempt: &LaneAttempt, reason: NotRunReason) {
        let outcome = AttemptOutcome::NotRun(reason);
        self.counters.observe(outcome);
        let reply = AttemptReply {
            sequence: attempt.request.attempt.sequence,
            status: ReplyStatus::from(outcome).into(),
            queued_us: TimeSpan::from(attempt.arrived.elapsed()).as_micros(),
            ..AttemptReply::default()
        };
        send_reply(&attempt.reply_to, reply);
    }

    /// Runs one attempt at the target and says what came of it.
    async fn ask_target(&self, attempt: &LaneAttempt) -> LaneVerdict {
        let not_sent = LaneVerdict::bare(AttemptOutcome::NotRun(NotRunReason::NotSent));
        let Ok(mut sender) = self.connections.take().await else {
            return not_sent;
        };
        let Ok(request) = attempt.request.to_http(&self.authority) else {
            return not_sent;
        };
        let asking = async {
            let response = match sender.try_send_request(request).await {
                Ok(response) => response,
                // hyper hands a request back only where no byte of it was written; without that
                // proof the attempt may have run.
                Err(mut error) => {
                    return match error.take_message() {
                        Some(_) => not_sent,
                        None => LaneVerdict::bare(AttemptOutcome::Unknown),
                    };
                }
            };
            let outcome = attempt.request.judge(response.status(), response.headers());
            match response.into_body().collect().await {
                Ok(body) => LaneVerdict {
                    outcome,
                    rows: body.to_bytes(),
                },
                // A truncated answer is no answer, though the target ran the attempt.
                Err(_) if outcome == AttemptOutcome::Answered => {
                    LaneVerdict::bare(AttemptOutcome::Unknown)
                }
                Err(_) => LaneVerdict::bare(outcome),
            }
        };
        match time::timeout_at(attempt.deadline.into(), asking).await {
            Ok(verdict) => {
                self.connections.give_back(sender);
                verdict
            }
            // The connection has an unanswered attempt and is dropped with `sender`.
            Err(_) => LaneVerdict::bare(AttemptOutcome::Unknown),
        }
    }
}

fn send_reply(reply_to: &FrameSender, reply: AttemptReply) {
    // Where the entry's connection is gone nobody waits for the reply.
    let _entry_gone = reply_to.send(PeerMessage::Reply(reply));
}
