//! The arrivals of an open-loop run: when each query is due, whatever became of those before.

use alderhaven_core::time::TimeSpan;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// A `RatePhase` is a part of a run with one rate of arrivals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RatePhase {
    /// The length of the phase.
    pub duration: TimeSpan,
    /// The arrivals a second, above zero.
    pub rate: f64,
}

/// An `ArrivalSchedule` gives the times of a Poisson process; equal seeds give equal times.
///
/// The gaps are exponential with the mean of the phase. A gap that reaches over the end of its
/// phase is drawn anew from there, which a process without memory allows.
#[derive(Debug)]
pub struct ArrivalSchedule {
    rng: StdRng,
    phases: Vec<RatePhase>,
    phase_index: usize,
    phase_start_s: f64,
    last_arrival_s: f64,
}

impl ArrivalSchedule {
    /// Returns the schedule of `phases`, one after the other.
    #[must_use]
    pub fn new(seed: u64, phases: Vec<RatePhase>) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            phases,
            phase_index: 0,
            phase_start_s: 0.0,
            last_arrival_s: 0.0,
        }
    }
}

impl Iterator for ArrivalSchedule {
    type Item = TimeSpan;

    fn next(&mut self) -> Option<TimeSpan> {
        loop {
            let phase = *self.phases.get(self.phase_index)?;
            let end = self.phase_start_s + phase.duration.as_secs_f64();
            // 1 less the number is above zero, where the logarithm has a value.
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / phase.rate;
            if self.last_arrival_s + gap < end {
                self.last_arrival_s += gap;
                return Some(TimeSpan::from_secs(1).mul_f64(self.last_arrival_s));
            }
            self.last_arrival_s = end;
            self.phase_start_s = end;
            self.phase_index += 1;
        }
    }
}
