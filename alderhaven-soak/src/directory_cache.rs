//! The fronts that a caller knows from its last directory answer.

use std::net::SocketAddr;

use alderhaven_core::time::TimeSpan;
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::Instant;

/// One in so many callers keeps an answer for a multiple of its time to live.
const LONG_KEEPER_PERIOD: usize = 4;
const LONG_KEEPER_FACTOR: f64 = 3.0;

/// A cached directory answer, without the fronts that have failed the caller since.
#[derive(Clone, Debug)]
pub struct DirectoryCache {
    ttl: TimeSpan,
    fronts: Vec<SocketAddr>,
    expires_at: Option<Instant>,
}

impl DirectoryCache {
    /// Creates the empty cache of a caller; some callers keep answers for longer than `ttl`.
    #[must_use]
    pub fn of_caller(number: usize, ttl: TimeSpan) -> Self {
        let is_long_keeper = number.is_multiple_of(LONG_KEEPER_PERIOD);
        let factor = if is_long_keeper {
            LONG_KEEPER_FACTOR
        } else {
            1.0
        };
        Self {
            ttl: ttl.mul_f64(factor),
            fronts: Vec::new(),
            expires_at: None,
        }
    }

    /// Chooses a front; `None` if the directory must be asked.
    pub fn choose(&self, rng: &mut StdRng) -> Option<SocketAddr> {
        let is_valid = self.expires_at.is_some_and(|end| Instant::now() < end);
        if !is_valid || self.fronts.is_empty() {
            return None;
        }
        Some(self.fronts[rng.random_range(0..self.fronts.len())])
    }

    /// Replaces the fronts by those of a new answer.
    pub fn store(&mut self, fronts: &[SocketAddr]) {
        self.fronts = fronts.to_vec();
        self.expires_at = Some(Instant::now() + self.ttl.as_duration());
    }

    /// Removes a front that has failed the caller.
    pub fn remove(&mut self, front: SocketAddr) {
        self.fronts.retain(|known| *known != front);
    }
}
