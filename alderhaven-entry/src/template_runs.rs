//! How long the queries of each template run at this entry.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use alderhaven_core::ids::TemplateName;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::work_estimate::{OpenRun, WorkEstimate};

/// Largest number of templates whose runs are recorded.
const MAX_TEMPLATES: usize = 512;

/// Run times by template.
#[derive(Debug)]
pub struct TemplateRuns {
    clock: ProcessClock,
    estimates: Mutex<HashMap<TemplateName, WorkEstimate>>,
}

/// A run that is counted as open until it is dropped.
#[derive(Debug)]
pub(crate) struct TemplateRun<'a> {
    runs: &'a TemplateRuns,
    template: TemplateName,
    run: OpenRun,
    is_complete: bool,
}

impl TemplateRuns {
    /// Creates an empty record.
    #[must_use]
    pub fn new(clock: ProcessClock) -> Self {
        Self {
            clock,
            estimates: Mutex::default(),
        }
    }

    /// Returns the longest time that a query of the template is known to take, if enough are known.
    #[must_use]
    pub fn longest_run(&self, template: &TemplateName) -> Option<TimeSpan> {
        let now = self.clock.now();
        self.lock().get(template)?.longest_run(&[], now)
    }

    /// Records that a query begins to run; `None` if too many templates are in use.
    pub(crate) fn begin(&self, template: &TemplateName) -> Option<TemplateRun<'_>> {
        let mut estimates = self.lock();
        if estimates.len() >= MAX_TEMPLATES && !estimates.contains_key(template) {
            return None;
        }
        let estimate = estimates.entry(template.clone()).or_default();
        Some(TemplateRun {
            runs: self,
            template: template.clone(),
            run: estimate.begin(&[], self.clock.now()),
            is_complete: false,
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TemplateName, WorkEstimate>> {
        self.estimates
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl TemplateRun<'_> {
    /// Ends the run. `is_complete` tells whether the query was answered.
    pub(crate) fn end(mut self, is_complete: bool) {
        self.is_complete = is_complete;
    }
}

impl Drop for TemplateRun<'_> {
    fn drop(&mut self) {
        let now = self.runs.clock.now();
        if let Some(estimate) = self.runs.lock().get_mut(&self.template) {
            estimate.end(&self.run, self.is_complete, now);
        }
    }
}
