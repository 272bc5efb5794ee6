//! Runs a query on one snapshot: sends its attempts, gathers the replies, hedges, retries and
//! merges.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use alderhaven_core::class::AnswerPreference;
use alderhaven_core::outcome::{AttemptOutcome, NotRunReason, QueryOutcome};
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_peer::frames::{CancelledAttempt, ScatterAttempt, ScatterRequest};
use alderhaven_policy::hedging::HedgeGroup;
use alderhaven_policy::query_gather::{GatherEvent, QueryGather};
use alderhaven_policy::replica_choice::AttemptSample;
use alderhaven_policy::replica_table::{ReplicaTable, TargetIndex};
use alderhaven_policy::retry::{EndedAttempt, RetryDecision};
use alderhaven_policy::row_merge;
use alderhaven_policy::suspect_trial::SuspectTrial;
use serde_json::value::RawValue;
use smallvec::SmallVec;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time;

use crate::admission_permit::AdmissionPermit;
use crate::answer::{AnswerTiming, ErrorAnswer, ErrorCode, QueryAnswer};
use crate::query_plan::QueryPlan;
use crate::query_runner;
use crate::query_runner::QueryRunner;
use crate::relay_link::{LinkReply, RelayLink, ReplySender};

type TargetIndexes = SmallVec<[TargetIndex; 4]>;

/// A query with attempts in flight.
pub(crate) struct RunningQuery<'a> {
    runner: &'a QueryRunner,
    plan: &'a QueryPlan,
    permit: &'a mut AdmissionPermit,
    group: HedgeGroup,
    table: Arc<ReplicaTable>,
    expected_service_time: TimeSpan,
    gather: QueryGather,
    reply_sender: ReplySender,
    open_attempts: HashMap<u64, OpenAttempt>,
    /// Attempts whose path was lost. Their replicas may not have received them.
    lost_paths: SmallVec<[u64; 4]>,
    slowest_target: TimeSpan,
    trial: SuspectTrial<AttemptOutcome>,
}

/// An attempt without a reply.
struct OpenAttempt {
    link: Arc<RelayLink>,
    target_index: TargetIndex,
    sent_at: TimePoint,
    is_hedge: bool,
}

/// The replica for an attempt, and the relay through which it is reached.
struct ChosenReplica {
    replica_position: usize,
    target_index: TargetIndex,
    link: Arc<RelayLink>,
}

/// Times at which a running query acts without a reply.
struct QueryTimers {
    expires_at: Instant,
    /// When a query that prefers latency answers with the shards it has.
    answer_by: Option<Instant>,
    /// When attempts in flight are hedged.
    hedge_at: Option<Instant>,
    hedge_delay: TimeSpan,
}

impl<'a> RunningQuery<'a> {
    /// Sends the first attempts, and gathers replies until the query is settled.
    pub(crate) async fn run(
        runner: &'a QueryRunner,
        plan: &'a QueryPlan,
        permit: &'a mut AdmissionPermit,
    ) -> Self {
        let (reply_sender, replies) = mpsc::unbounded_channel();
        let group = HedgeGroup {
            service: plan.template.service.clone(),
            template: plan.template.name.clone(),
        };
        let is_idempotent = plan.template.idempotent;
        let manifest = Arc::clone(&plan.manifest);
        let mut query = Self {
            runner,
            plan,
            permit,
            table: runner.selector.table_for(plan),
            expected_service_time: runner.selector.expected_service_time(&group),
            group,
            gather: QueryGather::new(manifest, &plan.shard_positions, is_idempotent),
            reply_sender,
            open_attempts: HashMap::with_capacity(plan.shard_positions.len()),
            lost_paths: SmallVec::new(),
            slowest_target: TimeSpan::ZERO,
            trial: SuspectTrial::default(),
        };
        let slots: Vec<usize> = (0..plan.shard_positions.len()).collect();
        runner
            .selector
            .record_sent(u32::try_from(slots.len()).unwrap_or(u32::MAX));
        query.scatter(&slots, false);
        query.gather_replies(replies).await;
        query
    }

    /// Starts one attempt at each of the slots' shards, grouped by relay.
    ///
    /// Gives up a shard without an eligible replica, unless this is a hedge: then its first attempt
    /// is still in flight.
    fn scatter(&mut self, slots: &[usize], is_hedge: bool) {
        let now = self.runner.selector.clock().now();
        let mut requests: HashMap<SocketAddr, (Arc<RelayLink>, ScatterRequest)> = HashMap::new();
        for slot in slots.iter().copied() {
            let Some(chosen) = self.choose_replica(slot, now) else {
                if !is_hedge {
                    let reason = self.gather.missing_reason(slot);
                    self.gather.give_up(slot, reason);
                }
                continue;
            };
            let sequence = self.begin_attempt(slot, &chosen, is_hedge, now);
            let attempt = self.build_attempt(slot, chosen.replica_position, sequence);
            requests
                .entry(chosen.link.address())
                .or_insert_with(|| (chosen.link, self.build_request(is_hedge)))
                .1
                .attempts
                .push(attempt);
        }
        for (link, request) in requests.into_values() {
            self.send_request(&link, request);
        }
    }

    fn begin_attempt(
        &mut self,
        slot: usize,
        chosen: &ChosenReplica,
        is_hedge: bool,
        now: TimePoint,
    ) -> u64 {
        let runner = self.runner;
        let sequence = runner.next_sequence();
        self.gather
            .begin_attempt(slot, chosen.replica_position, sequence, is_hedge);
        runner
            .selector
            .chooser()
            .record_sent(&self.table, chosen.target_index);
        runner.metrics.attempts.inc();
        if is_hedge {
            runner.metrics.hedges.inc();
        }
        self.open_attempts.insert(
            sequence,
            OpenAttempt {
                link: Arc::clone(&chosen.link),
                target_index: chosen.target_index,
                sent_at: now,
                is_hedge,
            },
        );
        sequence
    }

    fn send_request(&self, link: &RelayLink, request: ScatterRequest) {
        let sequences: Vec<u64> = request
            .attempts
            .iter()
            .map(|attempt| attempt.sequence)
            .collect();
        if !link.scatter(request, &self.reply_sender) {
            for sequence in sequences {
                let _always_open = self.reply_sender.send(LinkReply::not_sent(sequence));
            }
        }
    }

    /// Chooses a replica that isn't excluded, and the relay through which to reach it.
    fn choose_replica(&self, slot: usize, now: TimePoint) -> Option<ChosenReplica> {
        let entry = self.gather.shard_entry(slot);
        let usable: SmallVec<[(TargetIndex, usize, Arc<RelayLink>); 4]> = entry
            .replicas
            .iter()
            .enumerate()
            .filter(|(_, replica)| !self.runner.watch.is_leaving(replica.target.as_str()))
            .filter_map(|(position, replica)| {
                let index = self.table.index_of(&replica.target)?;
                let link = self.runner.routes.route(&replica.target)?;
                Some((index, position, link))
            })
            .collect();
        let indexes: TargetIndexes = usable.iter().map(|(index, _, _)| *index).collect();
        let chosen = self.runner.selector.chooser().choose(
            &self.table,
            &indexes,
            &self.excluded_replicas(slot),
            self.expected_service_time,
            now,
            rand::random(),
        )?;
        let (index, replica, link) = usable.into_iter().find(|(index, _, _)| *index == chosen)?;
        Some(ChosenReplica {
            replica_position: replica,
            target_index: index,
            link,
        })
    }

    /// Returns the replicas to which a further attempt must not go.
    ///
    /// A replica that had no free slot for a hedge is not excluded, nor is one whose path was lost:
    /// a frozen relay may be on the path to all replicas of a shard, and they can be reached
    /// through another.
    fn excluded_replicas(&self, slot: usize) -> TargetIndexes {
        let no_slot = Some(AttemptOutcome::NotRun(NotRunReason::QueueFull));
        self.gather
            .attempts(slot)
            .iter()
            .enumerate()
            .filter(|(position, attempt)| *position == 0 || attempt.outcome != no_slot)
            .filter(|(_, attempt)| !self.lost_paths.contains(&attempt.sequence))
            .filter_map(|(_, attempt)| {
                let target = &self.gather.shard_entry(slot).replicas[attempt.replica].target;
                self.table.index_of(target)
            })
            .collect()
    }

    fn build_request(&self, is_hedge: bool) -> ScatterRequest {
        let plan = self.plan;
        let remaining = plan.expires_at().saturating_duration_since(Instant::now());
        ScatterRequest {
            origin: self.runner.origin(),
            service: plan.template.service.to_string(),
            template: plan.template.name.to_string(),
            parameters: plan.parameters.clone(),
            snapshot: plan.manifest.snapshot.0,
            class: u32::from(self.permit.class().rank()),
            order: self.permit.order(plan),
            remaining_us: TimeSpan::from(remaining).as_micros(),
            idempotent: plan.template.idempotent,
            attempts: Vec::new(),
            is_hedge,
        }
    }

    fn build_attempt(&self, slot: usize, replica: usize, sequence: u64) -> ScatterAttempt {
        let entry = self.gather.shard_entry(slot);
        let replica = &entry.replicas[replica];
        ScatterAttempt {
            sequence,
            shard: entry.shard.0,
            version: entry.version.0,
            target: replica.target.to_string(),
            address: replica.address.to_string(),
            slots: replica.slots,
            connections: replica.connections,
            domain: replica.domain.to_string(),
        }
    }

    /// Handles replies and timers until every shard is settled or the deadline has passed.
    async fn gather_replies(&mut self, mut replies: UnboundedReceiver<LinkReply>) {
        let mut timers = self.start_timers();
        while !self.gather.is_settled() && !self.needs_newer_snapshot() {
            tokio::select! {
                reply = replies.recv() => {
                    if let Some(reply) = reply {
                        self.handle_reply(reply);
                    }
                }
                () = time::sleep_until(timers.next_at().into()) => self.handle_timers(&mut timers),
            }
            if timers.answer_by.is_none() && self.has_min_coverage() {
                self.gather.give_up_open();
            }
        }
    }

    fn start_timers(&self) -> QueryTimers {
        let plan = self.plan;
        let answer_by = match plan.template.preference {
            AnswerPreference::Coverage => None,
            AnswerPreference::Latency => plan.template.answer_by,
        };
        let is_idempotent = plan.template.idempotent;
        let delay = self.runner.selector.hedge_delay(&self.group, is_idempotent);
        QueryTimers {
            expires_at: plan.expires_at(),
            answer_by: answer_by.map(|span| plan.arrived_at + span.as_duration()),
            hedge_at: delay.map(|delay| Instant::now() + delay.as_duration()),
            hedge_delay: delay.unwrap_or_default(),
        }
    }

    /// Runs the actions that are due.
    fn handle_timers(&mut self, timers: &mut QueryTimers) {
        let now = Instant::now();
        if now >= timers.expires_at {
            self.gather.give_up_open();
            return;
        }
        if timers.answer_by.is_some_and(|at| now >= at) {
            timers.answer_by = None;
        }
        if timers.hedge_at.is_some_and(|at| now >= at) {
            self.send_hedges();
            // Hedges again after the same delay, in case a hedge found no free slot.
            timers.hedge_at = Some(now + timers.hedge_delay.as_duration());
        }
    }

    /// Hedges the shards that have exactly one attempt in flight.
    ///
    /// A request suspected of crashing targets is not hedged, since it could crash a second one.
    fn send_hedges(&mut self) {
        if self.runner.strikes.is_suspect(&self.plan.fingerprint()) {
            return;
        }
        let is_overloaded = self.permit.is_overloaded();
        let selector = Arc::clone(&self.runner.selector);
        let late_slots: Vec<usize> = self
            .gather
            .open_slots()
            .filter(|slot| self.attempts_in_flight(*slot) == 1 && self.has_untried_replica(*slot))
            .collect();
        let slots: Vec<usize> = late_slots
            .into_iter()
            .take_while(|_| selector.take_hedge(is_overloaded))
            .collect();
        if !slots.is_empty() {
            self.scatter(&slots, true);
        }
    }

    fn attempts_in_flight(&self, slot: usize) -> usize {
        self.gather
            .attempts(slot)
            .iter()
            .filter(|attempt| attempt.outcome.is_none())
            .count()
    }

    fn has_untried_replica(&self, slot: usize) -> bool {
        self.excluded_replicas(slot).len() < self.gather.shard_entry(slot).replicas.len()
    }

    fn has_min_coverage(&self) -> bool {
        let template = &self.plan.template;
        template.preference == AnswerPreference::Latency
            && template
                .min_coverage
                .is_some_and(|share| self.gather.covered_share() >= share.as_f64())
    }

    /// Returns true if a complete answer is possible only on a newer snapshot.
    pub(crate) fn needs_newer_snapshot(&self) -> bool {
        self.plan.template.idempotent && self.gather.is_version_gone()
    }

    fn handle_reply(&mut self, reply: LinkReply) {
        self.slowest_target = self.slowest_target.max(reply.service_time);
        self.permit.record_reply(&reply);
        self.record_ended(&reply);
        if reply.path_lost {
            self.lost_paths.push(reply.sequence);
        }
        match self.gather.accept(reply.sequence, reply.result) {
            GatherEvent::AttemptEnded {
                slot,
                outcome,
                others_in_flight: false,
            } => self.retry_or_give_up(slot, outcome),
            GatherEvent::Ignored => {
                self.runner.metrics.stray_replies.inc();
            }
            GatherEvent::ShardAnswered { slot } => self.trial.record_answer(slot),
            GatherEvent::AttemptEnded { .. } => {}
        }
        self.resume_after_trial();
    }

    /// Retries the shards that were held back during a trial, once it has ended.
    ///
    /// If the trial was answered, they are retried at once. If it crashed another target, relays
    /// refuse the request; until they do, the next shard is on trial.
    fn resume_after_trial(&mut self) {
        let Some(slot) = self.trial.slot() else {
            return;
        };
        if self.gather.is_open(slot) && self.attempts_in_flight(slot) > 0 {
            return;
        }
        for (slot, outcome) in self.trial.finish() {
            if self.gather.is_open(slot) {
                self.retry_or_give_up(slot, outcome);
            }
        }
    }

    /// Updates the statistics of the target with the end of an attempt.
    fn record_ended(&mut self, reply: &LinkReply) {
        let Some(attempt) = self.open_attempts.remove(&reply.sequence) else {
            return;
        };
        let selector = &self.runner.selector;
        let now = selector.clock().now();
        let outcome = reply.result.outcome;
        if attempt.is_hedge {
            selector.record_hedge_end(outcome == AttemptOutcome::NotRun(NotRunReason::QueueFull));
        }
        let sample = match outcome {
            AttemptOutcome::Answered => AttemptSample::Answered {
                service: reply.service_time,
                expected: self.expected_service_time,
            },
            // A lost path is not a failure of the target.
            _ if reply.path_lost => AttemptSample::NotRun,
            // A target that refuses connections replies faster than any other and appears idle. It
            // must count as failed, or it would be chosen again and again.
            AttemptOutcome::Failed
            | AttemptOutcome::Unknown
            | AttemptOutcome::NotRun(NotRunReason::NotSent) => AttemptSample::Failed,
            AttemptOutcome::NotRun(_) | AttemptOutcome::VersionGone => AttemptSample::NotRun,
        };
        if outcome == AttemptOutcome::Answered {
            selector.record_answer(&self.group, now.since(attempt.sent_at), reply.service_time);
        }
        if let Some(entry) = self.table.get(attempt.target_index) {
            if outcome == AttemptOutcome::NotRun(NotRunReason::Draining) {
                self.runner.watch.record_draining_reply(&entry.target);
            }
            let is_ejected =
                selector
                    .chooser()
                    .record_finished(entry, sample, Some(reply.estimated_wait), now);
            if is_ejected {
                self.runner.metrics.ejections.inc();
            }
        }
    }

    /// Retries a shard at another replica, if that is safe and deadline and budget allow it. Gives
    /// the shard up otherwise.
    fn retry_or_give_up(&mut self, slot: usize, outcome: AttemptOutcome) {
        let strikes = &self.runner.strikes;
        let is_suspect =
            outcome == AttemptOutcome::Unknown && strikes.is_suspect(&self.plan.fingerprint());
        if is_suspect && !self.trial.try_begin(slot, outcome) {
            return;
        }
        let tried = self.excluded_replicas(slot).len();
        let selector = &self.runner.selector;
        let decision = selector.decide_retry(EndedAttempt {
            outcome,
            is_idempotent: self.plan.template.idempotent,
            retries: self.gather.retries(slot),
            untried_replicas: self
                .gather
                .shard_entry(slot)
                .replicas
                .len()
                .saturating_sub(tried),
            expected_service_time: self.expected_service_time,
            deadline: selector.clock().time_point(self.plan.expires_at()),
        });
        match decision {
            RetryDecision::Retry => {
                self.runner.metrics.retries.inc();
                self.scatter(&[slot], false);
            }
            RetryDecision::GiveUp(_) => {
                let reason = self.gather.missing_reason(slot);
                self.gather.give_up(slot, reason);
            }
        }
    }

    /// Merges the rows into the answer, or creates the error for the caller.
    pub(crate) fn finish(self) -> Result<QueryAnswer, ErrorAnswer> {
        let coverage = self.gather.coverage();
        let outcome = self.gather.outcome();
        let quarantined = self.runner.strikes.refused_for(&self.plan.fingerprint());
        let error = match outcome {
            QueryOutcome::Complete | QueryOutcome::Partial => None,
            QueryOutcome::Refused | QueryOutcome::Failed if quarantined.is_some() => {
                let mut error = query_runner::quarantine_answer(quarantined.unwrap_or_default());
                error.error.not_run = outcome == QueryOutcome::Refused;
                Some(error)
            }
            QueryOutcome::Refused => Some(
                ErrorAnswer::not_run(ErrorCode::Overloaded, "no target took the query")
                    .with_retry_after(self.plan.deadline),
            ),
            QueryOutcome::Failed => Some(ErrorAnswer::may_have_run(
                ErrorCode::Failed,
                "no shard answered in time; the query may be repeated",
            )),
            QueryOutcome::Unknown => Some(ErrorAnswer::may_have_run(
                ErrorCode::Unknown,
                "the request may or may not have run",
            )),
        };
        if let Some(error) = error {
            return Err(error.with_coverage(coverage));
        }
        let merged = row_merge::merge(&self.plan.template.merge, self.gather.rows());
        let rows = RawValue::from_string(merged).map_err(|error| {
            ErrorAnswer::may_have_run(
                ErrorCode::Failed,
                format!("the rows of the shards can't be merged: {error}"),
            )
        })?;
        Ok(QueryAnswer {
            outcome,
            rows,
            coverage,
            snapshot: self.plan.manifest.snapshot,
            timing: AnswerTiming {
                total_us: TimeSpan::from(self.plan.arrived_at.elapsed()).as_micros(),
                slowest_target_us: self.slowest_target.as_micros(),
                attempts: self.gather.attempt_count(),
            },
            replayed: false,
        })
    }

    /// Cancels the attempts in flight, and records how long they have taken.
    fn cancel_in_flight(&mut self) {
        let now = self.runner.selector.clock().now();
        let mut by_link: HashMap<SocketAddr, (Arc<RelayLink>, Vec<CancelledAttempt>)> =
            HashMap::new();
        for (sequence, attempt) in self.open_attempts.drain() {
            let Some(entry) = self.table.get(attempt.target_index) else {
                continue;
            };
            let waited = entry.stats.wait(now);
            let sample = AttemptSample::Unfinished {
                elapsed: now.since(attempt.sent_at).saturating_sub(waited),
                expected: self.expected_service_time,
            };
            let _never_ejects = self
                .runner
                .selector
                .chooser()
                .record_finished(entry, sample, None, now);
            by_link
                .entry(attempt.link.address())
                .or_insert_with(|| (Arc::clone(&attempt.link), Vec::new()))
                .1
                .push(CancelledAttempt {
                    sequence,
                    target: entry.target.to_string(),
                });
        }
        for (link, attempts) in by_link.into_values() {
            link.cancel(self.runner.origin(), attempts);
        }
    }
}

impl QueryTimers {
    /// Returns the time of the next action.
    fn next_at(&self) -> Instant {
        [self.answer_by, self.hedge_at]
            .into_iter()
            .flatten()
            .fold(self.expires_at, Instant::min)
    }
}

impl Drop for RunningQuery<'_> {
    /// Cancels attempts in flight, also if the query was dropped because its caller disconnected.
    fn drop(&mut self) {
        self.cancel_in_flight();
    }
}
