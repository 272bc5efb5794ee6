//! Refuses requests that this process can't finish because it is stopping.

use alderhaven_core::time::TimeSpan;
use alderhaven_policy::drain_admission;
use log::Level;

use crate::catalog_view::LiveRoute;
use crate::front_answer::{FrontAnswer, RefusalReason};
use crate::front_context::FrontContext;
use crate::query_call::QueryCall;
use crate::request_refusal;
use crate::request_refusal::RequestRefusal;

/// The maximum random delay of the retry at another front, which spreads the callers of this one.
const STOP_RETRY_JITTER: TimeSpan = TimeSpan::from_millis(20);

/// Refuses a request that would probably still run when the process gives its last answers.
///
/// # Errors
/// The answer that it did not run.
pub(crate) fn refuse_unfinishable(
    context: &FrontContext,
    route: &LiveRoute,
    call: &QueryCall,
) -> Result<(), Box<FrontAnswer>> {
    if can_finish(context, route, call) {
        Ok(())
    } else {
        Err(Box::new(refuse(context, route, call)))
    }
}

/// Returns true if a request that is sent to a target now is expected to end before the process.
pub(crate) fn can_finish(context: &FrontContext, route: &LiveRoute, call: &QueryCall) -> bool {
    let Some(remaining) = context.stop.remaining_run_time() else {
        return true;
    };
    let now = context.clock.now();
    let deadline = call.arrived_at + call.time_left.min(route.rule.timeout);
    let kinds = call.work_kinds(&route.rule.path_prefix);
    let longest_run = route.state.longest_run(&kinds, now);
    drain_admission::can_finish(remaining, deadline.since(now), longest_run)
}

fn refuse(context: &FrontContext, route: &LiveRoute, call: &QueryCall) -> FrontAnswer {
    RequestRefusal::of_call(call, route, RefusalReason::Stopping, retry_after())
        .answer_not_run(&context.metrics, Level::Info)
}

/// Answers a request that was sent to no target before the process gives its last answers.
pub(crate) fn refuse_waiting(context: &FrontContext, request_id: &str) -> FrontAnswer {
    let refusal = RequestRefusal {
        request: request_id,
        reason: RefusalReason::Stopping,
        retry_after: retry_after(),
        team: None,
        version: None,
        lease: None,
    };
    refusal.answer_not_run(&context.metrics, Level::Info)
}

fn retry_after() -> TimeSpan {
    request_refusal::spread_retry(TimeSpan::ZERO, STOP_RETRY_JITTER)
}
