//! The starts and crashes of a target, and the connections that it leaves silent.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// A `TargetLife` knows since when a target runs and tells its connections when it crashes.
#[derive(Debug)]
pub struct TargetLife {
    state: Mutex<LifeState>,
}

#[derive(Debug)]
struct LifeState {
    crashed: CancellationToken,
    silenced: CancellationToken,
    began: Instant,
    runs: u32,
    crashes: u32,
    down: Duration,
}

impl Default for TargetLife {
    fn default() -> Self {
        Self {
            state: Mutex::new(LifeState {
                crashed: CancellationToken::new(),
                silenced: CancellationToken::new(),
                began: Instant::now(),
                runs: 0,
                crashes: 0,
                down: Duration::ZERO,
            }),
        }
    }
}

impl TargetLife {
    /// Begins a life, and returns the token that ends at its crash.
    #[must_use]
    pub fn begin(&self) -> CancellationToken {
        let mut state = self.lock();
        state.crashed = CancellationToken::new();
        state.began = Instant::now();
        state.runs = 0;
        state.crashed.clone()
    }

    /// Ends the life: the listener and all connections go at once, and come back after `down`.
    pub fn crash(&self, down: Duration) {
        let mut state = self.lock();
        if !state.crashed.is_cancelled() {
            state.crashes += 1;
            state.down = down;
            state.crashed.cancel();
        }
    }

    /// Gets the time for which the target stays down after its last crash.
    #[must_use]
    pub fn down(&self) -> Duration {
        self.lock().down
    }

    /// Gets the number of crashes.
    #[must_use]
    pub fn crashes(&self) -> u32 {
        self.lock().crashes
    }

    /// Makes the connections that are open now silent for good; new ones answer.
    pub fn silence(&self) {
        let mut state = self.lock();
        state.silenced.cancel();
        state.silenced = CancellationToken::new();
    }

    /// Gets the token, for a new connection, that ends when the connection becomes silent.
    #[must_use]
    pub fn silenced(&self) -> CancellationToken {
        self.lock().silenced.clone()
    }

    /// Counts a run; returns the runs before it in this life and the life's age.
    pub fn count_run(&self) -> (u32, Duration) {
        let mut state = self.lock();
        state.runs = state.runs.saturating_add(1);
        (state.runs - 1, state.began.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, LifeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
