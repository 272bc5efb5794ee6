//! The starts and crashes of a target, and the connections that it leaves silent.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// A `TargetLife` knows since when a target runs and tells its connections when it crashes.
#[derive(Debug)]
pub struct TargetLifecycle {
    state: Mutex<LifecycleState>,
}

#[derive(Debug)]
struct LifecycleState {
    crash_token: CancellationToken,
    silence_token: CancellationToken,
    started_at: Instant,
    run_count: u32,
    crash_count: u32,
    downtime: Duration,
}

impl Default for TargetLifecycle {
    fn default() -> Self {
        Self {
            state: Mutex::new(LifecycleState {
                crash_token: CancellationToken::new(),
                silence_token: CancellationToken::new(),
                started_at: Instant::now(),
                run_count: 0,
                crash_count: 0,
                downtime: Duration::ZERO,
            }),
        }
    }
}

impl TargetLifecycle {
    /// Begins a life, and returns the token that ends at its crash.
    #[must_use]
    pub fn start(&self) -> CancellationToken {
        let mut state = self.lock_state();
        state.crash_token = CancellationToken::new();
        state.started_at = Instant::now();
        state.run_count = 0;
        state.crash_token.clone()
    }

    /// Ends the life: the listener and all connections go at once, and come back after `down`.
    pub fn crash(&self, downtime: Duration) {
        let mut state = self.lock_state();
        if !state.crash_token.is_cancelled() {
            state.crash_count += 1;
            state.downtime = downtime;
            state.crash_token.cancel();
        }
    }

    /// Gets the time for which the target stays down after its last crash.
    #[must_use]
    pub fn downtime(&self) -> Duration {
        self.lock_state().downtime
    }

    /// Gets the number of crashes.
    #[must_use]
    pub fn crash_count(&self) -> u32 {
        self.lock_state().crash_count
    }

    /// Makes the connections that are open now silent for good; new ones answer.
    pub fn silence_connections(&self) {
        let mut state = self.lock_state();
        state.silence_token.cancel();
        state.silence_token = CancellationToken::new();
    }

    /// Gets the token, for a new connection, that ends when the connection becomes silent.
    #[must_use]
    pub fn silence_token(&self) -> CancellationToken {
        self.lock_state().silence_token.clone()
    }

    /// Counts a run; returns the runs before it in this life and the life's age.
    pub fn record_run(&self) -> (u32, Duration) {
        let mut state = self.lock_state();
        state.run_count = state.run_count.saturating_add(1);
        (state.run_count - 1, state.started_at.elapsed())
    }

    fn lock_state(&self) -> MutexGuard<'_, LifecycleState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
