//! State that all requests of a process share.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_node::stop_handle::StopHandle;
use alderhaven_policy::timer_lag::TimerLag;
use serde::{Deserialize, Serialize};

use crate::catalog::Catalog;
use crate::crash_reporter::CrashReporter;
use crate::credit_keeper::CreditKeeper;
use crate::front_intake::FrontIntake;
use crate::front_metrics::FrontMetrics;
use crate::group_links::GroupLinks;
use crate::lease_keeper::LeaseKeeper;
use crate::query_admission::QueryAdmission;
use crate::wire_dialect::WireDialect;

/// The shared parts of a front; clones refer to the same front.
#[derive(Clone)]
pub struct FrontContext {
    /// Configuration and targets.
    pub catalog: Arc<Catalog>,
    /// Examines lost attempts for crashes of their targets.
    pub crashes: CrashReporter,
    /// The deployment's protocol.
    pub dialect: Arc<dyn WireDialect>,
    /// The lease on the configuration.
    pub lease: Arc<LeaseKeeper>,
    /// The credit of teams.
    pub credit: Arc<CreditKeeper>,
    /// Connections to fronts in other failure domains.
    pub links: GroupLinks,
    /// The metrics of the process.
    pub metrics: FrontMetrics,
    /// The bytes and connections that the process holds for others.
    pub intake: Arc<FrontIntake>,
    /// The drain of the process.
    pub stop: StopHandle,
    /// Concurrency limits and queues for queries.
    pub admission: Arc<QueryAdmission>,
    /// The estimate of how late timers of the process fire.
    pub timer_lag: Arc<Mutex<TimerLag>>,
    /// The monotonic clock of the process.
    pub clock: ProcessClock,
    /// Settings of request handling.
    pub options: RequestOptions,
}

/// Settings of request handling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestOptions {
    /// The one-way network latency to callers.
    #[serde(rename = "caller_path")]
    pub caller_latency: TimeSpan,
    /// The time that an answer takes apart from the network: merging, writing and scheduling
    /// delay.
    #[serde(rename = "answer_work")]
    pub answer_overhead: TimeSpan,
    /// The deadline of requests that don't state one.
    pub default_deadline: TimeSpan,
    /// How long attempts continue after their request was answered without them, so that a slow
    /// reply can complete and its connection be reused.
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
    /// Encodes all metrics in the Prometheus text format.
    #[must_use]
    pub fn encode_metrics(&self) -> String {
        let evacuated = self.catalog.evacuated_domains().len();
        self.metrics
            .evacuated_domains
            .set(i64::try_from(evacuated).unwrap_or(i64::MAX));
        let proof_age = self.lease.report().and_then(|report| report.proof_age_ms);
        let proof_age = proof_age.and_then(|age| i64::try_from(age).ok());
        self.metrics.lease_proof_age.set(proof_age.unwrap_or(-1));
        if let Some(traffic) = self.links.group().traffic() {
            self.metrics.set_peer_traffic(&traffic);
        }
        self.intake.export(&self.metrics.intake);
        self.metrics.encode()
    }

    /// Records that a timer due at `due` has fired now.
    pub fn record_wakeup(&self, due: TimePoint) {
        let now = self.clock.now();
        let mut lag = self
            .timer_lag
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        lag.record_wakeup(due, now);
    }

    /// Gets the estimate of how late timers fire.
    #[must_use]
    pub fn timer_lag(&self) -> TimeSpan {
        self.timer_lag
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get()
    }
}

/// Sleeps until a time of the process clock.
pub async fn sleep_until(clock: ProcessClock, point: TimePoint) {
    let delay: Duration = point.since(clock.now()).as_duration();
    tokio::time::sleep(delay).await;
}
