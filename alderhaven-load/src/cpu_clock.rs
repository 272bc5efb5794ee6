//! CPU time of this process and of the whole machine. High usage of the machine shows that it, not
//! the system under test, limited a run.

use std::fs;
use std::time::Instant;

/// Unit of CPU time in `/proc` (`USER_HZ`, see proc(5)).
const TICKS_PER_SECOND: f64 = 100.0;

/// Measures CPU usage from its start.
#[derive(Debug)]
pub struct CpuClock {
    started_at: Instant,
    process_seconds_at_start: f64,
    machine_seconds_at_start: f64,
}

/// CPU usage as a share of the time of all cores.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CpuShares {
    /// Usage by this process.
    pub process: f64,
    /// Usage by all processes.
    pub machine: f64,
}

impl CpuClock {
    /// Reads the counters from which usage is measured.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
            process_seconds_at_start: process_seconds().unwrap_or(0.0),
            machine_seconds_at_start: machine_seconds().unwrap_or(0.0),
        }
    }

    /// Returns the usage since the start; zero where `/proc` can't be read.
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

/// Returns the user and system time of this process.
fn process_seconds() -> Option<f64> {
    let text = fs::read_to_string("/proc/self/stat").ok()?;
    // The process name in parentheses may contain spaces; the third field follows it.
    let (_, fields) = text.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    Some(ticks / TICKS_PER_SECOND)
}

/// Returns the machine's CPU time, without idle time and waits for disks.
fn machine_seconds() -> Option<f64> {
    let text = fs::read_to_string("/proc/stat").ok()?;
    let ticks: Vec<f64> = text
        .lines()
        .next()?
        .split_whitespace()
        .skip(1)
        .filter_map(|field| field.parse().ok())
        .collect();
    // The fields are user, nice, system, idle, iowait, irq and softirq.
    let busy = ticks.iter().take(7).sum::<f64>() - ticks.get(3)? - ticks.get(4)?;
    Some(busy / TICKS_PER_SECOND)
}
