//! CPU time and memory of this process, as reported by Linux.

use std::fs;

/// Unit of CPU times in `/proc`: the kernel's user-space clock tick.
const CLOCK_TICK_S: f64 = 0.01;

/// Page size in KB.
const PAGE_KB: f64 = 4.0;

/// Returns the CPU time used so far, in seconds; zero if unavailable.
pub fn cpu_seconds() -> f64 {
    // Fields 14 and 15, counted from behind the program name, which ends with the last `)`.
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks
        .filter_map(|field| field.parse::<f64>().ok())
        .sum::<f64>()
        * CLOCK_TICK_S
}

/// Returns the resident memory in KB; zero if unavailable.
pub fn resident_kb() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<f64>().ok())
        .unwrap_or_default()
        * PAGE_KB
}
