//! Queue of one target at a relay: which waiting attempt starts next and which ones are dropped.
//!
//! Attempts start by class, then by `order`, which is the same at all relays of a query, so that
//! overloaded relays serve the same whole queries. One start in
//! [`RelayQueueOptions::aged_start_interval`] goes to an aged attempt of a lower class. Long jobs,
//! and those of templates without a known service time, leave slots for short ones. An attempt that
//! can't finish by its deadline is refused or dropped at once, except at an idle target: only a run
//! can correct an outdated service time.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use alderhaven_core::class::QueryClass;
use alderhaven_core::ids::{AttemptId, TemplateName};
use alderhaven_core::outcome::NotRunReason;
use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};

use crate::policy_kind::PolicyKind;
use crate::rate_meter::RateMeter;
use crate::service_times::ServiceTimes;

/// Time constant of the rate of arriving work of each class. It covers some dozens of attempts, and
/// a burst shows within half a deadline.
const ARRIVING_WORK_TIME_CONSTANT: TimeSpan = TimeSpan::from_millis(200);

/// Time constant of the rate of short work, from which its number of slots follows.
const SHORT_WORK_TIME_CONSTANT: TimeSpan = TimeSpan::from_secs(1);
/// Capacity that is left for short work, as a multiple of its mean load, so that its queue stays
/// short.
const SHORT_WORK_HEADROOM: f64 = 1.5;

/// Settings of a relay's queues.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayQueueOptions {
    /// Longest estimated wait with which an attempt is still accepted.
    pub max_wait: TimeSpan,
    /// Largest number of waiting attempts; it bounds memory only.
    pub max_jobs: usize,
    /// Wait after which a lower class's first job may start before those of higher classes. At more
    /// than half of a latency target of 370 ms, only work that would starve counts as aged.
    #[serde(rename = "aging_step")]
    pub aging_threshold: TimeSpan,
    /// One start in this many may go to an aged job of a lower class. A smaller interval takes so
    /// many starts from urgent queries that they are refused near capacity; with a larger one
    /// admitted ordinary queries lose single shards.
    #[serde(rename = "aged_every")]
    pub aged_start_interval: u32,
    /// A template is long if its mean service time is at least this multiple of the shortest one's.
    /// At two slots, a job of four times the length more than doubles the mean wait of short ones.
    #[serde(rename = "long_factor")]
    pub long_job_factor: f64,
}

impl Default for RelayQueueOptions {
    fn default() -> Self {
        Self {
            max_wait: TimeSpan::from_secs(2),
            max_jobs: 4096,
            aging_threshold: TimeSpan::from_millis(200),
            aged_start_interval: 16,
            long_job_factor: 4.0,
        }
    }
}

/// An attempt that waits for a slot of the target.
#[derive(Clone, Debug)]
pub struct QueueJob {
    /// Attempt to run.
    pub id: AttemptId,
    /// Priority class of the query.
    pub class: QueryClass,
    /// Order within the class, lowest first; the same at all relays of the query.
    pub order: u64,
    /// Query template, which the expected service time depends on.
    pub template: TemplateName,
    /// Time after which the result is useless.
    pub deadline: TimePoint,
    /// True for a hedge, which is accepted only if it can start at once.
    pub is_hedge: bool,
}

/// Whether a job was accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// The job waits; [`RelayQueue::start_next`] may start it at once.
    Queued,
    /// The job will not run here.
    Refused(NotRunReason),
}

/// A job that was accepted and will not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DroppedJob {
    /// Attempt that must be answered as not run.
    pub id: AttemptId,
    /// Why it didn't run.
    pub reason: NotRunReason,
}

/// A job that has been given a slot.
#[derive(Clone, Debug)]
pub struct StartedJob {
    /// Job to run now.
    pub job: QueueJob,
    /// Time that the job waited in the queue.
    pub waited: TimeSpan,
}

type QueueKey = (u64, AttemptId);

#[derive(Clone, Debug)]
struct WaitingJob {
    job: QueueJob,
    queued_at: TimePoint,
    expected_service_time: TimeSpan,
    expires_at: TimePoint,
}

/// The attempts that wait for one target and those that run there.
#[derive(Debug)]
pub struct RelayQueue {
    options: RelayQueueOptions,
    policy: PolicyKind,
    waiting: [BTreeMap<QueueKey, WaitingJob>; 3],
    positions: HashMap<AttemptId, (usize, QueueKey)>,
    expiries: BTreeSet<(TimePoint, AttemptId)>,
    queued_work: [TimeSpan; 3],
    arriving_work: [RateMeter; 3],
    short_work: RateMeter,
    running: HashMap<AttemptId, TemplateName>,
    dropped: Vec<DroppedJob>,
    service_times: ServiceTimes,
    arrival_count: u64,
    starts_since_aged: u32,
}

impl RelayQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(policy: PolicyKind, options: RelayQueueOptions) -> Self {
        Self {
            options,
            policy,
            waiting: Default::default(),
            positions: HashMap::new(),
            expiries: BTreeSet::new(),
            queued_work: [TimeSpan::ZERO; 3],
            arriving_work: [RateMeter::new(ARRIVING_WORK_TIME_CONSTANT); 3],
            short_work: RateMeter::new(SHORT_WORK_TIME_CONSTANT),
            running: HashMap::new(),
            dropped: Vec::new(),
            service_times: ServiceTimes::default(),
            arrival_count: 0,
            starts_since_aged: 0,
        }
    }

    /// Accepts or refuses a job for a target that can run `slots` jobs at a time.
    ///
    /// [`Self::take_dropped`] returns the jobs that the new one displaces.
    pub fn offer(&mut self, job: QueueJob, now: TimePoint, slots: u32) -> OfferOutcome {
        let expected_service_time = self.service_times.expected_service_time(&job.template);
        if let Some(reason) = self.refusal_reason(&job, expected_service_time, now, slots) {
            return OfferOutcome::Refused(reason);
        }
        self.insert(job, expected_service_time, now);
        if self.policy == PolicyKind::Current {
            self.shed_displaced(now, slots);
        }
        OfferOutcome::Queued
    }

    /// Starts the next job if a slot is free; call it until it returns `None`.
    pub fn start_next(&mut self, now: TimePoint, slots: u32) -> Option<StartedJob> {
        self.drop_expired(now);
        if self.running.len() >= slots as usize {
            return None;
        }
        let (rank, key) = match self.policy {
            PolicyKind::Current => self.pick(now, slots)?,
            PolicyKind::Baseline => (0, *self.waiting[0].first_key_value()?.0),
        };
        let waiting = self.remove(rank, key)?;
        let template = waiting.job.template.clone();
        self.running.insert(waiting.job.id, template);
        Some(StartedJob {
            waited: now.since(waiting.queued_at),
            job: waiting.job,
        })
    }

    /// Frees the slot of a job and records its time at the target, if that was measured.
    pub fn record_finished(
        &mut self,
        id: AttemptId,
        service_time: Option<TimeSpan>,
        now: TimePoint,
    ) {
        let Some(template) = self.running.remove(&id) else {
            return;
        };
        if let Some(service_time) = service_time {
            self.service_times.add(&template, service_time, now);
        }
    }

    /// Removes a waiting job; returns false if it is running or unknown.
    pub fn cancel(&mut self, id: AttemptId) -> bool {
        let Some((rank, key)) = self.positions.get(&id).copied() else {
            return false;
        };
        self.remove(rank, key).is_some()
    }

    /// Drops the jobs that can no longer finish in time; [`Self::take_dropped`] returns them.
    pub fn drop_expired(&mut self, now: TimePoint) {
        while let Some((expires_at, id)) = self.expiries.first().copied() {
            if expires_at > now {
                return;
            }
            let Some((rank, key)) = self.positions.get(&id).copied() else {
                self.expiries.pop_first();
                continue;
            };
            let deadline = self.waiting[rank]
                .get(&key)
                .map_or(expires_at, |job| job.job.deadline);
            // The expected service time may be outdated. While the target is idle, only the
            // deadline itself counts.
            if self.running.is_empty() && now < deadline {
                self.expiries.remove(&(expires_at, id));
                self.expiries.insert((deadline, id));
                if let Some(job) = self.waiting[rank].get_mut(&key) {
                    job.expires_at = deadline;
                }
                continue;
            }
            self.drop_job(rank, key, NotRunReason::Expired);
        }
    }

    /// Returns the next time at which [`Self::drop_expired`] may drop a job.
    #[must_use]
    pub fn next_expiry(&self) -> Option<TimePoint> {
        self.expiries.first().map(|(at, _)| *at)
    }

    /// Removes and returns the jobs that were dropped since the last call; answer each as not run.
    pub fn take_dropped(&mut self) -> Vec<DroppedJob> {
        std::mem::take(&mut self.dropped)
    }

    /// Drops all waiting jobs, for example because the target drains.
    pub fn drop_all(&mut self, reason: NotRunReason) {
        for rank in 0..self.waiting.len() {
            while let Some((key, _)) = self.waiting[rank].first_key_value() {
                let key = *key;
                self.drop_job(rank, key, reason);
            }
        }
    }

    /// Estimates the wait of a new attempt of this class.
    #[must_use]
    pub fn estimated_wait(&self, class: QueryClass, now: TimePoint, slots: u32) -> TimeSpan {
        let rank = self.class_rank(class);
        let nothing_ahead = self.waiting[..=rank].iter().all(BTreeMap::is_empty);
        if nothing_ahead && self.running.len() < slots as usize {
            return TimeSpan::ZERO;
        }
        self.wait_behind(rank, self.queued_work[rank], now, slots)
    }

    /// Returns the number of waiting jobs.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.positions.len()
    }

    /// Returns the number of running jobs.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns the expected service time of a template at this target.
    #[must_use]
    pub fn expected_service_time(&self, template: &TemplateName) -> TimeSpan {
        self.service_times.expected_service_time(template)
    }

    fn refusal_reason(
        &self,
        job: &QueueJob,
        expected_service_time: TimeSpan,
        now: TimePoint,
        slots: u32,
    ) -> Option<NotRunReason> {
        if self.positions.len() >= self.options.max_jobs {
            return Some(NotRunReason::QueueFull);
        }
        let is_free = self.positions.is_empty() && self.running.len() < slots as usize;
        if job.is_hedge && !is_free {
            return Some(NotRunReason::QueueFull);
        }
        if self.policy == PolicyKind::Baseline {
            return None;
        }
        let remaining = now.until(job.deadline);
        let is_target_idle = self.running.is_empty() && is_free;
        if remaining == TimeSpan::ZERO || (expected_service_time > remaining && !is_target_idle) {
            return Some(NotRunReason::Expired);
        }
        let rank = self.class_rank(job.class);
        let own_ahead = self.waiting[rank]
            .range(..(job.order, job.id))
            .fold(TimeSpan::ZERO, |sum, (_, ahead)| {
                sum + ahead.expected_service_time
            });
        let wait = if is_free {
            TimeSpan::ZERO
        } else {
            self.wait_behind(rank, own_ahead, now, slots)
        };
        let is_too_long = wait > self.options.max_wait || wait + expected_service_time > remaining;
        (is_too_long && !is_target_idle).then_some(NotRunReason::QueueFull)
    }

    /// Estimates the wait behind `own_ahead` of the same class and all work of higher classes,
    /// including what will arrive in the meantime.
    fn wait_behind(
        &self,
        rank: usize,
        own_ahead: TimeSpan,
        now: TimePoint,
        slots: u32,
    ) -> TimeSpan {
        let slots = f64::from(slots.max(1));
        let higher_rate: f64 = self.arriving_work[..rank]
            .iter()
            .map(|meter| meter.per_second(now))
            .sum();
        // Higher classes leave this share of the slots, and aging guarantees a minimum.
        let min_share = 1.0 / f64::from(self.options.aged_start_interval.max(1));
        let remaining_share = (1.0 - higher_rate / slots).max(min_share);
        // It takes about one mean service time over the slots until the first running job ends.
        let first_slot_wait = self.service_times.overall_mean().unwrap_or_default();
        let higher_work = self.queued_work[..rank]
            .iter()
            .fold(first_slot_wait, |sum, work| sum + *work);
        let by_class = (higher_work + own_ahead).mul_f64(1.0 / (slots * remaining_share));
        if rank == 0 {
            return by_class;
        }
        let by_aging = self.options.aging_threshold + own_ahead.mul_f64(1.0 / (slots * min_share));
        by_class.min(by_aging)
    }

    fn insert(&mut self, job: QueueJob, expected_service_time: TimeSpan, now: TimePoint) {
        let rank = self.class_rank(job.class);
        let is_short = !self.is_long(&job.template, now);
        self.arrival_count += 1;
        let (order, expires_at) = match self.policy {
            PolicyKind::Current => (job.order, (job.deadline - expected_service_time).max(now)),
            PolicyKind::Baseline => (self.arrival_count, job.deadline),
        };
        let key = (order, job.id);
        let id = job.id;
        let waiting = WaitingJob {
            job,
            queued_at: now,
            expected_service_time,
            expires_at,
        };
        self.queued_work[rank] = self.queued_work[rank] + expected_service_time;
        self.arriving_work[rank].add(expected_service_time.as_secs_f64(), now);
        if is_short {
            self.short_work
                .add(expected_service_time.as_secs_f64(), now);
        }
        self.waiting[rank].insert(key, waiting);
        self.positions.insert(id, (rank, key));
        self.expiries.insert((expires_at, id));
    }

    fn remove(&mut self, rank: usize, key: QueueKey) -> Option<WaitingJob> {
        let job = self.waiting[rank].remove(&key)?;
        self.positions.remove(&key.1);
        self.expiries.remove(&(job.expires_at, key.1));
        self.queued_work[rank] = self.queued_work[rank].saturating_sub(job.expected_service_time);
        Some(job)
    }

    fn drop_job(&mut self, rank: usize, key: QueueKey, reason: NotRunReason) {
        if let Some(job) = self.remove(rank, key) {
            let id = job.job.id;
            self.dropped.push(DroppedJob { id, reason });
        }
    }

    /// Drops the last jobs whose wait exceeds their time, rather than holding them until they
    /// expire.
    fn shed_displaced(&mut self, now: TimePoint, slots: u32) {
        while let Some((rank, key, job)) = self.last_job() {
            let own_ahead = self.queued_work[rank].saturating_sub(job.expected_service_time);
            let wait = self.wait_behind(rank, own_ahead, now, slots);
            let is_late = now + wait + job.expected_service_time > job.job.deadline;
            let starts_now = self.positions.len() == 1 && self.running.len() < slots as usize;
            if !is_late || starts_now {
                return;
            }
            self.drop_job(rank, key, NotRunReason::QueueFull);
        }
    }

    fn last_job(&self) -> Option<(usize, QueueKey, &WaitingJob)> {
        (0..self.waiting.len()).rev().find_map(|rank| {
            let (key, job) = self.waiting[rank].last_key_value()?;
            Some((rank, *key, job))
        })
    }

    /// Picks the job to start: an aged one of a lower class when it is due, else the first
    /// startable one of the highest class.
    fn pick(&mut self, now: TimePoint, slots: u32) -> Option<(usize, QueueKey)> {
        let firsts: [Option<QueueKey>; 3] =
            std::array::from_fn(|rank| self.first_startable(rank, now, slots));
        let highest = firsts.iter().position(Option::is_some)?;
        let aged = (highest + 1..firsts.len())
            .filter_map(|rank| Some((rank, firsts[rank]?)))
            .map(|(rank, key)| (self.time_waited(rank, &key, now), rank, key))
            .filter(|(waited, _, _)| *waited >= self.options.aging_threshold)
            .max_by_key(|(waited, _, _)| *waited);
        let is_due = self.starts_since_aged + 1 >= self.options.aged_start_interval;
        if let (Some((_, rank, key)), true) = (aged, is_due) {
            self.starts_since_aged = 0;
            return Some((rank, key));
        }
        self.starts_since_aged = self.starts_since_aged.saturating_add(1);
        firsts[highest].map(|key| (highest, key))
    }

    fn first_startable(&self, rank: usize, now: TimePoint, slots: u32) -> Option<QueueKey> {
        let is_long = |template| self.is_long(template, now);
        let running_long = self
            .running
            .values()
            .filter(|template| is_long(template))
            .count();
        let may_start_long = running_long < self.long_job_slots(now, slots);
        self.waiting[rank]
            .iter()
            .find(|(_, job)| may_start_long || !is_long(&job.job.template))
            .map(|(key, _)| *key)
    }

    /// Returns the number of slots that long jobs may hold: what the load of short ones leaves, at
    /// least one, and fewer than all if there are several.
    fn long_job_slots(&self, now: TimePoint, slots: u32) -> usize {
        let short_job_slots = (self.short_work.per_second(now) * SHORT_WORK_HEADROOM).ceil();
        let available = f64::from(slots) - short_job_slots.max(1.0);
        (1..slots)
            .rev()
            .find(|count| f64::from(*count) <= available)
            .unwrap_or(1) as usize
    }

    fn time_waited(&self, rank: usize, key: &QueueKey, now: TimePoint) -> TimeSpan {
        self.waiting[rank]
            .get(key)
            .map_or(TimeSpan::ZERO, |job| now.since(job.queued_at))
    }

    fn is_long(&self, template: &TemplateName, now: TimePoint) -> bool {
        self.service_times
            .is_long(template, self.options.long_job_factor, now)
    }

    fn class_rank(&self, class: QueryClass) -> usize {
        match self.policy {
            PolicyKind::Current => usize::from(class.rank()),
            PolicyKind::Baseline => 0,
        }
    }
}
