//! What an entry holds of callers' requests and answers, and their connections.

use std::sync::Arc;

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::quantities::ByteSize;
use alderhaven_intake::byte_ledger::ByteLedger;
use alderhaven_intake::connection_limit::ConnectionLimit;
use alderhaven_intake::intake_metrics::IntakeMetrics;
use alderhaven_peer::connection;

use crate::settings::EntryLimits;

/// The part of the memory for bodies that heads may use besides.
const HEAD_DIVISOR: usize = 2;

/// The ledgers and the connection limit of an entry.
#[derive(Debug)]
pub struct CallerIntake {
    /// The heads of requests, in part.
    pub heads: Arc<ByteLedger>,
    /// The bodies of requests, in whole or in part.
    pub bodies: Arc<ByteLedger>,
    /// The answers that callers have yet to take.
    pub answers: Arc<ByteLedger>,
    /// The connections of callers.
    pub connections: Arc<ConnectionLimit>,
}

impl CallerIntake {
    /// Creates empty ledgers and a limit.
    #[must_use]
    pub fn new(limits: &EntryLimits, clock: ProcessClock) -> Self {
        let ledger = |bytes| Arc::new(ByteLedger::new(ByteSize::from_bytes(bytes), clock));
        let bodies = limits.held_bodies.as_bytes();
        Self {
            heads: ledger(bodies / HEAD_DIVISOR),
            bodies: ledger(bodies),
            answers: ledger(limits.held_answers.as_bytes()),
            connections: ConnectionLimit::new(limits.caller_connections, clock),
        }
    }

    /// Updates the metrics.
    pub fn export(&self, metrics: &IntakeMetrics) {
        let ledgers = [
            ("heads", &self.heads),
            ("bodies", &self.bodies),
            ("answers", &self.answers),
            ("frames", connection::frame_ledger()),
        ];
        for (of, ledger) in ledgers {
            metrics.set_ledger(of, ledger.figures());
        }
        metrics.set_limit("callers", self.connections.figures());
    }
}
