//! The id of a request, and the log line of a request that was not answered.

use std::fmt;

use alderhaven_core::class::QueryClass;
use alderhaven_core::ids::{TeamId, TemplateName};
use alderhaven_core::logging;
use alderhaven_core::outcome::QueryOutcome;
use http::{HeaderMap, HeaderValue};
use log::Level;
use serde::Serialize;
use uuid::Uuid;

use crate::answer::{ErrorAnswer, ErrorCode};
use crate::query_plan::QueryPlan;

/// The header that carries a request's id, in requests and in replies.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The longest id that is taken over from a caller, in bytes; longer ones would swell the log.
pub const MAX_REQUEST_ID_BYTES: usize = 64;

/// A `RequestId` names one request in its reply and in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct RequestId(String);

impl RequestId {
    /// Gets the caller's own id where it is well-formed, else a new one.
    ///
    /// Well-formed are 1 to [`MAX_REQUEST_ID_BYTES`] ASCII letters, digits, `-`, `_` and `.`, given once.
    #[must_use]
    pub fn from_headers(headers: &HeaderMap) -> Self {
        let mut given = headers.get_all(REQUEST_ID_HEADER).iter();
        let own = given.next().and_then(|value| value.to_str().ok());
        match (own, given.next()) {
            (Some(text), None) if is_well_formed(text) => Self(text.to_owned()),
            _ => Self(Uuid::now_v7().to_string()),
        }
    }

    /// Gets the value of the reply's header.
    #[must_use]
    pub(crate) fn header_value(&self) -> HeaderValue {
        HeaderValue::from_str(&self.0).expect("an id is made of visible ASCII characters")
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

fn is_well_formed(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_REQUEST_ID_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

/// A `RequestRecord` is what the log says of a request, as far as it is known.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RequestRecord {
    /// The request's id.
    #[serde(rename = "request")]
    pub id: RequestId,
    /// The template, once the request is known to be well-formed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub template: Option<TemplateName>,
    /// The team, likewise.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamId>,
    /// The class, likewise.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<QueryClass>,
}

/// A `RequestEvent` is the log line of a request that was refused, failed or is unknown.
#[derive(Serialize)]
#[serde(tag = "event", rename = "request_not_answered")]
struct RequestEvent<'a> {
    #[serde(flatten)]
    record: &'a RequestRecord,
    outcome: QueryOutcome,
    code: ErrorCode,
    not_run: bool,
}

impl RequestRecord {
    /// Returns the record of a request that has just come in.
    #[must_use]
    pub const fn new(id: RequestId) -> Self {
        Self {
            id,
            template: None,
            team: None,
            class: None,
        }
    }

    /// Takes over what a plan tells.
    pub fn record_plan(&mut self, plan: &QueryPlan) {
        self.template = Some(plan.template.name.clone());
        self.team = Some(plan.team.name.clone());
        self.class = Some(plan.template.class);
    }

    /// Logs the one line of a request that was not answered.
    ///
    /// The values of parameters and the message, which may quote them, stay out of the log.
    pub fn log(&self, answer: &ErrorAnswer) {
        let code = answer.error.code;
        let outcome = code.outcome();
        let level = match outcome {
            QueryOutcome::Failed | QueryOutcome::Unknown => Level::Warn,
            QueryOutcome::Complete | QueryOutcome::Partial | QueryOutcome::Refused => Level::Info,
        };
        let event = RequestEvent {
            record: self,
            outcome,
            code,
            not_run: answer.error.not_run,
        };
        logging::emit(level, &event);
    }
}
