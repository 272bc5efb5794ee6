//! Counters by team, for a limited number of teams.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};

use alderhaven_core::ids::TeamId;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::front_answer::RefusalReason;

/// Teams that have their own label; a deployment may have thousands.
const MAX_LABELED_TEAMS: usize = 64;

/// Label of all further teams.
const OTHER_TEAMS: &str = "other";

/// Requests and refusals by team; clones share their values.
#[derive(Clone, Debug, Default)]
pub struct TeamMetrics {
    labeled: Arc<Mutex<HashSet<String>>>,
    requests: Family<TeamLabels, Counter>,
    refusals: Family<TeamRefusalLabels, Counter>,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TeamLabels {
    team: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TeamRefusalLabels {
    team: String,
    reason: RefusalReason,
}

impl TeamMetrics {
    /// Counts a request with a key of the team.
    pub fn observe_request(&self, team: &TeamId) {
        let team = self.label(team);
        self.requests.get_or_create(&TeamLabels { team }).inc();
    }

    /// Counts a request of the team that was refused before any target was tried.
    pub fn observe_refusal(&self, team: &TeamId, reason: RefusalReason) {
        let team = self.label(team);
        let labels = TeamRefusalLabels { team, reason };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Adds the counters to a registry.
    pub(crate) fn register(self, registry: &mut Registry) {
        registry.register(
            "team_requests",
            "Requests with a key, by team",
            self.requests,
        );
        registry.register(
            "team_refusals",
            "Requests of a team refused before any target was asked",
            self.refusals,
        );
    }

    /// Returns the label of a team. The first teams that send requests get their names.
    fn label(&self, team: &TeamId) -> String {
        let mut labeled = self.labeled.lock().unwrap_or_else(PoisonError::into_inner);
        let name = team.as_str();
        if labeled.contains(name) {
            return name.to_owned();
        }
        if labeled.len() >= MAX_LABELED_TEAMS {
            return OTHER_TEAMS.to_owned();
        }
        labeled.insert(name.to_owned());
        name.to_owned()
    }
}
