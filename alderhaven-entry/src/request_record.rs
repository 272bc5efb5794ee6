//! Request ids, and the log event of a request that was not answered.

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

/// Header that carries the request id, in requests and replies.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Longest request id accepted from a caller, in bytes. It limits the size of log events.
pub const MAX_REQUEST_ID_BYTES: usize = 64;

/// Id of one request, returned in the reply and written to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct RequestId(String);

impl RequestId {
    /// Takes the caller's id if it is well-formed, and generates one otherwise.
    ///
    /// A well-formed id occurs once and has 1 to [`MAX_REQUEST_ID_BYTES`] ASCII letters, digits,
    /// `-`, `_` and `.`.
    #[must_use]
    pub fn from_headers(headers: &HeaderMap) -> Self {
        let mut given = headers.get_all(REQUEST_ID_HEADER).iter();
        let own = given.next().and_then(|value| value.to_str().ok());
        match (own, given.next()) {
            (Some(text), None) if is_well_formed(text) => Self(text.to_owned()),
            _ => Self(Uuid::now_v7().to_string()),
        }
    }

    /// Returns the id as a header value of the reply.
    #[must_use]
    pub(crate) fn header_value(&self) -> HeaderValue {
        HeaderValue::from_str(&self.0).expect("a request id contains only visible ASCII characters")
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

/// What is known about a request, for the log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RequestRecord {
    /// Id of the request.
    #[serde(rename = "request")]
    pub id: RequestId,
    /// The template, once the request is planned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub template: Option<TemplateName>,
    /// The team, once the request is planned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamId>,
    /// The class, once the request is planned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<QueryClass>,
}

/// Log event of a request that was refused or failed, or whose outcome is unknown.
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
    /// Creates the record of a request that has just arrived.
    #[must_use]
    pub const fn new(id: RequestId) -> Self {
        Self {
            id,
            template: None,
            team: None,
            class: None,
        }
    }

    /// Adds template, team and class from the plan.
    pub fn record_plan(&mut self, plan: &QueryPlan) {
        self.template = Some(plan.template.name.clone());
        self.team = Some(plan.team.name.clone());
        self.class = Some(plan.template.class);
    }

    /// Logs the event of a request that was not answered.
    ///
    /// Parameter values, and the error message, which may quote them, are not logged.
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
