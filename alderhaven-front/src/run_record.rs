//! Records how long a request runs, for the estimate of its route.

use std::sync::Arc;

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_policy::work_estimate::{OpenRun, WorkKind};

use crate::route_state::RouteState;

/// A run that is counted as open until it is dropped.
#[derive(Debug)]
pub(crate) struct RunRecord {
    state: Arc<RouteState>,
    clock: ProcessClock,
    run: OpenRun,
    is_complete: bool,
}

impl RunRecord {
    /// Begins a run of these kinds of work.
    pub(crate) fn begin(state: &Arc<RouteState>, kinds: &[WorkKind], clock: ProcessClock) -> Self {
        Self {
            run: state.begin_run(kinds, clock.now()),
            state: Arc::clone(state),
            clock,
            is_complete: false,
        }
    }

    /// Marks the work as done by its targets.
    pub(crate) const fn mark_complete(&mut self) {
        self.is_complete = true;
    }
}

impl Drop for RunRecord {
    fn drop(&mut self) {
        let now = self.clock.now();
        self.state.end_run(&self.run, self.is_complete, now);
    }
}
