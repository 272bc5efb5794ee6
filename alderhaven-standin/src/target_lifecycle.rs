//! Starts and crashes of a target, and connections that stop answering.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Start time and counters of a target, with the tokens that signal faults to its connections.
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
    /// Records a start; the returned token is cancelled by the next crash.
    #[must_use]
    pub fn start(&self) -> CancellationToken {
        let mut state = self.lock_state();
        state.crash_token = CancellationToken::new();
        state.started_at = Instant::now();
        state.run_count = 0;
        state.crash_token.clone()
    }

    /// Signals a crash, after which the target stays down for `downtime`; ignored while it is down.
    pub fn crash(&self, downtime: Duration) {
        let mut state = self.lock_state();
        if !state.crash_token.is_cancelled() {
            state.crash_count += 1;
            state.downtime = downtime;
            state.crash_token.cancel();
        }
    }

    /// Returns the downtime of the last crash.
    #[must_use]
    pub fn downtime(&self) -> Duration {
        self.lock_state().downtime
    }

    /// Returns the number of crashes since the target was created.
    #[must_use]
    pub fn crash_count(&self) -> u32 {
        self.lock_state().crash_count
    }

    /// Stops answers on all currently open connections, for good; new connections work.
    pub fn silence_connections(&self) {
        let mut state = self.lock_state();
        state.silence_token.cancel();
        state.silence_token = CancellationToken::new();
    }

    /// Returns the token for a new connection, which is cancelled when it is silenced.
    #[must_use]
    pub fn silence_token(&self) -> CancellationToken {
        self.lock_state().silence_token.clone()
    }

    /// Counts a run; returns the number of earlier runs since the last start, and the time since.
    pub fn record_run(&self) -> (u32, Duration) {
        let mut state = self.lock_state();
        state.run_count = state.run_count.saturating_add(1);
        (state.run_count - 1, state.started_at.elapsed())
    }

    fn lock_state(&self) -> MutexGuard<'_, LifecycleState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
