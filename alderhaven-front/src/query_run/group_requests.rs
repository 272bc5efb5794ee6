//! Group requests: shards that are sent through a front of another failure domain.

use std::sync::Arc;
use std::task::Poll;

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_peer::group_messages::{
    GroupAttemptResult, GroupOutcome, GroupReply, GroupRequest, HeaderField,
};
use alderhaven_policy::replica_stats::AttemptResult;
use bytes::Bytes;
use http::HeaderValue;

use crate::front_event::UnansweredAttempt;
use crate::front_metrics::{AttemptKind, UnansweredReason};
use crate::group_links::{GroupCall, GroupEvent};
use crate::group_plan::{ShardAssignment, ShardGroup};
use crate::query_run::{QueryRun, silent_domains};
use crate::route_destination::RouteDestination;
use crate::shard_reply::ShardReply;
use crate::target_handle::TargetHandle;

/// How long before the hedges of a query the other front is to flush its replies. Covers the
/// latency between failure domains and the work at both ends.
const FLUSH_LEAD: TimeSpan = TimeSpan::from_millis(3);

/// How long after the due time of its first reply a group request becomes overdue and its link is
/// retired.
const FLUSH_GRACE: TimeSpan = TimeSpan::from_millis(60);

/// How long after the due time of its first reply a group request is given up. A front that is
/// only busy or paused has replied by then.
const FIRST_REPLY_GRACE: TimeSpan = TimeSpan::from_millis(240);

/// Which attempts a group request carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GroupRequestKind {
    /// First attempts of shards. The other front merges their records.
    FirstAttempts,
    /// Hedges. The other front sends each reply by itself as soon as it arrives.
    Hedges,
}

/// A group request in progress at another front.
pub(super) struct PendingGroupRequest {
    pub(super) call: GroupCall,
    /// Shard index and target of each attempt; `None` once the attempt has ended.
    pub(super) shards: Vec<Option<(usize, Arc<TargetHandle>)>>,
    pub(super) sent_at: TimePoint,
    /// When the first reply is expected.
    due_at: TimePoint,
    /// Whether any reply has arrived.
    has_reply: bool,
    /// Whether the first reply was overdue and the link was retired.
    pub(super) is_overdue: bool,
}

impl PendingGroupRequest {
    /// Returns `true` while attempts are open and no reply has arrived.
    fn awaits_first_reply(&self) -> bool {
        !self.has_reply && !self.is_finished()
    }

    /// Returns `true` if every attempt has ended or was abandoned.
    fn is_finished(&self) -> bool {
        self.shards.iter().all(Option::is_none)
    }

    /// Records how long ago the open attempts were sent, in the statistics of their targets.
    fn record_open_attempts(&self, typical_latency: TimeSpan, now: TimePoint) {
        for (_, target) in self.shards.iter().flatten() {
            target.stats().end_attempt(
                self.sent_at,
                typical_latency,
                AttemptResult::Cancelled,
                now,
            );
        }
    }
}

/// Waits for the next event of any group request. Never completes if there is none.
pub(super) async fn next_event(requests: &mut [PendingGroupRequest]) -> (usize, GroupEvent) {
    std::future::poll_fn(|context| {
        for (index, request) in requests.iter_mut().enumerate() {
            if let Poll::Ready(Some(event)) = request.call.events.poll_recv(context) {
                return Poll::Ready((index, event));
            }
        }
        Poll::Pending
    })
    .await
}

impl QueryRun<'_> {
    /// Sends a group of shards through a front of their targets' failure domain. Returns the
    /// shards if no link is usable, so that they are sent directly.
    pub(super) fn send_group(
        &mut self,
        group: ShardGroup,
        kind: GroupRequestKind,
        now: TimePoint,
    ) -> Vec<ShardAssignment> {
        let hedge_at = self.hedge_timing().hedge_at(now);
        let request = self.build_group_request(&group, kind, hedge_at, now);
        let Some(call) = self.context.links.send(&group.domain, request) else {
            return group.shards;
        };
        for (index, target) in &group.shards {
            self.record_sent(*index, Arc::clone(target), hedge_at, now);
            if kind == GroupRequestKind::FirstAttempts {
                self.context.metrics.observe_attempt(AttemptKind::Relayed);
            }
        }
        self.group_requests.push(PendingGroupRequest {
            call,
            shards: group.shards.into_iter().map(Some).collect(),
            sent_at: now,
            due_at: hedge_at,
            has_reply: false,
            is_overdue: false,
        });
        Vec::new()
    }

    pub(super) fn build_group_request(
        &self,
        group: &ShardGroup,
        kind: GroupRequestKind,
        hedge_at: TimePoint,
        now: TimePoint,
    ) -> GroupRequest {
        let RouteDestination::Shards { records, .. } = self.route.rule.destination else {
            return GroupRequest::default();
        };
        let head = &self.call.head;
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let fields = self
            .call
            .relayed_headers()
            .iter()
            .map(|(name, value)| HeaderField {
                name: name.as_str().to_owned(),
                value: Bytes::copy_from_slice(value.as_bytes()),
            });
        let targets = group
            .shards
            .iter()
            .map(|(_, target)| target.entry().id.clone());
        GroupRequest {
            number: 0,
            sent_us: 0,
            method: head.method.as_str().to_owned(),
            path: path.to_owned(),
            headers: fields.collect(),
            body: self.call.body.clone(),
            request_id: self.call.request_id.to_string(),
            targets: targets.collect(),
            max_records: u32::try_from(records).unwrap_or(u32::MAX),
            flush_after_us: hedge_at.since(now).saturating_sub(FLUSH_LEAD).as_micros(),
            remaining_us: self.attempt_deadline().since(now).as_micros(),
            typical_latency_us: self.typical_latency.as_micros(),
            has_separate_replies: kind == GroupRequestKind::Hedges,
        }
    }

    /// Retires the links of overdue group requests, and fails requests that have been overdue for
    /// too long.
    pub(super) fn expire_silent_requests(&mut self, now: TimePoint) {
        for index in 0..self.group_requests.len() {
            let request = &self.group_requests[index];
            if !request.awaits_first_reply() {
                continue;
            }
            if now >= request.due_at + FLUSH_GRACE && !request.is_overdue {
                request.call.mark_overdue();
                self.record_overdue_request(index, now);
            }
            if now >= self.group_requests[index].due_at + FIRST_REPLY_GRACE {
                self.fail_group_request(index);
            }
        }
    }

    /// Returns when group requests without a reply are to be checked next.
    pub(super) fn next_expiry_check(&self, now: TimePoint) -> Option<TimePoint> {
        let open = self
            .group_requests
            .iter()
            .filter(|group| group.awaits_first_reply());
        let checks =
            open.flat_map(|group| [group.due_at + FLUSH_GRACE, group.due_at + FIRST_REPLY_GRACE]);
        checks.filter(|check| *check > now).min()
    }

    pub(super) fn handle_group_event(&mut self, index: usize, event: GroupEvent) {
        match event {
            GroupEvent::Reply(reply) => self.handle_group_reply(index, reply),
            GroupEvent::Lost => self.fail_group_request(index),
        }
    }

    /// Applies the results of attempts that another front sent, and the records that it merged.
    pub(super) fn handle_group_reply(&mut self, index: usize, reply: GroupReply) {
        let now = self.context.clock.now();
        let request = &mut self.group_requests[index];
        if request.is_finished() {
            // The block would contain records of shards that were sent again.
            return;
        }
        request.has_reply = true;
        let mut ended = Vec::with_capacity(reply.results.len());
        for result in reply.results {
            let index_in_group = usize::try_from(result.target_index).unwrap_or(usize::MAX);
            if let Some(shard) = request
                .shards
                .get_mut(index_in_group)
                .and_then(Option::take)
            {
                ended.push((shard, result));
            }
        }
        request.record_open_attempts(self.typical_latency, now);
        let is_answered = |result: &GroupAttemptResult| result.outcome() == GroupOutcome::Answered;
        // Records of a shard that is already part of another block would count twice.
        let has_duplicate = ended.iter().any(|((shard, _), result)| {
            let shard_reply = &self.shards[*shard].reply;
            is_answered(result) && matches!(shard_reply, Some(ShardReply::Merged { .. }))
        });
        let is_single = ended
            .iter()
            .filter(|(_, result)| is_answered(result))
            .count()
            == 1;
        let block_index = self.merged_blocks.len();
        if !has_duplicate && !is_single {
            self.merged_blocks.push(reply.records.clone());
        }
        for ((shard, target), result) in ended {
            self.shards[shard].open_attempts -= 1;
            let elapsed = TimeSpan::from_micros(result.elapsed_us);
            if !is_answered(&result) {
                self.handle_failed_attempt(shard, &target, result.outcome(), elapsed, now);
                continue;
            }
            let sent_at = TimePoint::START + now.since(TimePoint::START).saturating_sub(elapsed);
            target
                .stats()
                .end_attempt(sent_at, self.typical_latency, AttemptResult::Answered, now);
            silent_domains::record_answer(&target, now);
            self.route.state.record_latency(elapsed);
            let Ok(proof) = HeaderValue::from_maybe_shared(result.proof) else {
                continue;
            };
            let state = &mut self.shards[shard];
            if is_single {
                state.hedge_at = None;
                // Records of a single shard can still be replaced, unlike those of a block.
                let shard_reply = ShardReply::from_records(reply.records.clone(), proof);
                state.reply.get_or_insert(shard_reply);
                self.record_shard_answer(shard, now);
            } else if !has_duplicate {
                state.hedge_at = None;
                // The block already contains the records of the shard, so it replaces the reply of
                // a hedge.
                state.reply = Some(ShardReply::Merged { block_index, proof });
                self.record_shard_answer(shard, now);
            }
        }
    }

    /// Records an attempt through another front that did not succeed, and retries its shard.
    pub(super) fn handle_failed_attempt(
        &mut self,
        index: usize,
        target: &Arc<TargetHandle>,
        outcome: GroupOutcome,
        elapsed: TimeSpan,
        now: TimePoint,
    ) {
        let sent_at = TimePoint::START + now.since(TimePoint::START).saturating_sub(elapsed);
        target
            .stats()
            .end_attempt(sent_at, self.typical_latency, AttemptResult::Failed, now);
        let shard = &mut self.shards[index];
        match outcome {
            GroupOutcome::NotRun => {
                shard.record_refused();
                shard.is_refused = true;
            }
            GroupOutcome::Quarantined => {
                shard.record_unsent();
                self.is_quarantined = true;
            }
            GroupOutcome::NotSent => shard.record_unsent(),
            _ => {}
        }
        self.record_unanswered(UnansweredAttempt {
            target: target.entry().id.clone(),
            reason: match outcome {
                GroupOutcome::NotRun => UnansweredReason::NotRun,
                GroupOutcome::NotSent => UnansweredReason::Unreachable,
                GroupOutcome::Quarantined => UnansweredReason::Quarantined,
                GroupOutcome::Failed | GroupOutcome::TimedOut => UnansweredReason::Failed,
                GroupOutcome::Lost | GroupOutcome::Answered => UnansweredReason::Lost,
            },
            status: None,
            age: elapsed,
        });
        let may_be_crashing = matches!(outcome, GroupOutcome::Lost | GroupOutcome::TimedOut);
        self.retry_unanswered(index, may_be_crashing, now);
    }

    /// Fails the open attempts of a group request whose link was lost or which timed out, and
    /// retries their shards.
    pub(super) fn fail_group_request(&mut self, index: usize) {
        let now = self.context.clock.now();
        let shards: Vec<_> = self.group_requests[index]
            .shards
            .iter_mut()
            .filter_map(Option::take)
            .collect();
        for (shard, target) in shards {
            self.shards[shard].open_attempts -= 1;
            self.record_unanswered(UnansweredAttempt {
                target: target.entry().id.clone(),
                reason: UnansweredReason::LinkLost,
                status: None,
                age: now.since(self.group_requests[index].sent_at),
            });
            self.retry_unanswered(shard, false, now);
        }
    }
}
