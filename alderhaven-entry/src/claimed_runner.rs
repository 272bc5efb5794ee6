//! Runs non-idempotent requests at most once: admission, claim, a single dispatch, then the answer
//! is held for resends.

use std::net::SocketAddr;
use std::sync::Arc;

use alderhaven_core::ids::NodeId;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::TimeSpan;
use alderhaven_core::wall_clock;
use alderhaven_policy::claim_bucket::ClaimWriter;
use alderhaven_policy::claim_fingerprint::ClaimFingerprint;
use alderhaven_policy::claim_key::ClaimKey;
use alderhaven_policy::claim_slot::KeyAge;
use alderhaven_policy::claim_verdict::{ClaimRefusal, ClaimTicket, ClaimVerdict};
use alderhaven_store::config_handle::{ConfigHandle, StoreSyncState};
use alderhaven_store::object_store::ObjectStore;
use bon::Builder;
use serde_json::{Value, json};
use tokio::time;

use crate::admission_controller::AdmissionController;
use crate::admission_permit::AdmissionPermit;
use crate::answer::{ErrorAnswer, ErrorCode};
use crate::caller_server;
use crate::claim_ledger::ClaimLedger;
use crate::claim_metrics::ClaimMetrics;
use crate::claim_peers::ClaimPeers;
use crate::held_answers::{HeldAnswers, HeldLookup, OutcomeWatch, RunOutcome, RunningRequest};
use crate::query_plan::QueryPlan;
use crate::query_runner::QueryRunner;

/// Runs non-idempotent requests, each at most once across all entries.
#[derive(Builder, Debug)]
pub struct ClaimedRunner<S> {
    node: NodeId,
    ledger: Arc<ClaimLedger<S>>,
    held: Arc<HeldAnswers>,
    peers: ClaimPeers,
    admission: Arc<AdmissionController>,
    runner: Arc<QueryRunner>,
    config: ConfigHandle,
    clock: ProcessClock,
    metrics: ClaimMetrics,
}

/// Outcome of a request, and which entry dispatched it, if any.
enum DispatchOutcome {
    Dispatched(RunOutcome),
    Learned(RunOutcome),
    NotDispatched(ErrorAnswer),
}

impl<S: ObjectStore> ClaimedRunner<S> {
    /// Returns the ledger. [`ClaimLedger::run_forever`] makes its store calls.
    #[must_use]
    pub const fn ledger(&self) -> &Arc<ClaimLedger<S>> {
        &self.ledger
    }

    /// Returns the running requests and held answers of this entry.
    #[must_use]
    pub const fn held(&self) -> &Arc<HeldAnswers> {
        &self.held
    }

    /// Returns the address at which other entries query outcomes.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Returns the state of the ledger and the held answers, for the state dump.
    #[must_use]
    pub fn dump(&self) -> Value {
        json!({ "ledger": self.ledger.report(), "held": self.held.report() })
    }

    /// Answers a request: with the held answer of an earlier request with the same key, or by
    /// claiming the key and running it.
    ///
    /// The request runs in its own task, so that it completes even if the caller disconnects, and a
    /// resend receives its outcome.
    ///
    /// # Errors
    /// The error for the caller if the request was refused or failed, or if its outcome is unknown.
    pub async fn answer(self: &Arc<Self>, key: ClaimKey, plan: QueryPlan) -> RunOutcome {
        let fingerprint = ClaimFingerprint::of(&plan.fingerprint(), &plan.team.name);
        let expires_at = time::Instant::from_std(plan.expires_at());
        match self.held.start(key, fingerprint, self.clock.now()) {
            HeldLookup::Conflict => Err(key_conflict()),
            HeldLookup::Known(outcome) => self.replay(outcome, expires_at).await,
            HeldLookup::New(request) => {
                let mut outcome = request.watch();
                let runner = Arc::clone(self);
                tokio::spawn(async move { runner.run(request, key, fingerprint, plan).await });
                wait_for_outcome(&mut outcome).await
            }
        }
    }

    async fn replay(&self, mut outcome: OutcomeWatch, expires_at: time::Instant) -> RunOutcome {
        let Ok(outcome) = time::timeout_at(expires_at, wait_for_outcome(&mut outcome)).await else {
            return Err(unknown_answer("the request is still running"));
        };
        self.metrics.replays.inc();
        mark_replayed(outcome)
    }

    async fn run(
        &self,
        request: RunningRequest,
        key: ClaimKey,
        fingerprint: ClaimFingerprint,
        plan: QueryPlan,
    ) {
        match self.admit_claim_run(key, fingerprint, &plan).await {
            DispatchOutcome::Dispatched(outcome) => {
                request.finish_and_hold(outcome, self.clock.now());
            }
            DispatchOutcome::Learned(outcome) => match mark_replayed(outcome) {
                Ok(answer) => request.finish_and_hold(Ok(answer), self.clock.now()),
                Err(error) => request.finish_and_remove(Err(error)),
            },
            DispatchOutcome::NotDispatched(error) => request.finish_and_remove(Err(error)),
        }
    }

    /// Admission comes before the claim, so that a refusal for load causes no store call.
    async fn admit_claim_run(
        &self,
        key: ClaimKey,
        fingerprint: ClaimFingerprint,
        plan: &QueryPlan,
    ) -> DispatchOutcome {
        if let Some(error) = self.key_refusal(&key) {
            return DispatchOutcome::NotDispatched(error);
        }
        let mut permit = match self.admission.admit(plan).await {
            Ok(permit) => permit,
            Err(refusal) => {
                return DispatchOutcome::NotDispatched(caller_server::refusal_answer(refusal));
            }
        };
        let deadline = self.clock.time_point(plan.expires_at());
        match self.ledger.claim(key, fingerprint, deadline).await {
            ClaimVerdict::Granted(ticket) => self.dispatch(ticket, plan, &mut permit).await,
            ClaimVerdict::Taken(holder) => {
                drop(permit);
                self.fetch_outcome(&holder, key, fingerprint, plan).await
            }
            ClaimVerdict::Conflict => DispatchOutcome::NotDispatched(key_conflict()),
            ClaimVerdict::TooOld => DispatchOutcome::NotDispatched(key_too_old()),
            ClaimVerdict::Refused {
                reason,
                retry_after,
            } => DispatchOutcome::NotDispatched(refusal_answer(reason, retry_after)),
        }
    }

    /// Dispatches a granted request once, and releases the claim if it certainly did not run.
    ///
    /// A request whose deadline passed while the process was paused is not dispatched, since its
    /// caller has given up.
    async fn dispatch(
        &self,
        ticket: ClaimTicket,
        plan: &QueryPlan,
        permit: &mut AdmissionPermit,
    ) -> DispatchOutcome {
        if self.clock.now() >= self.clock.time_point(plan.expires_at()) {
            self.ledger.release(ticket);
            let message = "the deadline had passed before the request could be sent";
            return DispatchOutcome::NotDispatched(ErrorAnswer::not_run(
                ErrorCode::Unavailable,
                message,
            ));
        }
        match self.runner.run(plan, permit).await {
            Err(error) if error.error.not_run => {
                self.ledger.release(ticket);
                DispatchOutcome::NotDispatched(error)
            }
            outcome => DispatchOutcome::Dispatched(outcome),
        }
    }

    /// Refuses a key outside the accepted time window, and any key after the store has regressed.
    fn key_refusal(&self, key: &ClaimKey) -> Option<ErrorAnswer> {
        if matches!(
            self.config.status().sync_state,
            StoreSyncState::Regressed { .. }
        ) {
            // A store restored from an older copy lacks some of the granted claims.
            return Some(unknown_answer(
                "the store has regressed; granted claims may be missing",
            ));
        }
        match KeyAge::of(key, wall_clock::unix_millis()) {
            KeyAge::Served => None,
            KeyAge::TooOld => Some(key_too_old()),
            KeyAge::TooNew => Some(ErrorAnswer::not_run(
                ErrorCode::BadRequest,
                "the time in the idempotency key is too far in the future",
            )),
        }
    }

    /// Fetches the outcome from the entry that claimed the key.
    async fn fetch_outcome(
        &self,
        holder: &ClaimWriter,
        key: ClaimKey,
        fingerprint: ClaimFingerprint,
        plan: &QueryPlan,
    ) -> DispatchOutcome {
        let remaining = self
            .clock
            .now()
            .until(self.clock.time_point(plan.expires_at()));
        let fetch = self
            .peers
            .fetch_outcome(holder.address, key, fingerprint, remaining);
        match fetch.await {
            Some(outcome) => {
                self.metrics.learned.inc();
                DispatchOutcome::Learned(outcome)
            }
            None => DispatchOutcome::NotDispatched(self.taken_answer(&holder.node)),
        }
    }

    fn taken_answer(&self, holder: &NodeId) -> ErrorAnswer {
        let holder = if *holder == self.node {
            "this entry, which no longer holds the answer".to_owned()
        } else {
            format!("entry {holder}, which did not return the outcome")
        };
        unknown_answer(format!("the key was claimed at {holder}"))
    }
}

/// Marks an outcome as that of an earlier request with the same key.
fn mark_replayed(outcome: RunOutcome) -> RunOutcome {
    match outcome {
        Ok(mut answer) => {
            answer.replayed = true;
            Ok(answer)
        }
        Err(mut answer) => {
            answer.replayed = true;
            Err(answer)
        }
    }
}

/// Waits until a running request has an outcome.
async fn wait_for_outcome(outcome: &mut OutcomeWatch) -> RunOutcome {
    match outcome.wait_for(Option::is_some).await {
        Ok(outcome) => outcome.as_ref().map_or_else(
            || Err(unknown_answer("the request has no outcome")),
            |outcome| RunOutcome::clone(outcome),
        ),
        Err(_) => Err(unknown_answer("the request ended without an outcome")),
    }
}

fn unknown_answer(message: impl Into<String>) -> ErrorAnswer {
    ErrorAnswer::may_have_run(ErrorCode::Unknown, message)
}

/// The request may have run before the ledger dropped the key, so that `not_run` would be wrong.
fn key_too_old() -> ErrorAnswer {
    unknown_answer("the idempotency key is too old: whether its request ran is not remembered")
}

fn key_conflict() -> ErrorAnswer {
    ErrorAnswer::not_run(
        ErrorCode::KeyConflict,
        "the idempotency key was used for another template, team or parameters",
    )
}

fn refusal_answer(reason: ClaimRefusal, retry_after: TimeSpan) -> ErrorAnswer {
    let (code, message) = match reason {
        ClaimRefusal::StoreDown => (
            ErrorCode::Unavailable,
            "the store is out of service, and the request can't be claimed",
        ),
        ClaimRefusal::StoreSlow => (
            ErrorCode::Unavailable,
            "the store did not answer in time, and the request was not claimed",
        ),
        ClaimRefusal::LedgerBroken => (
            ErrorCode::Unavailable,
            "the claim ledger is unreadable or has regressed, and the request was not claimed",
        ),
        ClaimRefusal::BucketFull => (
            ErrorCode::Overloaded,
            "too many idempotency keys have the same time; use a new key",
        ),
        ClaimRefusal::Busy => (ErrorCode::Overloaded, "too many claims are in flight"),
    };
    // Jitter, so that callers refused together don't retry together.
    let spread = retry_after.mul_f64(1.0 + rand::random::<f64>());
    ErrorAnswer::not_run(code, message).with_retry_after(spread)
}
