//! Refuses requests that crash targets, and lets one of several equal suspects run at a time.

use std::sync::Arc;

use alderhaven_core::time::TimeSpan;
use alderhaven_policy::quarantine_verdict::QuarantineVerdict;
use log::Level;
use tokio::time;

use crate::catalog_view::LiveRoute;
use crate::front_answer::{FrontAnswer, RefusalReason};
use crate::front_context::FrontContext;
use crate::front_event::FrontEvent;
use crate::query_call::QueryCall;
use crate::request_refusal;
use crate::request_refusal::RequestRefusal;
use crate::trial_registry::TrialGuard;

/// The longest wait for the trial of an equal request, which takes the time of one attempt.
const MAX_TRIAL_WAIT: TimeSpan = TimeSpan::from_millis(250);
/// The minimum `Retry-After` of a request that waited for such a trial in vain.
const TRIAL_RETRY_MIN: TimeSpan = TimeSpan::from_millis(150);
/// The maximum random addition to [`TRIAL_RETRY_MIN`].
const TRIAL_RETRY_JITTER: TimeSpan = TimeSpan::from_millis(250);

/// Refuses a request that is quarantined, once other nodes have had the time to add what they had in
/// flight at the crashes.
///
/// # Errors
/// The answer that it did not run.
pub(crate) async fn refuse_quarantined(
    context: &FrontContext,
    route: &LiveRoute,
    call: &QueryCall,
) -> Result<(), Box<FrontAnswer>> {
    match settled_refusal(context, call).await {
        Some(span) => Err(refuse(context, route, call, span)),
        None => Ok(()),
    }
}

/// Waits until no other node can add to the evidence against a request, and returns how long it is
/// refused then.
async fn settled_refusal(context: &FrontContext, call: &QueryCall) -> Option<TimeSpan> {
    let crashes = context.catalog.crashes();
    let delay = crashes.refusal_delay(call);
    if delay > TimeSpan::ZERO {
        time::sleep(delay.as_duration()).await;
    }
    crashes.refused_for(call)
}

/// Returns the right to run on trial if the request is a suspect, after the trials of equal
/// requests on this front have ended. Returns `None` if it is no suspect.
///
/// # Errors
/// The answer that it did not run: it is quarantined, or another trial lasts too long.
pub(crate) async fn begin_trial(
    context: &FrontContext,
    route: &LiveRoute,
    call: &QueryCall,
) -> Result<Option<Arc<TrialGuard>>, Box<FrontAnswer>> {
    let crashes = context.catalog.crashes();
    let until = context.clock.now() + MAX_TRIAL_WAIT.min(route.rule.latency_target);
    loop {
        let reason = match crashes.verdict(call) {
            QuarantineVerdict::Clear => return Ok(None),
            QuarantineVerdict::Refused(_) => {
                refuse_quarantined(context, route, call).await?;
                continue;
            }
            QuarantineVerdict::Suspect(reason) => reason,
        };
        let other = match crashes.trials().begin(call.fingerprint()) {
            Ok(guard) => {
                FrontEvent::SuspectAdmitted {
                    request: call.request_id.to_string(),
                    fingerprint: call.fingerprint().to_string(),
                    reason,
                }
                .emit(Level::Info);
                return Ok(Some(guard));
            }
            Err(other) => other,
        };
        let remaining = until.since(context.clock.now()).as_duration();
        if time::timeout(remaining, other.ended()).await.is_err() {
            let retry_after = request_refusal::spread_retry(TRIAL_RETRY_MIN, TRIAL_RETRY_JITTER);
            let reason = RefusalReason::OnTrial;
            let refusal = RequestRefusal::of_call(call, route, reason, retry_after);
            return Err(Box::new(
                refusal.answer_not_run(&context.metrics, Level::Info),
            ));
        }
    }
}

fn refuse(
    context: &FrontContext,
    route: &LiveRoute,
    call: &QueryCall,
    span: TimeSpan,
) -> Box<FrontAnswer> {
    let refusal = RequestRefusal::of_call(call, route, RefusalReason::Crashes, span);
    Box::new(refusal.answer_not_run(&context.metrics, Level::Warn))
}
