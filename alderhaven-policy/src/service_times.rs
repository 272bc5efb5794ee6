//! Mean service time of each template at one target, and which templates are long.

use std::collections::HashMap;

use alderhaven_core::ids::TemplateName;
use alderhaven_core::time::{TimePoint, TimeSpan};

use crate::running_mean::RunningMean;

/// Number of samples that a mean covers: enough to reduce the spread of exponential service times
/// to a sixth, and few enough to follow a target that turns slow within half a second at 100
/// attempts per second.
const MEAN_WINDOW: u32 = 32;
/// Time since its last sample for which a template counts as running here.
const RECENT_SPAN: TimeSpan = TimeSpan::from_secs(10);
/// Largest number of tracked templates; the one without a sample for longest is evicted.
const MAX_TEMPLATES: usize = 256;

/// Mean service times of templates and of all attempts.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    templates: HashMap<TemplateName, TemplateMean>,
    overall: RunningMean,
}

/// Mean of one template with the time of its last sample.
#[derive(Clone, Debug)]
struct TemplateMean {
    mean: RunningMean,
    last_sample_at: TimePoint,
}

impl ServiceTimes {
    /// Adds the service time of one attempt.
    pub fn add(&mut self, template: &TemplateName, service_time: TimeSpan, now: TimePoint) {
        self.overall.add(service_time, MEAN_WINDOW);
        if let Some(entry) = self.templates.get_mut(template) {
            entry.mean.add(service_time, MEAN_WINDOW);
            entry.last_sample_at = now;
            return;
        }
        if self.templates.len() >= MAX_TEMPLATES {
            self.evict_oldest();
        }
        let mut mean = RunningMean::default();
        mean.add(service_time, MEAN_WINDOW);
        let last_sample_at = now;
        self.templates.insert(
            template.clone(),
            TemplateMean {
                mean,
                last_sample_at,
            },
        );
    }

    /// Returns the template's mean, else the mean of all attempts, else zero.
    #[must_use]
    pub fn expected_service_time(&self, template: &TemplateName) -> TimeSpan {
        self.templates
            .get(template)
            .and_then(|entry| entry.mean.get())
            .or_else(|| self.overall.get())
            .unwrap_or_default()
    }

    /// Returns the mean over all attempts, or `None` before the first sample.
    #[must_use]
    pub fn overall_mean(&self) -> Option<TimeSpan> {
        self.overall.get()
    }

    /// Returns true if the template takes at least `factor` times as long as the shortest template
    /// that ran recently. A template that never ran here counts as long, since it may be.
    #[must_use]
    pub fn is_long(&self, template: &TemplateName, factor: f64, now: TimePoint) -> bool {
        let shortest = self
            .templates
            .values()
            .filter(|entry| now.since(entry.last_sample_at) <= RECENT_SPAN)
            .filter_map(|entry| entry.mean.get())
            .min();
        let own = self
            .templates
            .get(template)
            .and_then(|entry| entry.mean.get());
        match (own, shortest) {
            (Some(own), Some(shortest)) => own >= shortest.mul_f64(factor) && own > shortest,
            _ => own.is_none(),
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .templates
            .iter()
            .min_by_key(|(_, entry)| entry.last_sample_at)
            .map(|(name, _)| name.clone());
        if let Some(oldest) = oldest {
            self.templates.remove(&oldest);
        }
    }
}
