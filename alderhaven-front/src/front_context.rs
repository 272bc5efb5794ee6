//! What all requests of a process share.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_node::stop_handle::StopHandle;
use alderhaven_policy::timer_lag::TimerLag;
use serde::{Deserialize, Serialize};

use crate::catalog::Catalog;
use crate::front_metrics::FrontMetrics;
use crate::group_links::GroupLinks;
use crate::query_admission::QueryAdmission;
use crate::wire_dialect::WireDialect;

/// A `FrontContext` is what a request needs of its process.
#[derive(Clone)]
pub struct FrontContext {
    /// What is in force.
    pub catalog: Arc<Catalog>,
    /// The protocol.
    pub dialect: Arc<dyn WireDialect>,
    /// The connections to other fronts.
    pub links: GroupLinks,
    /// The metrics.
    pub metrics: FrontMetrics,
    /// The planned stop.
    pub stop: StopHandle,
    /// The admission of queries.
    pub admission: Arc<QueryAdmission>,
    /// How late the process wakes up.
    pub timer_lag: Arc<Mutex<TimerLag>>,
    /// The clock.
    pub clock: ProcessClock,
    /// The settings of requests.
    pub options: RequestOptions,
}

/// `RequestOptions` are the settings of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestOptions {
    /// The one-way latency to callers.
    #[serde(rename = "caller_path")]
    pub caller_latency: TimeSpan,
    /// What an answer takes beside its way: merging, writing, and waking up on a busy host.
    #[serde(rename = "answer_work")]
    pub answer_overhead: TimeSpan,
    /// How long a caller is waited for that does not say how long it waits.
    pub default_deadline: TimeSpan,
    /// How long an attempt goes on after its request was answered without it: long enough for the
    /// reply of a server that pauses, so that its connection can be kept.
    #[serde(rename = "linger")]
    pub drain_timeout: TimeSpan,
}

impl Default for RequestOptions {
    fn default() -> Self {
        Self {
            caller_latency: TimeSpan::from_millis(3),
            answer_overhead: TimeSpan::from_millis(6),
            default_deadline: TimeSpan::from_secs(10),
            drain_timeout: TimeSpan::from_millis(400),
        }
    }
}

impl FrontContext {
    /// Writes all metrics in the text format.
    #[must_use]
    pub fn encode_metrics(&self) -> String {
        let evacuated = self.catalog.evacuated_domains().len();
        self.metrics
            .evacuated_domains
            .set(i64::try_from(evacuated).unwrap_or(i64::MAX));
        if let Some(traffic) = self.links.group().traffic() {
            self.metrics.set_peer_traffic(&traffic);
        }
        self.metrics.encode()
    }

    /// Notes a timer of this process that was due at `due`.
    pub fn record_wake(&self, due: TimePoint) {
        let now = self.clock.now();
        let mut lag = self
            .timer_lag
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        lag.record_wakeup(due, now);
    }

    /// Gets how late the process wakes up.
    #[must_use]
    pub fn wake_lag(&self) -> TimeSpan {
        self.timer_lag
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get()
    }
}

/// Sleeps until a point of the process's clock.
pub async fn sleep_until(clock: ProcessClock, point: TimePoint) {
    let left: Duration = point.since(clock.now()).as_duration();
    tokio::time::sleep(left).await;
}
