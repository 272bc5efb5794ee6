//! One attempt at a target over HTTP.
//!
//! The result tells whether the target ran the attempt, did not run it or may have run it. An
//! attempt is sent a second time only if no byte of it was written, or if it is idempotent and its
//! connection was silent.

use alderhaven_core::outcome::{AttemptOutcome, NotRunReason};
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_store::target_dialect;
use alderhaven_store::target_dialect::TargetRequest;
use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time;

use crate::target_connections::{TakenConnection, TargetConnections, TargetSender};

/// Largest reply that is read from a target; it has to fit into one frame to the entry.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// Result of one attempt at a target.
#[derive(Debug)]
pub struct CallResult {
    /// Whether the target ran the attempt, and with which outcome.
    pub outcome: AttemptOutcome,
    /// Rows of the answer; empty unless the target answered.
    pub rows: Bytes,
    /// Number of free slots that the target reports.
    pub free_slots: Option<u32>,
    /// Whether the target reports that it is draining.
    pub is_draining: bool,
    /// How the connection was lost before the reply was complete, if it was.
    pub connection_loss: Option<ConnectionLoss>,
    /// When the attempt was sent a second time, if it was; its service time counts from then.
    pub resent_at: Option<TimePoint>,
    /// Whether the first connection of the attempt turned out to be silent.
    pub found_silent_connection: bool,
}

/// How an attempt lost its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionLoss {
    /// The connection was closed: the network path failed or the target's process crashed.
    Closed,
    /// The connection is silent while a new one works, so the target is not at fault.
    Silent,
}

/// How to treat an attempt whose reply is late.
#[derive(Clone, Copy, Debug)]
pub struct CallOptions {
    /// Mean service time of the template at the target; a much longer silence leads to a probe.
    pub expected_service_time: TimeSpan,
    /// Whether the attempt may be repeated, and so ended early if its connection is silent.
    pub is_idempotent: bool,
}

impl CallResult {
    /// Creates the result of an attempt without a reply from the target.
    #[must_use]
    pub const fn without_reply(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            rows: Bytes::new(),
            free_slots: None,
            is_draining: false,
            connection_loss: None,
            resent_at: None,
            found_silent_connection: false,
        }
    }

    /// Returns true if the target may still be running the attempt: no reply came, and the connection
    /// was not closed by the target.
    #[must_use]
    pub fn may_still_run(&self) -> bool {
        self.outcome == AttemptOutcome::Unknown
            && self.connection_loss != Some(ConnectionLoss::Closed)
    }

    const fn with_loss(loss: ConnectionLoss) -> Self {
        let mut result = Self::without_reply(AttemptOutcome::Unknown);
        result.connection_loss = Some(loss);
        result.found_silent_connection = matches!(loss, ConnectionLoss::Silent);
        result
    }

    fn with_reply(outcome: AttemptOutcome, headers: &HeaderMap, rows: Bytes) -> Self {
        Self {
            outcome,
            rows,
            free_slots: target_dialect::free_slots(headers),
            is_draining: target_dialect::is_draining(headers),
            connection_loss: None,
            resent_at: None,
            found_silent_connection: false,
        }
    }
}

/// What followed sending a request.
enum SendOutcome {
    Replied(Response<Incoming>),
    /// No byte of the request was written.
    NotSent,
    /// Bytes may have been written and no reply came: the target may have run the attempt.
    Lost(ConnectionLoss),
}

/// An attempt after it was sent, with its connection.
struct SentCall {
    outcome: SendOutcome,
    sender: TargetSender,
    is_reused: bool,
    sent_at: TimePoint,
}

/// Runs an attempt at its target, on an idle connection if there is one.
///
/// The target may close a connection while it is idle. Then no byte of the request was written, and
/// it is sent again on a new connection. An idempotent request is also sent again if its connection
/// turned out to be silent.
pub async fn run_attempt(
    connections: &TargetConnections,
    authority: &str,
    request: &TargetRequest,
    options: CallOptions,
) -> CallResult {
    let not_sent = CallResult::without_reply(AttemptOutcome::NotRun(NotRunReason::NotSent));
    let Ok(connection) = connections.take().await else {
        return not_sent;
    };
    let call = send_attempt(connections, connection, authority, request, options).await;
    let on_failure = match call.outcome {
        SendOutcome::NotSent => not_sent,
        SendOutcome::Lost(ConnectionLoss::Silent) => CallResult::with_loss(ConnectionLoss::Silent),
        SendOutcome::Replied(_) | SendOutcome::Lost(ConnectionLoss::Closed) => {
            return read_reply(connections, request, call).await;
        }
    };
    // Boxed because it is rare: otherwise the future of every attempt would be larger.
    Box::pin(send_again(
        connections,
        authority,
        request,
        options,
        on_failure,
    ))
    .await
}

/// Sends an attempt again, on a new connection; returns `on_failure` if it can't be sent.
async fn send_again(
    connections: &TargetConnections,
    authority: &str,
    request: &TargetRequest,
    options: CallOptions,
    on_failure: CallResult,
) -> CallResult {
    let resent_at = connections.clock().now();
    let Ok(new) = connections.connect().await else {
        return on_failure;
    };
    let call = send_attempt(connections, new, authority, request, options).await;
    if matches!(call.outcome, SendOutcome::NotSent) {
        return on_failure;
    }
    let mut result = read_reply(connections, request, call).await;
    result.resent_at = Some(resent_at);
    result.found_silent_connection = on_failure.connection_loss.is_some();
    result
}

/// Asks a target to cancel an attempt; errors are ignored.
///
/// The request uses a second connection, so that the attempt's connection stays usable.
pub async fn cancel_attempt(
    connections: &TargetConnections,
    authority: &str,
    request: &TargetRequest,
) {
    let Ok(TakenConnection { mut sender, .. }) = connections.take().await else {
        return;
    };
    let cancel = Request::post(target_dialect::CANCEL_PATH)
        .header(http::header::HOST, authority)
        .header(target_dialect::ATTEMPT_HEADER, request.attempt.to_string())
        .body(Full::new(Bytes::new()));
    let Ok(cancel) = cancel else {
        return;
    };
    if let Ok(response) = sender.send_request(cancel).await
        && response.into_body().collect().await.is_ok()
    {
        connections.give_back(sender);
    }
}

async fn send_attempt(
    connections: &TargetConnections,
    connection: TakenConnection,
    authority: &str,
    request: &TargetRequest,
    options: CallOptions,
) -> SentCall {
    let mut sender = connection.sender;
    let sent_at = connections.clock().now();
    let outcome = match request.to_http(authority) {
        Ok(message) => {
            let idle_before = connection.idle_for.unwrap_or_default();
            let reply = send_and_receive(&mut sender, message);
            await_reply_or_silence(connections, reply, options, idle_before, sent_at).await
        }
        Err(_) => SendOutcome::NotSent,
    };
    SentCall {
        outcome,
        sender,
        is_reused: connection.idle_for.is_some(),
        sent_at,
    }
}

async fn send_and_receive(sender: &mut TargetSender, message: Request<Full<Bytes>>) -> SendOutcome {
    match sender.try_send_request(message).await {
        Ok(response) => SendOutcome::Replied(response),
        // hyper returns the request only if no byte of it was written; otherwise the target may
        // have run it.
        Err(mut error) => match error.take_message() {
            Some(_) => SendOutcome::NotSent,
            None => SendOutcome::Lost(ConnectionLoss::Closed),
        },
    }
}

/// Waits for the reply, and probes the target each time the reply is unusually late.
async fn await_reply_or_silence(
    connections: &TargetConnections,
    reply: impl Future<Output = SendOutcome>,
    options: CallOptions,
    idle_before: TimeSpan,
    sent_at: TimePoint,
) -> SendOutcome {
    tokio::pin!(reply);
    let Some(silence_bound) = connections.silence_bound(options.expected_service_time) else {
        return reply.await;
    };
    let mut check_delay = silence_bound;
    loop {
        let silence_check = async {
            time::sleep(check_delay.as_duration()).await;
            Box::pin(connections.probe_for_silence(idle_before, sent_at)).await
        };
        let is_silent = tokio::select! {
            biased;
            outcome = &mut reply => return outcome,
            is_silent = silence_check => is_silent,
        };
        if is_silent && options.is_idempotent {
            return SendOutcome::Lost(ConnectionLoss::Silent);
        }
        // Backs off, so that a target that is only slow gets few probes.
        check_delay = check_delay.mul_f64(2.0);
    }
}

async fn read_reply(
    connections: &TargetConnections,
    request: &TargetRequest,
    call: SentCall,
) -> CallResult {
    let response = match call.outcome {
        SendOutcome::Replied(response) => response,
        SendOutcome::NotSent => {
            return CallResult::without_reply(AttemptOutcome::NotRun(NotRunReason::NotSent));
        }
        SendOutcome::Lost(loss) => return CallResult::with_loss(loss),
    };
    connections.record_reply(call.is_reused, call.sent_at);
    let (head, body) = response.into_parts();
    let outcome = request.classify_reply(head.status, &head.headers);
    match Limited::new(body, MAX_REPLY_BYTES).collect().await {
        Ok(body) => {
            // After a status that HTTP gives to no final reply, other bytes may follow.
            if (200..600).contains(&head.status.as_u16()) {
                connections.give_back(call.sender);
            }
            let rows = match outcome {
                AttemptOutcome::Answered => body.to_bytes(),
                _ => Bytes::new(),
            };
            CallResult::with_reply(outcome, &head.headers, rows)
        }
        // A truncated answer is of no use, although the target ran the attempt. The connection is
        // dropped, because its next bytes could belong to this answer.
        Err(_) if outcome == AttemptOutcome::Answered => {
            let mut result =
                CallResult::with_reply(AttemptOutcome::Unknown, &head.headers, Bytes::new());
            result.connection_loss = Some(ConnectionLoss::Closed);
            result
        }
        Err(_) => CallResult::with_reply(outcome, &head.headers, Bytes::new()),
    }
}
