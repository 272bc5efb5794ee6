//! Random arrival times of an open-loop load, independent of the replies.

use alderhaven_core::time::TimeSpan;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Part of a run with a constant arrival rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RatePhase {
    /// Length of the phase.
    pub duration: TimeSpan,
    /// Arrivals per second; must be above zero.
    pub rate: f64,
}

/// Arrival times of a Poisson process with a rate per phase; equal seeds give equal times.
///
/// Gaps are exponential. A gap that crosses the end of its phase is drawn again from there at the
/// next rate, which is exact because the process is memoryless.
#[derive(Debug)]
pub struct ArrivalSchedule {
    rng: StdRng,
    phases: Vec<RatePhase>,
    phase_index: usize,
    phase_start_s: f64,
    last_arrival_s: f64,
}

impl ArrivalSchedule {
    /// Starts the schedule of consecutive phases at time zero.
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
            // The argument of the logarithm is above zero.
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
