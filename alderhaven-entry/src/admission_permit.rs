//! The permit of an admitted query. Dropping it frees its slot at the gate.

use std::sync::Arc;

use alderhaven_core::class::QueryClass;
use alderhaven_core::outcome::{AttemptOutcome, NotRunReason};
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::admit_decision::AdmitTicket;
use alderhaven_policy::service_capacity::QueryReport;

use crate::admission_controller::AdmissionController;
use crate::query_plan::QueryPlan;
use crate::relay_link::LinkReply;

/// Slot of one admitted query, held while the query runs.
///
/// Released on drop, because a query is dropped at any await point when its caller disconnects. A
/// leaked permit would lower the capacity of the entry permanently.
#[derive(Debug)]
pub struct AdmissionPermit {
    controller: Arc<AdmissionController>,
    ticket: AdmitTicket,
    total_queue_wait: TimeSpan,
    total_service_time: TimeSpan,
    attempts: u32,
    ran_attempts: u32,
    not_run_attempts: u32,
}

impl AdmissionPermit {
    /// Creates the permit of an admitted query from its ticket.
    #[must_use]
    pub const fn new(controller: Arc<AdmissionController>, ticket: AdmitTicket) -> Self {
        Self {
            controller,
            ticket,
            total_queue_wait: TimeSpan::ZERO,
            total_service_time: TimeSpan::ZERO,
            attempts: 0,
            ran_attempts: 0,
            not_run_attempts: 0,
        }
    }

    /// Returns the class by which relays order the query. A query that has aged in the queue has a
    /// higher one than its template.
    #[must_use]
    pub const fn class(&self) -> QueryClass {
        self.ticket.class
    }

    /// Returns the sort key of the query in the queues of all relays, in microseconds since the
    /// Unix epoch.
    #[must_use]
    pub fn order(&self, plan: &QueryPlan) -> u64 {
        let arrived_at = self.controller.clock().time_point(plan.arrived_at);
        plan.order + self.ticket.order_at.since(arrived_at).as_micros()
    }

    /// Returns true if other queries are queued for admission to the same service.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        self.controller.is_overloaded(&self.ticket.request.service)
    }

    /// Records the end of one attempt, for the report that is given on drop.
    pub fn record_reply(&mut self, reply: &LinkReply) {
        self.attempts += 1;
        self.total_queue_wait = self.total_queue_wait + reply.queue_wait;
        match reply.result.outcome {
            AttemptOutcome::NotRun(
                NotRunReason::Shed | NotRunReason::Expired | NotRunReason::QueueFull,
            ) => self.not_run_attempts += 1,
            AttemptOutcome::NotRun(_) | AttemptOutcome::VersionGone => {}
            AttemptOutcome::Answered | AttemptOutcome::Failed | AttemptOutcome::Unknown => {
                self.ran_attempts += 1;
                self.total_service_time = self.total_service_time + reply.service_time;
            }
        }
        let ticket = &mut self.ticket;
        self.controller
            .update_gate(|gate, _| gate.record_reply(ticket));
    }

    fn report(&self) -> QueryReport {
        QueryReport {
            queue_wait: mean(self.total_queue_wait, self.attempts),
            service_time: mean(self.total_service_time, self.ran_attempts),
            attempts: self.attempts,
            not_run: self.not_run_attempts,
        }
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let report = self.report();
        let ticket = &self.ticket;
        self.controller
            .update_gate(|gate, now| gate.record_finished(ticket, report, now));
    }
}

fn mean(sum: TimeSpan, count: u32) -> TimeSpan {
    TimeSpan::from_micros(sum.as_micros() / u64::from(count.max(1)))
}
