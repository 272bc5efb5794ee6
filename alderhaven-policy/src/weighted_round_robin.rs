//! How requests are dealt to the services of a split route.
//!
//! Load pattern: an operator moves a tenth of the requests to a new service. Drawn at random, a few
//! hundred requests miss their shares by several in a hundred; dealt in turn they miss by one.
//!
//! Smooth weighted round robin: each service gains its weight at each request, the one with the most
//! is chosen and pays the sum of the weights.

use smallvec::SmallVec;

/// A `WeightedSplit` deals requests by weights.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: SmallVec<[f64; 4]>,
}

impl WeightedRoundRobin {
    /// Chooses the place of the next request; none where no weight is above 0.
    pub fn next(&mut self, weights: &[f64]) -> Option<usize> {
        if self.credits.len() != weights.len() {
            self.credits = SmallVec::from_elem(0.0, weights.len());
        }
        let total: f64 = weights.iter().sum();
        if total <= 0.0 {
            return None;
        }
        let mut best = 0;
        for (index, weight) in weights.iter().enumerate() {
            self.credits[index] += weight;
            if self.credits[index] > self.credits[best] {
                best = index;
            }
        }
        self.credits[best] -= total;
        Some(best)
    }
}
