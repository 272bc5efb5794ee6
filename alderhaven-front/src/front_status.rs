//! The status that a front reports to operators.

use alderhaven_policy::drain::DrainState;
use serde::Serialize;

use crate::credit_status::CreditStatus;
use crate::evacuated_domain::EvacuatedDomain;
use crate::front_context::FrontContext;
use crate::lease_report::LeaseReport;
use crate::query_admission::AdmissionStatus;

/// A snapshot of a front's state, served as JSON.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FrontStatus {
    /// The drain state.
    pub state: DrainState,
    /// The number of requests in flight.
    pub in_flight: usize,
    /// The configuration version in force, if any.
    pub config_version: Option<u64>,
    /// The number of live nodes, this one included.
    pub nodes: usize,
    /// The number of known targets.
    pub targets: usize,
    /// The evacuated failure domains.
    pub evacuated: Vec<EvacuatedDomain>,
    /// The lease on the configuration; absent if the configuration has no teams.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lease: Option<LeaseReport>,
    /// The shares of team limits, if any team has one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub credit: Option<CreditStatus>,
    /// The limits and queues of admission.
    pub admission: AdmissionStatus,
}

impl FrontStatus {
    /// Takes a snapshot of the front.
    #[must_use]
    pub fn of(context: &FrontContext) -> Self {
        let view = context.catalog.view();
        let members = context.links.group().members();
        let live = members.iter().filter(|member| member.state.takes_work());
        Self {
            state: context.stop.state(),
            in_flight: context.stop.in_flight(),
            config_version: view.routing.as_ref().map(|routing| routing.version),
            nodes: live.count(),
            targets: view.targets.len(),
            evacuated: context.catalog.evacuated_domains(),
            lease: context.lease.report(),
            credit: context.credit.status(),
            admission: context.admission.status(),
        }
    }
}
