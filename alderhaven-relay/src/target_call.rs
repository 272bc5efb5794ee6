//! One call of a target over HTTP, and what can be said of it afterwards.

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

/// The largest reply that is read from a target, in bytes; it must fit into one frame.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// A `CallVerdict` is what a call of a target came to.
#[derive(Debug)]
pub struct CallResult {
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// The rows, where the target answered.
    pub rows: Bytes,
    /// The free slots that the target reports.
    pub free_slots: Option<u32>,
    /// Whether the target says that it drains.
    pub is_draining: bool,
    /// How the connection was lost before the reply was whole, where it was.
    pub connection_loss: Option<ConnectionLoss>,
    /// When the attempt was sent once more, where it was; its time at the target counts from then.
    pub resent_at: Option<TimePoint>,
    /// Whether that was because its first connection was silent.
    pub found_silent_connection: bool,
}

/// A `ConnectionLoss` is how an attempt lost its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionLoss {
    /// The connection was closed: the path was cut or the target's process died.
    Closed,
    /// The connection is silent while a new one works: the target is not to blame.
    Silent,
}

/// A `CallPace` is how long an attempt may take before its silence is looked into.
#[derive(Clone, Copy, Debug)]
pub struct CallOptions {
    /// The mean time of such attempts at the target.
    pub expected_service_time: TimeSpan,
    /// Whether the attempt may be repeated, so that it is ended where its connection is silent.
    pub is_idempotent: bool,
}

impl CallResult {
    /// Returns a verdict without a reply of the target.
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

/// What sending a request came to.
enum SendOutcome {
    Replied(Response<Incoming>),
    /// No byte was written, and the request came back.
    NotSent,
    /// Bytes were written and no reply came: the target may have run the attempt.
    Lost(ConnectionLoss),
}

/// A call whose request is on its connection.
struct SentCall {
    outcome: SendOutcome,
    sender: TargetSender,
    is_reused: bool,
    sent_at: TimePoint,
}

/// Runs an attempt at its target.
///
/// A kept connection may have been closed by the target while it was idle. Nothing of the request
/// was written then, so it is sent once more on a new connection. So is one that may be repeated
/// where the kept connection turned out to be silent.
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
    // Boxed, since it is rare: else each attempt's own future would be of its size.
    Box::pin(send_again(
        connections,
        authority,
        request,
        options,
        on_failure,
    ))
    .await
}

/// Sends an attempt once more, on a new connection; `on_failure` is what can be said without that.
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

/// Asks a target to drop an attempt whose answer is no longer wanted.
///
/// It goes over a connection of its own: closing the attempt's connection would cost a new one.
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
        // hyper hands a request back only where no byte of it was written; without that proof the
        // target may have run it.
        Err(mut error) => match error.take_message() {
            Some(_) => SendOutcome::NotSent,
            None => SendOutcome::Lost(ConnectionLoss::Closed),
        },
    }
}

/// Waits for the reply, and looks into its silence where it takes unusually long.
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
        // A target that is slow as a whole is asked more and more rarely.
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
        Ok(rows) => {
            connections.give_back(call.sender);
            CallResult::with_reply(outcome, &head.headers, rows.to_bytes())
        }
        // A truncated answer is no answer, though the target ran the attempt. The connection is
        // dropped: its next bytes could belong to this answer.
        Err(_) if outcome == AttemptOutcome::Answered => {
            let mut result =
                CallResult::with_reply(AttemptOutcome::Unknown, &head.headers, Bytes::new());
            result.connection_loss = Some(ConnectionLoss::Closed);
            result
        }
        Err(_) => CallResult::with_reply(outcome, &head.headers, Bytes::new()),
    }
}
