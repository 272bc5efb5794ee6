//! What a front says of itself to its operators.

use alderhaven_policy::drain::DrainState;
use serde::Serialize;

use crate::evacuated_domain::EvacuatedDomain;
use crate::front_context::FrontContext;

/// A `FrontStatus` is the state of a front at one moment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FrontStatus {
    /// How far a planned stop is.
    pub state: DrainState,
    /// The requests that are unfinished.
    pub in_flight: usize,
    /// The version of the configuration in force.
    pub config_version: Option<u64>,
    /// The nodes of the group that are alive, this one included.
    pub nodes: usize,
    /// The targets that are known.
    pub targets: usize,
    /// The failure domains that are evacuated.
    pub evacuated: Vec<EvacuatedDomain>,
}

impl FrontStatus {
    /// Gets the state of a front.
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
        }
    }
}
