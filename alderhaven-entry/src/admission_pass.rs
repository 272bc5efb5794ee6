//! The pass of an admitted query; giving it back, in whatever way, frees its place.

use std::sync::Arc;

use alderhaven_core::class::QueryClass;
use alderhaven_core::outcome::{AttemptOutcome, NotRunReason};
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::admit_decision::AdmitTicket;
use alderhaven_policy::service_capacity::QueryReport;

use crate::admission_desk::AdmissionDesk;
use crate::query_plan::QueryPlan;
use crate::relay_link::LinkReply;

/// An `AdmissionPass` stands for one admitted query.
///
/// It is given back when it is dropped: a caller that goes away drops its query at any point, and
/// a place that was never given back would shrink the entry for good.
#[derive(Debug)]
pub struct AdmissionPass {
    desk: Arc<AdmissionDesk>,
    ticket: AdmitTicket,
    queued: TimeSpan,
    service: TimeSpan,
    attempts: u32,
    ran: u32,
    not_run: u32,
}

impl AdmissionPass {
    /// Returns the pass of a ticket.
    #[must_use]
    pub const fn new(desk: Arc<AdmissionDesk>, ticket: AdmitTicket) -> Self {
        Self {
            desk,
            ticket,
            queued: TimeSpan::ZERO,
            service: TimeSpan::ZERO,
            attempts: 0,
            ran: 0,
            not_run: 0,
        }
    }

    /// Gets the class by which relays order the query.
    #[must_use]
    pub const fn class(&self) -> QueryClass {
        self.ticket.class
    }

    /// Gets the order of the query at all relays, in microseconds since the Unix epoch.
    #[must_use]
    pub fn order(&self, plan: &QueryPlan) -> u64 {
        let arrived = self.desk.clock().time_point(plan.arrived);
        plan.order + self.ticket.order_at.since(arrived).as_micros()
    }

    /// Returns true where queries wait for admission to the same service.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        self.desk.is_overloaded(&self.ticket.request.service)
    }

    /// Notes the end of one attempt.
    pub fn note_reply(&mut self, reply: &LinkReply) {
        self.attempts += 1;
        self.queued = self.queued + reply.queued;
        match reply.result.outcome {
            AttemptOutcome::NotRun(
                NotRunReason::Shed | NotRunReason::Expired | NotRunReason::QueueFull,
            ) => self.not_run += 1,
            AttemptOutcome::NotRun(_) | AttemptOutcome::VersionGone => {}
            AttemptOutcome::Answered | AttemptOutcome::Failed | AttemptOutcome::Unknown => {
                self.ran += 1;
                self.service = self.service + reply.service;
            }
        }
        let ticket = &mut self.ticket;
        self.desk.change(|gate, _| gate.record_reply(ticket));
    }

    fn report(&self) -> QueryReport {
        QueryReport {
            queue_wait: mean(self.queued, self.attempts),
            service_time: mean(self.service, self.ran),
            attempts: self.attempts,
            not_run: self.not_run,
        }
    }
}

impl Drop for AdmissionPass {
    fn drop(&mut self) {
        let report = self.report();
        let ticket = &self.ticket;
        self.desk
            .change(|gate, now| gate.record_finished(ticket, report, now));
    }
}

fn mean(sum: TimeSpan, count: u32) -> TimeSpan {
    TimeSpan::from_micros(sum.as_micros() / u64::from(count.max(1)))
}
