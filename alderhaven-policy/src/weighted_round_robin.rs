//! Smooth weighted round robin over the services of a split route.
//!
//! Each service gains its weight in credit at each request; the one with the most credit is chosen
//! and loses the sum of the weights. Unlike random selection, this keeps the shares within one request.

use smallvec::SmallVec;

/// Current credit of each service.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: SmallVec<[f64; 4]>,
}

impl WeightedRoundRobin {
    /// Returns the index of the service for the next request, or `None` if no weight is above 0.
    ///
    /// A changed number of weights resets the credits.
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
