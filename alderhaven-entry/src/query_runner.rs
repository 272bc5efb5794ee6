//! The running of a planned query: scatter, gather, retry and answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use alderhaven_core::class::AnswerPreference;
use alderhaven_core::outcome::{AttemptOutcome, NotRunReason, QueryOutcome};
use alderhaven_core::time::TimeSpan;
use alderhaven_peer::frames::{CancelledAttempt, ScatterAttempt, ScatterRequest};
use alderhaven_platform::config_handle::ConfigHandle;
use alderhaven_platform::target_watch::TargetWatch;
use alderhaven_policy::query_gather::{GatherEvent, QueryGather};
use alderhaven_policy::{query_gather, row_merge};
use serde_json::value::RawValue;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time;

use crate::admission_pass::AdmissionPass;
use crate::answer::{AnswerTiming, ErrorAnswer, ErrorCode, QueryAnswer};
use crate::metrics::EntryMetrics;
use crate::query_plan::QueryPlan;
use crate::relay_link::{LinkReply, RelayLink, ReplySink};
use crate::relay_routes::RelayRoutes;

/// A `QueryRunner` runs queries through the relays.
#[derive(Debug)]
pub struct QueryRunner {
    origin: u64,
    next_sequence: AtomicU64,
    routes: Arc<RelayRoutes>,
    config: ConfigHandle,
    watch: TargetWatch,
    metrics: Arc<EntryMetrics>,
}

/// A `RunningQuery` is one query between scatter and answer.
struct RunningQuery<'a> {
    runner: &'a QueryRunner,
    plan: &'a QueryPlan,
    pass: &'a mut AdmissionPass,
    gather: QueryGather,
    sink: ReplySink,
    links: HashMap<u64, Arc<RelayLink>>,
    slowest_target: TimeSpan,
}

impl QueryRunner {
    /// Returns a runner; `origin` is random so that attempt ids don't recur over restarts.
    #[must_use]
    pub const fn new(
        origin: u64,
        routes: Arc<RelayRoutes>,
        config: ConfigHandle,
        watch: TargetWatch,
        metrics: Arc<EntryMetrics>,
    ) -> Self {
        Self {
            origin,
            next_sequence: AtomicU64::new(1),
            routes,
            config,
            watch,
            metrics,
        }
    }

    /// Runs a query to its answer.
    ///
    /// Where no replica of a shard holds the pinned version any more, an idempotent query is run
    /// once more as a whole on a newer manifest; replies for the older one belong to nobody then.
    ///
    /// # Errors
    /// The answer for the caller where the query was refused, failed or has an unknown outcome.
    pub async fn run(
        &self,
        plan: &QueryPlan,
        pass: &mut AdmissionPass,
    ) -> Result<QueryAnswer, ErrorAnswer> {
        let query = self.run_pinned(plan, pass).await;
        if !query.needs_newer_snapshot() {
            return query.finish();
        }
        let Some(newer) = self.newer_plan(plan).await else {
            return query.finish();
        };
        drop(query);
        self.metrics.snapshot_restarts.inc();
        self.run_pinned(&newer, pass).await.finish()
    }

    async fn run_pinned<'a>(
        &'a self,
        plan: &'a QueryPlan,
        pass: &'a mut AdmissionPass,
    ) -> RunningQuery<'a> {
        let (sink, replies) = mpsc::unbounded_channel();
        let mut query = RunningQuery {
            runner: self,
            plan,
            pass,
            gather: QueryGather::new(
                Arc::clone(&plan.manifest),
                &plan.positions,
                plan.template.idempotent,
            ),
            sink,
            links: HashMap::new(),
            slowest_target: TimeSpan::ZERO,
        };
        query.scatter((0..plan.positions.len()).collect());
        query.gather(replies).await;
        query
    }

    /// Waits for a manifest that is newer than the plan's, until the plan's time is up.
    async fn newer_plan(&self, plan: &QueryPlan) -> Option<QueryPlan> {
        let mut changed = self.config.changed();
        let expires = time::Instant::from_std(plan.expires());
        loop {
            let newer = self
                .config
                .view()
                .manifests
                .get(&plan.template.service)
                .filter(|manifest| manifest.snapshot > plan.manifest.snapshot)
                .cloned();
            if let Some(manifest) = newer {
                return plan.pinned_to(manifest).ok();
            }
            match time::timeout_at(expires, changed.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return None,
            }
        }
    }
}

impl RunningQuery<'_> {
    /// Begins one attempt at each of the slots' shards, grouped by relay.
    fn scatter(&mut self, slots: Vec<usize>) {
        let mut requests: HashMap<SocketAddr, (Arc<RelayLink>, ScatterRequest)> = HashMap::new();
        for slot in slots {
            let Some((replica, link)) = self.choose(slot) else {
                let reason = self.gather.missing_reason(slot);
                self.gather.give_up(slot, reason);
                continue;
            };
            let sequence = self.runner.next_sequence.fetch_add(1, Ordering::Relaxed);
            self.gather.begin_attempt(slot, replica, sequence);
            self.runner.metrics.attempts.inc();
            self.links.insert(sequence, Arc::clone(&link));
            let attempt = self.attempt(slot, replica, sequence);
            requests
                .entry(link.address())
                .or_insert_with(|| (link, self.request()))
                .1
                .attempts
                .push(attempt);
        }
        for (link, request) in requests.into_values() {
            let sequences: Vec<u64> = request
                .attempts
                .iter()
                .map(|attempt| attempt.sequence)
                .collect();
            if !link.scatter(request, &self.sink) {
                self.answer_not_sent(&sequences);
            }
        }
    }

    /// Chooses a replica that was not tried yet, and the relay to reach it through.
    fn choose(&self, slot: usize) -> Option<(usize, Arc<RelayLink>)> {
        let entry = self.gather.entry(slot);
        let tried = self.gather.attempts(slot);
        let count = entry.replicas.len();
        let first = rand::random_range(0..count);
        (0..count)
            .map(|step| (first + step) % count)
            .filter(|replica| tried.iter().all(|attempt| attempt.replica != *replica))
            .find_map(|replica| {
                let target = &entry.replicas[replica].target;
                if self.runner.watch.is_leaving(target.as_str()) {
                    return None;
                }
                let link = self.runner.routes.route(target)?;
                Some((replica, link))
            })
    }

    fn request(&self) -> ScatterRequest {
        let plan = self.plan;
        ScatterRequest {
            origin: self.runner.origin,
            service: plan.template.service.to_string(),
            template: plan.template.name.to_string(),
            parameters: plan.parameters.clone(),
            snapshot: plan.manifest.snapshot.0,
            class: u32::from(self.pass.class().rank()),
            order: self.pass.order(plan),
            remaining_us: TimeSpan::from(plan.expires().saturating_duration_since(Instant::now()))
                .as_micros(),
            idempotent: plan.template.idempotent,
            attempts: Vec::new(),
            hedge: false,
        }
    }

    fn attempt(&self, slot: usize, replica: usize, sequence: u64) -> ScatterAttempt {
        let entry = self.gather.entry(slot);
        let replica = &entry.replicas[replica];
        ScatterAttempt {
            sequence,
            shard: entry.shard.0,
            version: entry.version.0,
            target: replica.target.to_string(),
            address: replica.address.to_string(),
            slots: replica.slots,
            connections: replica.connections,
        }
    }

    fn answer_not_sent(&self, sequences: &[u64]) {
        for sequence in sequences {
            let _always_open = self.sink.send(LinkReply::not_sent(*sequence));
        }
    }

    /// Takes replies until every shard is settled or the time is up.
    async fn gather(&mut self, mut replies: UnboundedReceiver<LinkReply>) {
        let expires = time::Instant::from_std(self.plan.expires());
        let answer_by = self.answer_by().map_or(expires, |instant| {
            time::Instant::from_std(instant).min(expires)
        });
        let mut early = true;
        while !self.gather.is_settled() && !self.needs_newer_snapshot() {
            let wake = if early { answer_by } else { expires };
            tokio::select! {
                reply = replies.recv() => {
                    if let Some(reply) = reply {
                        self.take(reply);
                    }
                }
                () = time::sleep_until(wake) => {
                    if !early || wake == expires || self.is_covered_enough() {
                        self.gather.give_up_open();
                    }
                    early = false;
                }
            }
            if !early && self.is_covered_enough() {
                self.gather.give_up_open();
            }
        }
    }

    /// Returns true where the query can only be answered in full on a newer snapshot.
    fn needs_newer_snapshot(&self) -> bool {
        self.plan.template.idempotent && self.gather.is_version_gone()
    }

    fn answer_by(&self) -> Option<Instant> {
        match self.plan.template.preference {
            AnswerPreference::Coverage => None,
            AnswerPreference::Latency => self
                .plan
                .template
                .answer_by
                .map(|span| self.plan.arrived + span.as_duration()),
        }
    }

    fn is_covered_enough(&self) -> bool {
        self.plan
            .template
            .min_coverage
            .is_some_and(|share| self.gather.covered_share() >= share.as_f64())
    }

    fn take(&mut self, reply: LinkReply) {
        self.slowest_target = self.slowest_target.max(reply.service);
        self.pass.note_reply(&reply);
        match self.gather.accept(reply.sequence, reply.result) {
            GatherEvent::AttemptOver {
                slot,
                outcome,
                others_under_way: false,
            } => self.retry(slot, outcome),
            GatherEvent::Stray => {
                self.runner.metrics.stray_replies.inc();
            }
            GatherEvent::ShardAnswered { .. } | GatherEvent::AttemptOver { .. } => {}
        }
    }

    /// Tries another replica where that can do no harm.
    fn retry(&mut self, slot: usize, outcome: AttemptOutcome) {
        self.note_draining(slot, outcome);
        if self.plan.template.idempotent || query_gather::is_not_run(outcome) {
            self.runner.metrics.retries.inc();
            self.scatter(vec![slot]);
        } else {
            let reason = self.gather.missing_reason(slot);
            self.gather.give_up(slot, reason);
        }
    }

    /// Tells the watch of a target whose reply says that it drains.
    fn note_draining(&self, slot: usize, outcome: AttemptOutcome) {
        if outcome == AttemptOutcome::NotRun(NotRunReason::Draining)
            && let Some(attempt) = self.gather.attempts(slot).last()
        {
            let target = &self.gather.entry(slot).replicas[attempt.replica].target;
            self.runner.watch.note_reply(target);
        }
    }

    /// Makes the answer.
    fn finish(self) -> Result<QueryAnswer, ErrorAnswer> {
        let coverage = self.gather.coverage();
        let outcome = self.gather.outcome();
        let error = match outcome {
            QueryOutcome::Complete | QueryOutcome::Partial => None,
            QueryOutcome::Refused => Some(ErrorAnswer::not_run(
                ErrorCode::Overloaded,
                "no target took the query",
            )),
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
            ErrorAnswer::may_have_run(ErrorCode::Failed, format!("rows don't merge: {error}"))
        })?;
        Ok(QueryAnswer {
            outcome,
            rows,
            coverage,
            snapshot: self.plan.manifest.snapshot,
            timing: AnswerTiming {
                total_us: TimeSpan::from(self.plan.arrived.elapsed()).as_micros(),
                slowest_target_us: self.slowest_target.as_micros(),
                attempts: self.gather.attempt_count(),
            },
        })
    }

    fn cancel_under_way(&self) {
        let mut by_link: HashMap<SocketAddr, (Arc<RelayLink>, Vec<CancelledAttempt>)> =
            HashMap::new();
        for (slot, attempt) in self.gather.under_way() {
            let Some(link) = self.links.get(&attempt.sequence) else {
                continue;
            };
            let target = &self.gather.entry(slot).replicas[attempt.replica].target;
            by_link
                .entry(link.address())
                .or_insert_with(|| (Arc::clone(link), Vec::new()))
                .1
                .push(CancelledAttempt {
                    sequence: attempt.sequence,
                    target: target.to_string(),
                });
        }
        for (link, attempts) in by_link.into_values() {
            link.cancel(self.runner.origin, attempts);
        }
    }
}

impl Drop for RunningQuery<'_> {
    /// Cancels what is under way, also where the caller has gone away and dropped the query.
    fn drop(&mut self) {
        self.cancel_under_way();
    }
}
