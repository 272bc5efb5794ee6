//! How much of a service each team or key has used of late, against what it is due.

use std::collections::HashMap;
use std::hash::Hash;

use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::rate_meter::RateMeter;

/// Over how long use is counted: long enough to tell a flood from two queries in a row.
const USAGE_TIME_CONSTANT: TimeSpan = TimeSpan::from_millis(500);
/// The most flows that are told apart; above it, the least used are forgotten.
const MAX_FLOWS: usize = 1024;
/// A flow competes while it uses at least this share of the whole.
const MIN_COMPETING_SHARE: f64 = 0.01;

/// Below this part of its due, a flow's use is clearly less than that and no matter of chance.
const BELOW_SHARE_FACTOR: f64 = 0.8;

/// Below this share of the whole no flow is in excess: among a hundred queries of as many keys, each
/// has one part in a hundred, and which of them is above its due is a matter of chance.
const MIN_EXCESS_SHARE: f64 = 0.03;

/// A `ShareMeter` counts the recent use of competing flows.
#[derive(Clone, Debug)]
pub struct ShareMeter<K> {
    flows: HashMap<K, (RateMeter, u32)>,
    total: RateMeter,
}

impl<K> Default for ShareMeter<K> {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            total: RateMeter::new(USAGE_TIME_CONSTANT),
        }
    }
}

impl<K: Clone + Eq + Hash> ShareMeter<K> {
    /// Adds what a flow of this weight used.
    pub fn add(&mut self, flow: &K, weight: u32, amount: f64, now: TimePoint) {
        self.total.add(amount, now);
        if let Some((meter, known_weight)) = self.flows.get_mut(flow) {
            meter.add(amount, now);
            *known_weight = weight;
            return;
        }
        if self.flows.len() >= MAX_FLOWS {
            self.evict_least_used(now);
        }
        let mut meter = RateMeter::new(USAGE_TIME_CONSTANT);
        meter.add(amount, now);
        self.flows.insert(flow.clone(), (meter, weight));
    }

    /// Gets what a flow uses per second.
    #[must_use]
    pub fn per_second(&self, flow: &K, now: TimePoint) -> f64 {
        self.flows
            .get(flow)
            .map_or(0.0, |(meter, _)| meter.per_second(now))
    }

    /// Gets how far a flow is above its due, from 0 (at most its due) to 1 (twice its due).
    #[must_use]
    pub fn excess(&self, flow: &K, now: TimePoint) -> f64 {
        let total = self.total.per_second(now);
        let usage = self.per_second(flow, now);
        if usage < total * MIN_EXCESS_SHARE || total <= 0.0 {
            return 0.0;
        }
        let weight = self.flows.get(flow).map_or(1, |(_, weight)| *weight);
        let fair_rate = total * self.fair_share(flow, weight, now);
        (usage / fair_rate - 1.0).clamp(0.0, 1.0)
    }

    /// Returns true where a flow uses clearly less than its due.
    #[must_use]
    pub fn is_below_fair_share(&self, flow: &K, weight: u32, now: TimePoint) -> bool {
        let fair_rate = self.total.per_second(now) * self.fair_share(flow, weight, now);
        self.per_second(flow, now) < fair_rate * BELOW_SHARE_FACTOR
    }

    /// Gets the share that is due to a flow of this weight among those that compete.
    #[must_use]
    pub fn fair_share(&self, flow: &K, weight: u32, now: TimePoint) -> f64 {
        let min_competing_rate = MIN_COMPETING_SHARE * self.total.per_second(now);
        let weight = f64::from(weight);
        let mut competing_weight = weight;
        let mut small_flows_rate = 0.0;
        for (_, (meter, weight)) in self.flows.iter().filter(|(other, _)| *other != flow) {
            let usage = meter.per_second(now);
            if usage >= min_competing_rate {
                competing_weight += f64::from(*weight);
            } else {
                small_flows_rate += usage;
            }
        }
        // Many small flows together compete as well, as flows of the least size that counts.
        if min_competing_rate > 0.0 {
            competing_weight += small_flows_rate / min_competing_rate;
        }
        weight / competing_weight
    }

    fn evict_least_used(&mut self, now: TimePoint) {
        let mut rates: Vec<f64> = self
            .flows
            .values()
            .map(|(meter, _)| meter.per_second(now))
            .collect();
        let middle = rates.len() / 2;
        rates.select_nth_unstable_by(middle, f64::total_cmp);
        let median = rates[middle];
        self.flows
            .retain(|_, (meter, _)| meter.per_second(now) > median);
    }
}
