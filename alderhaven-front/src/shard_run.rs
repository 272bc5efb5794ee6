//! One shard of a query that is under way.

use std::sync::Arc;

use alderhaven_core::time::{TimePoint, TimeSpan};
use smallvec::SmallVec;

use crate::attempt::TargetReply;
use crate::left_fate::LeftFate;
use crate::service_targets::ServiceTargets;
use crate::shard_part::ShardPart;
use crate::target_handle::TargetHandle;

/// A `ShardRun` is the state of one shard, or of the one service of a query without shards.
#[derive(Debug)]
pub struct ShardRun {
    /// Its targets; none where no target of the service is known.
    pub service: Option<Arc<ServiceTargets>>,
    /// The targets that were asked.
    pub tried: SmallVec<[Arc<TargetHandle>; 2]>,
    /// When each of them was asked.
    pub sent: SmallVec<[TimePoint; 2]>,
    /// The targets that may have run the request.
    pub ran: usize,
    /// The attempts that were never sent.
    pub unsent: usize,
    /// The attempts that were sent to a failure domain which was lost, where they will hardly run.
    pub cut_off: usize,
    /// The targets that were given up with their failure domain, though they may still answer.
    pub left: SmallVec<[Arc<TargetHandle>; 2]>,
    /// The attempts that are out.
    pub open: usize,
    /// When another replica is asked too; none where that is not due any more.
    pub hedge_at: Option<TimePoint>,
    /// Whether a target refused it.
    pub is_refused: bool,
    /// The answer.
    pub part: Option<ShardPart>,
    /// The latest failure that a target answered with.
    pub failure: Option<TargetReply>,
}

impl ShardRun {
    /// Returns a shard of which no target was asked yet.
    #[must_use]
    pub fn new(service: Option<Arc<ServiceTargets>>) -> Self {
        Self {
            service,
            tried: SmallVec::new(),
            sent: SmallVec::new(),
            ran: 0,
            unsent: 0,
            cut_off: 0,
            left: SmallVec::new(),
            open: 0,
            hedge_at: None,
            is_refused: false,
            part: None,
            failure: None,
        }
    }

    /// Notes that a target is asked.
    pub fn begin(&mut self, target: Arc<TargetHandle>, now: TimePoint) {
        target.warmup().note_sent(now);
        self.tried.push(target);
        self.sent.push(now);
        self.open += 1;
        self.ran += 1;
    }

    /// Notes that a target refused an attempt without running it.
    pub const fn note_refused(&mut self) {
        self.ran -= 1;
    }

    /// Notes that an attempt was never sent.
    pub const fn note_unsent(&mut self) {
        self.ran -= 1;
        self.unsent += 1;
    }

    /// Gives up the open attempt at a target whose failure domain is silent.
    pub fn leave(&mut self, target: Arc<TargetHandle>, fate: LeftFate) {
        self.left.push(target);
        self.open -= 1;
        match fate {
            LeftFate::Unsent => self.note_unsent(),
            LeftFate::CutOff => self.cut_off += 1,
            LeftFate::MayRun => {}
        }
    }

    /// Gets the targets that count towards the most that the route allows: not those that were cut off.
    #[must_use]
    pub const fn counted(&self) -> usize {
        self.ran - self.cut_off
    }

    /// Returns true where the request has arrived at the service, as far as can be told.
    #[must_use]
    pub fn has_arrived(&self) -> bool {
        self.tried.len() > self.unsent + self.cut_off
    }

    /// Returns true where the attempt at a target was given up.
    #[must_use]
    pub fn has_left(&self, target: &Arc<TargetHandle>) -> bool {
        self.left.iter().any(|left| Arc::ptr_eq(left, target))
    }

    /// Chooses the best target that was not asked yet; none where no other may be used now.
    #[must_use]
    pub fn next_target(&self, usual: TimeSpan, now: TimePoint) -> Option<Arc<TargetHandle>> {
        let service = self.service.as_ref()?;
        service.choose(&self.tried, usual, now).cloned()
    }

    /// Returns true while an answer may still come.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.part.is_none() && self.open > 0
    }
}
