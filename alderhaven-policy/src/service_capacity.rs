//! Adaptive limit on the attempts that an entry has in flight at one service.
//!
//! A limit that is too high moves the queue into the relays, where attempts expire shard by shard;
//! one that is too low leaves targets idle. The limit starts from the entry's share of the slots. It
//! rises while it is used up and the wait in the relays' queues is below
//! [`ServiceCapacityOptions::target_wait`] service times (as in TCP Vegas), and falls above that or
//! when attempts don't run. Additive increase and multiplicative decrease let the limits of several
//! entries converge (Chiu and Jain, 1989).

use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::running_mean::RunningMean;

/// Number of finished queries that the running means cover.
const MEAN_WINDOW: u32 = 32;

/// Attempts per slot at the fair limit: one that runs and one that waits.
const ATTEMPTS_PER_SLOT: f64 = 2.0;
/// Share of the limit above which it counts as used up.
const USED_UP_SHARE: f64 = 0.8;

/// Settings of the adaptive limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceCapacityOptions {
    /// Desired mean wait in the relays' queues, in service times. One waiting attempt per slot
    /// keeps the slot busy, and costs one service time of wait.
    pub target_wait: f64,
    /// Initial limit, as a multiple of this entry's share of the slots of a shard.
    pub start_factor: f64,
    /// Factor on the limit for urgent queries and for teams below their fair share.
    ///
    /// Relays serve these queries first, so that the queue which the limit allows doesn't delay
    /// them. Without headroom they would wait at the entry for a flood's attempts in flight.
    pub headroom: f64,
    /// Largest limit, as a multiple of all slots of a shard.
    pub max_factor: f64,
    /// Largest increase in a round, as a share of the fair limit.
    #[serde(rename = "rise")]
    pub additive_increase: f64,
    /// Largest decrease in a round, as a share of the current limit.
    #[serde(rename = "fall")]
    pub multiplicative_decrease: f64,
    /// Latency to assume before the first query has finished.
    #[serde(rename = "first_latency")]
    pub initial_latency: TimeSpan,
}

impl Default for ServiceCapacityOptions {
    fn default() -> Self {
        Self {
            target_wait: 1.0,
            start_factor: 2.0,
            headroom: 1.5,
            max_factor: 8.0,
            additive_increase: 0.15,
            multiplicative_decrease: 0.25,
            initial_latency: TimeSpan::from_millis(20),
        }
    }
}

/// Declared size of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceSize {
    /// Number of shards.
    pub shards: u32,
    /// Total number of slots of all targets.
    pub slots: u32,
    /// Number of entries that share the service.
    pub entries: u32,
}

/// What a finished query reveals about the load on its service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueryReport {
    /// Mean time that its attempts waited in the relays' queues.
    pub queue_wait: TimeSpan,
    /// Mean time that its attempts ran at their targets; zero if none ran.
    pub service_time: TimeSpan,
    /// Number of attempts, including those that didn't run.
    pub attempts: u32,
    /// Number of attempts that were shed, expired or found a full queue.
    pub not_run: u32,
}

/// Current limit and the attempts in flight of one service at an entry.
#[derive(Clone, Debug)]
pub struct ServiceCapacity {
    options: ServiceCapacityOptions,
    size: ServiceSize,
    limit: f64,
    in_flight: u64,
    open_attempts: u64,
    queue_wait: RunningMean,
    service_time: RunningMean,
    latency: RunningMean,
}

impl ServiceCapacity {
    /// Creates the initial limit for a service of this size.
    #[must_use]
    pub fn new(options: ServiceCapacityOptions, size: ServiceSize) -> Self {
        let mut capacity = Self {
            options,
            size,
            limit: 1.0,
            in_flight: 0,
            open_attempts: 0,
            queue_wait: RunningMean::default(),
            service_time: RunningMean::default(),
            latency: RunningMean::default(),
        };
        capacity.limit = capacity.initial_limit();
        capacity
    }

    /// Sets a changed size and scales the limit by the change of this entry's share.
    pub fn set_size(&mut self, size: ServiceSize) {
        if size == self.size {
            return;
        }
        let initial_before = self.initial_limit();
        self.size = size;
        self.limit =
            (self.limit * self.initial_limit() / initial_before).clamp(1.0, self.max_limit());
    }

    /// Returns the declared size.
    #[must_use]
    pub const fn size(&self) -> ServiceSize {
        self.size
    }

    /// Counts a query's attempts as in flight.
    pub fn record_started(&mut self, fan_out: u32) {
        self.in_flight += u64::from(fan_out);
        self.open_attempts += u64::from(fan_out);
    }

    /// Releases attempts that ended before the rest of their query. If they counted until its end,
    /// part of the limit would stand for shards that have replied, and waits would be estimated too
    /// short.
    pub fn record_replies(&mut self, attempts: u32) {
        self.in_flight = self.in_flight.saturating_sub(u64::from(attempts));
    }

    /// Releases a finished query, of whose attempts `unreplied` are still counted, and adapts the
    /// limit.
    ///
    /// `has_backlog` means that other queries wait for admission.
    pub fn record_finished(
        &mut self,
        fan_out: u32,
        unreplied: u32,
        latency: TimeSpan,
        report: QueryReport,
        has_backlog: bool,
    ) {
        let is_used_up =
            has_backlog || self.in_flight as f64 >= USED_UP_SHARE * self.limit_in_attempts();
        self.in_flight = self.in_flight.saturating_sub(u64::from(unreplied));
        self.latency.add(latency, MEAN_WINDOW);
        // A round is as many queries as are open, including those that only wait for their slowest
        // shard, since a changed limit shows in reports only after that many. If each query applied
        // a full step, the limit would swing down to its minimum in a burst.
        let round_share = f64::from(fan_out) / self.open_attempts.max(1) as f64;
        self.open_attempts = self.open_attempts.saturating_sub(u64::from(fan_out));
        if report.attempts == 0 {
            return;
        }
        if report.service_time > TimeSpan::ZERO {
            self.queue_wait.add(report.queue_wait, MEAN_WINDOW);
            self.service_time.add(report.service_time, MEAN_WINDOW);
        }
        self.adapt(round_share.min(1.0), report, is_used_up);
    }

    /// Returns the limit in attempts per shard, which equals the number of queries over all shards.
    #[must_use]
    pub const fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns the limit in attempts over all shards.
    #[must_use]
    pub fn limit_in_attempts(&self) -> f64 {
        self.limit * f64::from(self.size.shards.max(1))
    }

    /// Returns the number of attempts that have not ended.
    #[must_use]
    pub const fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Returns true if one more query may start.
    ///
    /// Half of the query may exceed the limit, which rounds the limit rather than truncating it. A
    /// preferred query may also use the headroom. An idle service admits any query.
    #[must_use]
    pub fn fits(&self, fan_out: u32, is_preferred: bool) -> bool {
        let factor = if is_preferred {
            self.options.headroom
        } else {
            1.0
        };
        let expected_in_flight = self.in_flight as f64 + f64::from(fan_out) / 2.0;
        self.in_flight == 0 || expected_in_flight <= self.limit_in_attempts() * factor
    }

    /// Returns the mean latency of a query from its admission to its end.
    #[must_use]
    pub fn mean_latency(&self) -> TimeSpan {
        self.latency.get().unwrap_or(self.options.initial_latency)
    }

    /// Estimates the attempts per second that complete for this entry, by Little's law: the limit
    /// over the mean time of an attempt from its sending to its reply.
    #[must_use]
    pub fn completion_rate(&self) -> f64 {
        let attempt_time = match (self.queue_wait.get(), self.service_time.get()) {
            (Some(wait), Some(service)) => wait + service,
            _ => self.options.initial_latency,
        };
        self.limit_in_attempts() / attempt_time.as_secs_f64().max(1e-4)
    }

    /// Moves the limit by a query's part of one round.
    fn adapt(&mut self, round_share: f64, report: QueryReport, is_used_up: bool) {
        let wait = self.queue_wait.get().unwrap_or_default().as_micros() as f64;
        let service = self
            .service_time
            .get()
            .unwrap_or_default()
            .as_micros()
            .max(1) as f64;
        // An entry above its fair limit yields more, so that entries which see the same waits
        // converge to similar limits.
        let fair_limit_ratio = (self.limit / self.fair_limit()).clamp(0.5, 2.0);
        let wait_headroom = 1.0 - wait / service / self.options.target_wait * fair_limit_ratio;
        let not_run_share = f64::from(report.not_run) / f64::from(report.attempts);
        let adjustment = (wait_headroom - 4.0 * not_run_share).clamp(-1.0, 1.0);
        let step = if adjustment < 0.0 {
            adjustment * self.options.multiplicative_decrease * self.limit
        } else if is_used_up {
            adjustment * self.options.additive_increase * self.fair_limit()
        } else {
            0.0
        };
        self.limit = (self.limit + step * round_share).clamp(1.0, self.max_limit());
    }

    /// Returns the limit that keeps this entry's share of the slots busy, with one running and one
    /// waiting attempt for each slot.
    fn fair_limit(&self) -> f64 {
        let own_slots = self.slots_per_shard() / f64::from(self.size.entries.max(1));
        (own_slots * ATTEMPTS_PER_SLOT).max(1.0)
    }

    fn initial_limit(&self) -> f64 {
        let own_slots = self.slots_per_shard() / f64::from(self.size.entries.max(1));
        (own_slots * self.options.start_factor).max(1.0)
    }

    fn max_limit(&self) -> f64 {
        (self.slots_per_shard() * self.options.max_factor).max(1.0)
    }

    fn slots_per_shard(&self) -> f64 {
        f64::from(self.size.slots) / f64::from(self.size.shards.max(1))
    }
}
