//! Takes credit for the requests of teams with a limit, and refuses those without credit.

use alderhaven_core::time::TimeSpan;
use log::Level;

use crate::catalog_view::LiveRoute;
use crate::credit_keeper::CreditRefusal;
use crate::credit_permit::CreditPermit;
use crate::front_answer::{FrontAnswer, RefusalReason};
use crate::front_context::FrontContext;
use crate::query_call::QueryCall;
use crate::request_refusal;
use crate::request_refusal::RequestRefusal;

/// The shortest limit on the wait for credit.
const MIN_CREDIT_WAIT: TimeSpan = TimeSpan::from_millis(40);
/// The share of the latency target that the wait for credit may use if that is longer.
const CREDIT_WAIT_SHARE: f64 = 0.1;

/// The random addition to the time at which a team has credit again, as a share of that time. A
/// caller is never told an earlier time, because it would be refused again.
const LIMIT_RETRY_JITTER_SHARE: f64 = 0.5;
/// The smallest upper bound of that addition.
const MIN_LIMIT_RETRY_JITTER: TimeSpan = TimeSpan::from_millis(50);

/// The maximum random addition to the retry time of a front that can't obtain credit.
const CREDIT_RETRY_JITTER: TimeSpan = TimeSpan::from_millis(250);

/// Takes credit for a request; `None` if no limit applies to it.
///
/// # Errors
/// The answer to a request without credit.
pub(crate) async fn take_credit(
    context: &FrontContext,
    route: &LiveRoute,
    call: &QueryCall,
) -> Result<Option<CreditPermit>, Box<FrontAnswer>> {
    let Some(team) = call.identity.team() else {
        return Ok(None);
    };
    let Some(limit) = team.limit else {
        return Ok(None);
    };
    let latency_target = route.rule.latency_target;
    let max_wait = latency_target
        .mul_f64(CREDIT_WAIT_SHARE)
        .max(MIN_CREDIT_WAIT);
    match context.credit.acquire(&team.name, limit, max_wait).await {
        Ok(permit) => Ok(Some(permit)),
        Err(refusal) => Err(Box::new(refuse(context, route, call, refusal))),
    }
}

fn refuse(
    context: &FrontContext,
    route: &LiveRoute,
    call: &QueryCall,
    refusal: CreditRefusal,
) -> FrontAnswer {
    match refusal {
        CreditRefusal::OverLimit { retry_after } => {
            let jitter = retry_after.mul_f64(LIMIT_RETRY_JITTER_SHARE);
            let jitter = jitter.max(MIN_LIMIT_RETRY_JITTER);
            let retry_after = request_refusal::spread_retry(retry_after, jitter);
            let reason = RefusalReason::OverLimit;
            let refusal = RequestRefusal::of_call(call, route, reason, retry_after);
            refusal.record(&context.metrics, Level::Info);
            FrontAnswer::OverLimit { retry_after }
        }
        CreditRefusal::Unavailable { retry_after } => {
            let retry_after = request_refusal::spread_retry(retry_after, CREDIT_RETRY_JITTER);
            let reason = RefusalReason::NoCredit;
            RequestRefusal::of_call(call, route, reason, retry_after)
                .answer_not_run(&context.metrics, Level::Warn)
        }
    }
}
