//! Helpers of the policy tests: fixed seeds, times, and an event queue over simulated time.
#![allow(dead_code, reason = "each test crate uses some of the helpers")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use alderhaven_core::time::{TimePoint, TimeSpan};
use proptest::test_runner::{Config, RngSeed};

/// Returns a configuration with a fixed seed; `PROPTEST_CASES` overrides the number of cases.
pub fn proptest_config(default_cases: u32) -> Config {
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default_cases);
    Config {
        cases,
        rng_seed: RngSeed::Fixed(0x000a_1de4),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Returns the time `millis` milliseconds after the start.
pub const fn at(millis: u64) -> TimePoint {
    TimePoint::from_micros(millis * 1_000)
}

/// Returns a span of `millis` milliseconds.
pub const fn ms(millis: u64) -> TimeSpan {
    TimeSpan::from_millis(millis)
}

/// Reproducible random numbers (splitmix64).
pub struct SeededRng(pub u64);

impl SeededRng {
    /// Draws 64 random bits.
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Draws a number from 0 up to but excluding 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Draws an exponentially distributed span with this mean.
    pub fn exponential(&mut self, mean: TimeSpan) -> TimeSpan {
        mean.mul_f64(-(1.0 - self.unit()).ln())
    }
}

/// Pending events in the order of their times, and of their addition for equal times.
pub struct EventQueue<E> {
    events: BinaryHeap<Reverse<(TimePoint, u64)>>,
    payloads: std::collections::HashMap<u64, E>,
    count: u64,
}

impl<E> EventQueue<E> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            events: BinaryHeap::new(),
            payloads: std::collections::HashMap::new(),
            count: 0,
        }
    }

    /// Schedules an event.
    pub fn add(&mut self, time: TimePoint, event: E) {
        self.count += 1;
        self.events.push(Reverse((time, self.count)));
        self.payloads.insert(self.count, event);
    }

    /// Removes and returns the next event.
    pub fn next(&mut self) -> Option<(TimePoint, E)> {
        let Reverse((time, number)) = self.events.pop()?;
        self.payloads.remove(&number).map(|event| (time, event))
    }
}

/// Returns the quantile `share` of the values, which are sorted in place.
pub fn quantile(values: &mut [TimeSpan], share: f64) -> TimeSpan {
    values.sort_unstable();
    let index = (values.len().saturating_sub(1)) as f64 * share;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a non-negative index into a short list"
    )]
    let index = index.round() as usize;
    values.get(index).copied().unwrap_or_default()
}

pub mod overload_simulation;
pub mod service_simulation;
pub mod shard_simulation;
