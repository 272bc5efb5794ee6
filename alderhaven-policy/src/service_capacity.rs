//! How many queries of one service an entry may have in flight: found, not configured.
//!
//! Load pattern: the capacity of a service is unknown to an entry. Other entries share it, targets
//! slow down, shed or leave, and the mix of queries changes.
//!
//! Without it (no limit, or a fixed one): too high a limit moves the queue into the relays, where
//! work expires shard by shard and the work for the rest of its query is lost; too low a limit
//! leaves targets idle while callers are refused.
//!
//! The limit counts attempts per shard that have not replied. Counting whole queries until their end
//! was tried: part of the limit then stands for shards that have long replied, waits are estimated
//! too short, and in the overload test refusals came after 147 to 185 ms at p99 rather than on
//! arrival, at the same goodput.
//!
//! It begins at twice this entry's even part of the slots, and follows what ended queries report: it
//! rises while it is used up and the mean wait in the relays' queues is below
//! [`ServiceCapacityOptions::target_wait`] times the service time, falls above that, and falls
//! faster where attempts did not run. This is the idea of TCP Vegas (Brakmo and Peterson, 1995): the
//! wait in the queue says how far the limit is above what the service carries. It moves by a part
//! per query such that a round of all open queries moves it once, because a change shows in reports
//! only after that; moving it by every query's full step made it swing down to nothing in a burst.
//!
//! Grounds for the figures: one waiting attempt a slot keeps a slot busy, and costs one service time
//! of wait, 10 ms of 370 at 10 ms of service; half of it gave less goodput, one and a half times
//! held up the others of a hot team. Additive rise and a fall by a share let the limits of several
//! entries draw level (Chiu and Jain, 1989).

use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::running_mean::RunningMean;

/// The number of ended queries that the means cover.
const MEAN_WINDOW: u32 = 32;

/// How many attempts per slot an entry's even part is reckoned as: one that runs, one that waits.
const ATTEMPTS_PER_SLOT: f64 = 2.0;
/// The part of the limit above which it counts as used up.
const USED_UP_SHARE: f64 = 0.8;

/// A `ServiceCapacityOptions` holds the settings of the limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceCapacityOptions {
    /// The wait in the relays' queues that the limit aims at, in service times.
    pub target_wait: f64,
    /// What the first limit is, times this entry's part of the slots.
    pub start_factor: f64,
    /// How far beyond the limit urgent queries and those of teams below their due may go, times the
    /// limit. The relays let them go first, so for them the limit's queue is not there; without
    /// headroom they would wait at the entry for what a flood has in flight.
    pub headroom: f64,
    /// The greatest limit, times all slots of a shard.
    pub max_factor: f64,
    /// The greatest rise a round, as a share of an even part.
    #[serde(rename = "rise")]
    pub additive_increase: f64,
    /// The greatest fall a round, as a share of the limit.
    #[serde(rename = "fall")]
    pub multiplicative_decrease: f64,
    /// The latency that is assumed before the first query has ended.
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

/// A `ServiceSize` is what is declared of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceSize {
    /// The number of shards.
    pub shards: u32,
    /// The slots of all targets together.
    pub slots: u32,
    /// The number of entries that share the service.
    pub entries: u32,
}

/// A `QueryReport` is what an ended query says of the load on its service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueryReport {
    /// The mean time that its attempts waited in the relays' queues.
    pub queue_wait: TimeSpan,
    /// The mean time that its attempts took at the targets; zero where none ran.
    pub service_time: TimeSpan,
    /// The number of attempts.
    pub attempts: u32,
    /// The number of attempts that were shed, expired or found a full queue.
    pub not_run: u32,
}

/// A `ServiceCapacity` follows how many queries an entry may have in flight at one service.
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
    /// Returns the capacity of a service before any query of it.
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

    /// Takes over a changed size; the limit keeps its relation to this entry's part.
    pub fn set_size(&mut self, size: ServiceSize) {
        if size == self.size {
            return;
        }
        let initial_before = self.initial_limit();
        self.size = size;
        self.limit =
            (self.limit * self.initial_limit() / initial_before).clamp(1.0, self.max_limit());
    }

    /// Gets the size.
    #[must_use]
    pub const fn size(&self) -> ServiceSize {
        self.size
    }

    /// Counts a query as in flight.
    pub fn record_started(&mut self, fan_out: u32) {
        self.in_flight += u64::from(fan_out);
        self.open_attempts += u64::from(fan_out);
    }

    /// Takes back attempts that ended before the rest of their query.
    pub fn record_replies(&mut self, attempts: u32) {
        self.in_flight = self.in_flight.saturating_sub(u64::from(attempts));
    }

    /// Takes a query back, of whose attempts `left` have not replied, and adapts the limit;
    /// `has_backlog` says that other queries wait.
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
        // A round is as many queries as are open, those that only wait for their slowest shard
        // included: what the limit is now shows in reports only after that many.
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

    /// Gets the limit in queries per shard.
    #[must_use]
    pub const fn limit(&self) -> f64 {
        self.limit
    }

    /// Gets the limit in attempts.
    #[must_use]
    pub fn limit_in_attempts(&self) -> f64 {
        self.limit * f64::from(self.size.shards.max(1))
    }

    /// Gets the attempts of the queries in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Returns true where one more query fits; half of it may reach beyond the limit, so that the
    /// limit is rounded rather than cut. A preferred query may use the headroom as well.
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

    /// Gets the mean latency of a query from its admission to its end.
    #[must_use]
    pub fn mean_latency(&self) -> TimeSpan {
        self.latency.get().unwrap_or(self.options.initial_latency)
    }

    /// Estimates how many attempts the service ends per second for this entry: by Little's law, what
    /// may be in flight over the mean time of an attempt from its sending to its reply.
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
        // The more an entry has above its even part, the more it gives way, so that entries that
        // see the same waits end up with like limits.
        let fair_limit_ratio = (self.limit / self.fair_limit()).clamp(0.5, 2.0);
        let wait_headroom = 1.0 - wait / service / self.options.target_wait * fair_limit_ratio;
        let not_run_share = f64::from(report.not_run) / f64::from(report.attempts);
        let adjustment = (wait_headroom - 4.0 * not_run_share).clamp(-1.0, 1.0);
        // Up by an amount, down by a share, by which the limits of several entries draw level.
        let step = if adjustment < 0.0 {
            adjustment * self.options.multiplicative_decrease * self.limit
        } else if is_used_up {
            adjustment * self.options.additive_increase * self.fair_limit()
        } else {
            0.0
        };
        self.limit = (self.limit + step * round_share).clamp(1.0, self.max_limit());
    }

    /// Gets the limit that keeps this entry's part of the slots busy, one attempt a slot running and
    /// one waiting.
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
