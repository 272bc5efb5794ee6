//! State of one shard of a query in progress.

use std::sync::Arc;

use alderhaven_core::time::{TimePoint, TimeSpan};
use smallvec::SmallVec;

use crate::abandoned_status::AbandonedStatus;
use crate::attempt::TargetReply;
use crate::service_targets::ServiceTargets;
use crate::shard_reply::ShardReply;
use crate::target_handle::TargetHandle;

/// State of one shard, or of the single service of a query without shards.
#[derive(Debug)]
pub struct ShardState {
    /// Targets of the service, or `None` if no target of it is known.
    pub service: Option<Arc<ServiceTargets>>,
    /// Targets that an attempt was started at, in order.
    pub tried: SmallVec<[Arc<TargetHandle>; 2]>,
    /// Start of the attempt at each of the tried targets.
    pub sent_at: SmallVec<[TimePoint; 2]>,
    /// Number of targets that may have run the request.
    pub possible_runs: usize,
    /// Number of attempts that were never sent.
    pub unsent: usize,
    /// Number of attempts that were sent to a failure domain which was then lost. They are assumed
    /// not to run.
    pub lost_with_domain: usize,
    /// Targets that were abandoned with their failure domain. They may still reply.
    pub abandoned: SmallVec<[Arc<TargetHandle>; 2]>,
    /// Number of attempts without an end, not counting abandoned ones.
    pub open_attempts: usize,
    /// Whether its next attempt waits for the trial of another shard.
    pub is_held: bool,
    /// When the next hedge is due, or `None` if none is planned.
    pub hedge_at: Option<TimePoint>,
    /// Whether a target refused an attempt without running it.
    pub is_refused: bool,
    /// Reply that goes into the answer.
    pub reply: Option<ShardReply>,
    /// Latest reply in which a target reported a failure.
    pub failure: Option<TargetReply>,
}

impl ShardState {
    /// Creates a shard without attempts.
    #[must_use]
    pub fn new(service: Option<Arc<ServiceTargets>>) -> Self {
        Self {
            service,
            tried: SmallVec::new(),
            sent_at: SmallVec::new(),
            possible_runs: 0,
            unsent: 0,
            lost_with_domain: 0,
            abandoned: SmallVec::new(),
            open_attempts: 0,
            is_held: false,
            hedge_at: None,
            is_refused: false,
            reply: None,
            failure: None,
        }
    }

    /// Records the start of an attempt, which counts as a possible run until it is known not to
    /// have run.
    pub fn begin_attempt(&mut self, target: Arc<TargetHandle>, now: TimePoint) {
        target.warmup().record_sent(now);
        self.tried.push(target);
        self.sent_at.push(now);
        self.open_attempts += 1;
        self.possible_runs += 1;
    }

    /// Records that a target refused an attempt without running it.
    pub const fn record_refused(&mut self) {
        self.possible_runs -= 1;
    }

    /// Records that an attempt was never sent.
    pub const fn record_unsent(&mut self) {
        self.possible_runs -= 1;
        self.unsent += 1;
    }

    /// Abandons the open attempt at a target whose failure domain is silent.
    pub fn abandon(&mut self, target: Arc<TargetHandle>, status: AbandonedStatus) {
        self.abandoned.push(target);
        self.open_attempts -= 1;
        match status {
            AbandonedStatus::Unsent => self.record_unsent(),
            AbandonedStatus::DomainLost => self.lost_with_domain += 1,
            AbandonedStatus::MayRun => {}
        }
    }

    /// Returns the number of targets that count towards the limit of the route: possible runs,
    /// except those lost with their failure domain.
    #[must_use]
    pub const fn counted_targets(&self) -> usize {
        self.possible_runs - self.lost_with_domain
    }

    /// Returns `true` if any attempt may have reached the service.
    #[must_use]
    pub fn has_reached_service(&self) -> bool {
        self.tried.len() > self.unsent + self.lost_with_domain
    }

    /// Returns `true` if the attempt at this target was abandoned.
    #[must_use]
    pub fn is_abandoned(&self, target: &Arc<TargetHandle>) -> bool {
        self.abandoned
            .iter()
            .any(|abandoned| Arc::ptr_eq(abandoned, target))
    }

    /// Chooses the best untried target. Returns `None` if no other can be used now.
    #[must_use]
    pub fn next_target(
        &self,
        typical_latency: TimeSpan,
        now: TimePoint,
    ) -> Option<Arc<TargetHandle>> {
        let service = self.service.as_ref()?;
        service.choose(&self.tried, typical_latency, now).cloned()
    }

    /// Returns `true` while a reply is missing and may still come.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.reply.is_none() && (self.open_attempts > 0 || self.is_held)
    }
}
