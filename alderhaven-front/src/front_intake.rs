//! What a front takes in from callers and targets, within the limits of its host.

use std::sync::Arc;

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_intake::byte_ledger::ByteLedger;
use alderhaven_intake::connection_limit::ConnectionLimit;
use alderhaven_intake::intake_metrics::IntakeMetrics;
use alderhaven_peer::connection;
use alderhaven_policy::host_budget::HostBudget;

/// The ledgers and connection limits of a process.
#[derive(Debug)]
pub struct FrontIntake {
    /// The bodies of requests.
    pub requests: Arc<ByteLedger>,
    /// The bodies of replies, until callers have taken them.
    pub replies: Arc<ByteLedger>,
    /// The connections of callers.
    pub callers: Arc<ConnectionLimit>,
    /// The connections for directory queries.
    pub directory: Arc<ConnectionLimit>,
    /// The connections of readiness probes.
    pub ready: Arc<ConnectionLimit>,
    /// The connections for metrics and status.
    pub metrics: Arc<ConnectionLimit>,
    /// The connections of other fronts.
    pub groups: Arc<ConnectionLimit>,
}

impl FrontIntake {
    /// Creates empty ledgers and limits.
    #[must_use]
    pub fn new(budget: HostBudget, clock: ProcessClock) -> Self {
        let service_limit = || ConnectionLimit::new(budget.service_connections, clock);
        Self {
            requests: Arc::new(ByteLedger::new(budget.requests, clock)),
            replies: Arc::new(ByteLedger::new(budget.replies, clock)),
            callers: ConnectionLimit::new(budget.caller_connections, clock),
            directory: ConnectionLimit::new(budget.directory_connections, clock),
            ready: service_limit(),
            metrics: service_limit(),
            groups: ConnectionLimit::new(budget.peer_connections, clock),
        }
    }

    /// Updates the metrics.
    pub fn export(&self, metrics: &IntakeMetrics) {
        let ledgers = [
            ("requests", &self.requests),
            ("replies", &self.replies),
            ("frames", connection::frame_ledger()),
        ];
        for (of, ledger) in ledgers {
            metrics.set_ledger(of, ledger.figures());
        }
        let limits = [
            ("callers", &self.callers),
            ("directory", &self.directory),
            ("ready", &self.ready),
            ("metrics", &self.metrics),
            ("groups", &self.groups),
        ];
        for (address, limit) in limits {
            metrics.set_limit(address, limit.figures());
        }
    }
}
