//! One shard of a query that is under way.

use std::sync::Arc;

use alderhaven_core::time::{TimePoint, TimeSpan};
use smallvec::SmallVec;

use crate::abandoned_status::AbandonedStatus;
use crate::attempt::TargetReply;
use crate::service_targets::ServiceTargets;
use crate::shard_reply::ShardReply;
use crate::target_handle::TargetHandle;

/// A `ShardRun` is the state of one shard, or of the one service of a query without shards.
#[derive(Debug)]
pub struct ShardState {
    /// Its targets; none where no target of the service is known.
    pub service: Option<Arc<ServiceTargets>>,
    /// The targets that were asked.
    pub tried: SmallVec<[Arc<TargetHandle>; 2]>,
    /// When each of them was asked.
    pub sent_at: SmallVec<[TimePoint; 2]>,
    /// The targets that may have run the request.
    pub possible_runs: usize,
    /// The attempts that were never sent.
    pub unsent: usize,
    /// The attempts that were sent to a failure domain which was lost, where they will hardly run.
    pub lost_with_domain: usize,
    /// The targets that were given up with their failure domain, though they may still answer.
    pub abandoned: SmallVec<[Arc<TargetHandle>; 2]>,
    /// The attempts that are out.
    pub open_attempts: usize,
    /// When another replica is asked too; none where that is not due any more.
    pub hedge_at: Option<TimePoint>,
    /// Whether a target refused it.
    pub is_refused: bool,
    /// The answer.
    pub reply: Option<ShardReply>,
    /// The latest failure that a target answered with.
    pub failure: Option<TargetReply>,
}

impl ShardState {
    /// Returns a shard of which no target was asked yet.
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
            hedge_at: None,
            is_refused: false,
            reply: None,
            failure: None,
        }
    }

    /// Notes that a target is asked.
    pub fn begin_attempt(&mut self, target: Arc<TargetHandle>, now: TimePoint) {
        target.warmup().record_sent(now);
        self.tried.push(target);
        self.sent_at.push(now);
        self.open_attempts += 1;
        self.possible_runs += 1;
    }

    /// Notes that a target refused an attempt without running it.
    pub const fn record_refused(&mut self) {
        self.possible_runs -= 1;
    }

    /// Notes that an attempt was never sent.
    pub const fn record_unsent(&mut self) {
        self.possible_runs -= 1;
        self.unsent += 1;
    }

    /// Gives up the open attempt at a target whose failure domain is silent.
    pub fn abandon(&mut self, target: Arc<TargetHandle>, status: AbandonedStatus) {
        self.abandoned.push(target);
        self.open_attempts -= 1;
        match status {
            AbandonedStatus::Unsent => self.record_unsent(),
            AbandonedStatus::DomainLost => self.lost_with_domain += 1,
            AbandonedStatus::MayRun => {}
        }
    }

    /// Gets the targets that count towards the most that the route allows: not those that were cut off.
    #[must_use]
    pub const fn counted_targets(&self) -> usize {
        self.possible_runs - self.lost_with_domain
    }

    /// Returns true where the request has arrived at the service, as far as can be told.
    #[must_use]
    pub fn has_reached_service(&self) -> bool {
        self.tried.len() > self.unsent + self.lost_with_domain
    }

    /// Returns true where the attempt at a target was given up.
    #[must_use]
    pub fn is_abandoned(&self, target: &Arc<TargetHandle>) -> bool {
        self.abandoned
            .iter()
            .any(|abandoned| Arc::ptr_eq(abandoned, target))
    }

    /// Chooses the best target that was not asked yet; none where no other may be used now.
    #[must_use]
    pub fn next_target(
        &self,
        typical_latency: TimeSpan,
        now: TimePoint,
    ) -> Option<Arc<TargetHandle>> {
        let service = self.service.as_ref()?;
        service.choose(&self.tried, typical_latency, now).cloned()
    }

    /// Returns true while an answer may still come.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.reply.is_none() && self.open_attempts > 0
    }
}
