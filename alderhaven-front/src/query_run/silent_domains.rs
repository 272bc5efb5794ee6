//! Abandons attempts at failure domains that have fallen silent, and retries them elsewhere.

use std::sync::Arc;

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::domain_silence;
use log::Level;

use crate::abandoned_status::AbandonedStatus;
use crate::attempt::{AttemptOutcome, AttemptReport};
use crate::front_event::{FrontEvent, UnansweredAttempt};
use crate::front_metrics::UnansweredReason;
use crate::query_run::QueryRun;
use crate::target_handle::TargetHandle;

/// Interval at which overdue attempts are checked against the state of their failure domain.
const SILENCE_CHECK_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

/// An attempt that is abandoned with its failure domain.
struct AbandonedAttempt {
    shard: usize,
    target: Arc<TargetHandle>,
    status: AbandonedStatus,
}

/// Records a reply of a target, which ends a silence of its failure domain.
pub(super) fn record_answer(target: &TargetHandle, now: TimePoint) {
    if target.silence().record_answer(now) {
        FrontEvent::DomainHeard {
            domain: domain_name(target),
        }
        .emit(Level::Info);
    }
}

/// Records what the end of an attempt shows about the failure domain of its target.
pub(super) fn record_outcome(report: &AttemptReport, now: TimePoint) {
    match report.outcome {
        AttemptOutcome::Success(_)
        | AttemptOutcome::Failure(_)
        | AttemptOutcome::TimedOut(_)
        | AttemptOutcome::NotRun
        | AttemptOutcome::WrongTarget => record_answer(&report.target, now),
        // Connection errors may have their cause on this host.
        AttemptOutcome::Unreachable | AttemptOutcome::Cancelled | AttemptOutcome::Lost => {}
    }
}

fn record_overdue(target: &TargetHandle, sent_at: TimePoint, now: TimePoint) {
    if target.silence().record_overdue(sent_at, now) {
        FrontEvent::DomainSilent {
            domain: domain_name(target),
        }
        .emit(Level::Warn);
    }
}

/// Returns the status of an abandoned attempt that was sent.
fn status_after_send(target: &TargetHandle, now: TimePoint) -> AbandonedStatus {
    if target.silence().is_lost(now) {
        AbandonedStatus::DomainLost
    } else {
        AbandonedStatus::MayRun
    }
}

fn domain_name(target: &TargetHandle) -> String {
    let domain = target.entry().domain.clone();
    domain.map(String::from).unwrap_or_default()
}

impl QueryRun<'_> {
    /// Counts attempts that lack a reply for too long as overdue against their failure domains,
    /// once each.
    pub(super) fn record_overdue_attempts(&mut self, now: TimePoint) {
        let timeout = domain_silence::source_timeout(self.typical_latency);
        for open in &mut self.open_attempts {
            if !open.is_overdue && now >= open.sent_at + timeout {
                open.is_overdue = true;
                record_overdue(&open.target, open.sent_at, now);
            }
        }
    }

    /// Counts a group request without a reply as overdue against its failure domain.
    pub(super) fn record_overdue_request(&mut self, index: usize, now: TimePoint) {
        let request = &mut self.group_requests[index];
        request.is_overdue = true;
        if let Some((_, target)) = request.shards.iter().flatten().next() {
            record_overdue(target, request.sent_at, now);
        }
    }

    /// Returns when open attempts are to be checked next for the silence of their failure domains.
    pub(super) fn next_silence_check(&self, now: TimePoint) -> Option<TimePoint> {
        let timeout = domain_silence::source_timeout(self.typical_latency);
        let checks = self.open_attempts.iter().map(|open| {
            if open.is_overdue {
                now + SILENCE_CHECK_INTERVAL
            } else {
                open.sent_at + timeout
            }
        });
        checks.min()
    }

    /// Abandons the attempts at silent failure domains and retries their shards elsewhere. Applies
    /// to idempotent requests only.
    pub(super) fn abandon_silent(&mut self, now: TimePoint) {
        if !self.route.rule.is_idempotent {
            return;
        }
        let mut silent = self.take_silent_attempts(now);
        silent.extend(self.take_silent_requests(now));
        for abandoned in silent {
            self.shards[abandoned.shard].abandon(Arc::clone(&abandoned.target), abandoned.status);
            self.record_unanswered(UnansweredAttempt {
                target: abandoned.target.entry().id.clone(),
                reason: UnansweredReason::Silent,
                status: None,
                age: domain_silence::source_timeout(self.typical_latency),
            });
            self.retry_unanswered(abandoned.shard, false, now);
        }
    }

    /// Returns `true` if an attempt at a silent failure domain may be abandoned: the route allows
    /// another target, or the domain counts as lost.
    fn may_abandon(&self, shard: usize, target: &TargetHandle, now: TimePoint) -> bool {
        let silence = *target.silence();
        let is_below_limit = self.shards[shard].counted_targets() < self.route.rule.max_targets;
        silence.is_silent(now) && (is_below_limit || silence.is_lost(now))
    }

    /// Removes direct attempts that are overdue at silent failure domains.
    fn take_silent_attempts(&mut self, now: TimePoint) -> Vec<AbandonedAttempt> {
        let mut abandoned = Vec::new();
        let open = std::mem::take(&mut self.open_attempts);
        for open in open {
            let is_unanswered = self.shards[open.shard].reply.is_none();
            if !open.is_overdue
                || !is_unanswered
                || !self.may_abandon(open.shard, &open.target, now)
            {
                self.open_attempts.push(open);
                continue;
            }
            let status = if open.phase.cancel() {
                AbandonedStatus::Unsent
            } else {
                status_after_send(&open.target, now)
            };
            abandoned.push(AbandonedAttempt {
                shard: open.shard,
                target: open.target,
                status,
            });
        }
        abandoned
    }

    /// Removes group requests at silent failure domains, always as a whole: a late block would
    /// contain records of shards that were sent again.
    fn take_silent_requests(&mut self, now: TimePoint) -> Vec<AbandonedAttempt> {
        let mut abandoned = Vec::new();
        for index in 0..self.group_requests.len() {
            let request = &self.group_requests[index];
            let mut targets = request.shards.iter().flatten();
            let may_abandon = targets.all(|(shard, target)| self.may_abandon(*shard, target, now));
            if !request.is_overdue || !may_abandon {
                continue;
            }
            let taken = self.group_requests[index].shards.iter_mut();
            abandoned.extend(taken.filter_map(Option::take).map(|(shard, target)| {
                let status = status_after_send(&target, now);
                AbandonedAttempt {
                    shard,
                    target,
                    status,
                }
            }));
        }
        abandoned
    }
}
