//! One call of a target over HTTP, and what can be said of it afterwards.

use alderhaven_core::outcome::{AttemptOutcome, NotRunReason};
use alderhaven_platform::dialect;
use alderhaven_platform::dialect::TargetRequest;
use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use crate::target_connections::{TargetConnections, TargetSender};

/// The largest reply that is read from a target, in bytes; it must fit into one frame.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// A `CallVerdict` is what a call of a target came to.
#[derive(Debug)]
pub struct CallVerdict {
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// The rows, where the target answered.
    pub rows: Bytes,
    /// The free slots that the target reports.
    pub free_slots: Option<u32>,
    /// Whether the target says that it drains.
    pub is_draining: bool,
}

impl CallVerdict {
    /// Returns a verdict without a reply of the target.
    #[must_use]
    pub const fn without_reply(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            rows: Bytes::new(),
            free_slots: None,
            is_draining: false,
        }
    }

    fn with_reply(outcome: AttemptOutcome, headers: &HeaderMap, rows: Bytes) -> Self {
        Self {
            outcome,
            rows,
            free_slots: dialect::free_slots(headers),
            is_draining: dialect::is_draining(headers),
        }
    }
}

/// What sending a request came to.
enum SendOutcome {
    Replied(Response<Incoming>),
    /// No byte was written, and the request came back.
    NotSent,
    /// Bytes were written and no reply came: the target may have run the attempt.
    Lost,
}

/// Runs an attempt at its target.
///
/// A kept connection may have been closed by the target while it was idle. Nothing of the request
/// was written then, so it is sent once more on a new connection.
pub async fn run(
    connections: &TargetConnections,
    authority: &str,
    request: &TargetRequest,
) -> CallVerdict {
    let not_sent = CallVerdict::without_reply(AttemptOutcome::NotRun(NotRunReason::NotSent));
    let Ok(kept) = connections.take().await else {
        return not_sent;
    };
    match send(kept, authority, request).await {
        (SendOutcome::NotSent, _) => {}
        (outcome, sender) => return finish(connections, request, outcome, sender).await,
    }
    let Ok(new) = connections.connect().await else {
        return not_sent;
    };
    let (outcome, sender) = send(new, authority, request).await;
    finish(connections, request, outcome, sender).await
}

/// Asks a target to drop an attempt whose answer is no longer wanted.
///
/// It goes over a connection of its own: closing the attempt's connection would cost a new one.
pub async fn cancel(connections: &TargetConnections, authority: &str, request: &TargetRequest) {
    let Ok(mut sender) = connections.take().await else {
        return;
    };
    let cancel = Request::post(dialect::CANCEL_PATH)
        .header(http::header::HOST, authority)
        .header(dialect::ATTEMPT_HEADER, request.attempt.to_string())
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

async fn send(
    mut sender: TargetSender,
    authority: &str,
    request: &TargetRequest,
) -> (SendOutcome, TargetSender) {
    let Ok(message) = request.to_http(authority) else {
        return (SendOutcome::NotSent, sender);
    };
    let outcome = match sender.try_send_request(message).await {
        Ok(response) => SendOutcome::Replied(response),
        // hyper hands a request back only where no byte of it was written; without that proof the
        // target may have run it.
        Err(mut error) => match error.take_message() {
            Some(_) => SendOutcome::NotSent,
            None => SendOutcome::Lost,
        },
    };
    (outcome, sender)
}

async fn finish(
    connections: &TargetConnections,
    request: &TargetRequest,
    outcome: SendOutcome,
    sender: TargetSender,
) -> CallVerdict {
    let response = match outcome {
        SendOutcome::Replied(response) => response,
        SendOutcome::NotSent => {
            return CallVerdict::without_reply(AttemptOutcome::NotRun(NotRunReason::NotSent));
        }
        SendOutcome::Lost => return CallVerdict::without_reply(AttemptOutcome::Unknown),
    };
    let (head, body) = response.into_parts();
    let judged = request.judge(head.status, &head.headers);
    match Limited::new(body, MAX_REPLY_BYTES).collect().await {
        Ok(rows) => {
            connections.give_back(sender);
            CallVerdict::with_reply(judged, &head.headers, rows.to_bytes())
        }
        // A truncated answer is no answer, though the target ran the attempt. The connection is
        // dropped: its next bytes could belong to this answer.
        Err(_) if judged == AttemptOutcome::Answered => {
            CallVerdict::with_reply(AttemptOutcome::Unknown, &head.headers, Bytes::new())
        }
        Err(_) => CallVerdict::with_reply(judged, &head.headers, Bytes::new()),
    }
}
