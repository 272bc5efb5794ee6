//! Measures the recent usage of competing flows, such as teams or keys, against their fair shares.

use std::collections::HashMap;
use std::hash::Hash;

use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::rate_meter::RateMeter;

/// Time constant of the usage meters, long enough to tell a flood from two successive queries.
const USAGE_TIME_CONSTANT: TimeSpan = TimeSpan::from_millis(500);
/// Largest number of tracked flows; the less active half is evicted when it is reached.
const MAX_FLOWS: usize = 1024;
/// Share of the total usage from which a flow counts as competing.
const MIN_COMPETING_SHARE: f64 = 0.01;

/// Factor on the fair share below which usage is clearly lower rather than lower by chance.
const BELOW_SHARE_FACTOR: f64 = 0.8;

/// Share of the total usage below which no flow is in excess. With many small flows it is a matter
/// of chance which of them exceed their fair shares.
const MIN_EXCESS_SHARE: f64 = 0.03;

/// Recent usage of flows that compete for one service.
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
    /// Adds usage of a flow and sets the flow's weight.
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

    /// Returns the recent usage of a flow per second.
    #[must_use]
    pub fn per_second(&self, flow: &K, now: TimePoint) -> f64 {
        self.flows
            .get(flow)
            .map_or(0.0, |(meter, _)| meter.per_second(now))
    }

    /// Returns how far a flow is above its fair share, from 0 (at most its share) to 1 (twice its
    /// share).
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

    /// Returns true if a flow uses clearly less than its fair share.
    #[must_use]
    pub fn is_below_fair_share(&self, flow: &K, weight: u32, now: TimePoint) -> bool {
        let fair_rate = self.total.per_second(now) * self.fair_share(flow, weight, now);
        self.per_second(flow, now) < fair_rate * BELOW_SHARE_FACTOR
    }

    /// Returns the fair share of a flow of this weight among the competing flows, from 0 to 1.
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
        // Small flows compete together, as if they were flows of the smallest competing size.
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
