//! The processor time that this process and the whole machine used, so that a run that the machine
//! limited can be told from one that the system limited.

use std::fs;
use std::time::Instant;

/// The kernel's unit of processor time in `/proc`, a second's hundredth (`USER_HZ`, proc(5)).
const TICKS_PER_SECOND: f64 = 100.0;

/// A `CpuClock` measures from its start.
#[derive(Debug)]
pub struct CpuClock {
    started_at: Instant,
    process_seconds_at_start: f64,
    machine_seconds_at_start: f64,
}

/// A `CpuShares` is the used share of all cores.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CpuShares {
    /// What this process used.
    pub process: f64,
    /// What all processes of the machine used.
    pub machine: f64,
}

impl CpuClock {
    /// Starts to measure.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
            process_seconds_at_start: process_seconds().unwrap_or(0.0),
            machine_seconds_at_start: machine_seconds().unwrap_or(0.0),
        }
    }

    /// Gets the shares since the start; zero where `/proc` can't be read.
    #[must_use]
    pub fn shares(&self) -> CpuShares {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let available = self.started_at.elapsed().as_secs_f64() * cores as f64;
        CpuShares {
            process: process_seconds()
                .map_or(0.0, |now| (now - self.process_seconds_at_start) / available),
            machine: machine_seconds()
                .map_or(0.0, |now| (now - self.machine_seconds_at_start) / available),
        }
    }
}

/// Gets the user and system time of this process.
fn process_seconds() -> Option<f64> {
    let text = fs::read_to_string("/proc/self/stat").ok()?;
    // The name in parentheses may have spaces; the third field comes after it.
    let (_, fields) = text.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    Some(ticks / TICKS_PER_SECOND)
}

/// Gets the time that the machine was neither idle nor waiting for disks.
fn machine_seconds() -> Option<f64> {
    let text = fs::read_to_string("/proc/stat").ok()?;
    let ticks: Vec<f64> = text
        .lines()
        .next()?
        .split_whitespace()
        .skip(1)
        .filter_map(|field| field.parse().ok())
        .collect();
    // user, nice, system, idle, iowait, irq, softirq
    let busy = ticks.iter().take(7).sum::<f64>() - ticks.get(3)? - ticks.get(4)?;
    Some(busy / TICKS_PER_SECOND)
}
