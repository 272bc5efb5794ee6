//! Metrics of the limits of teams.

use std::collections::HashSet;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, PoisonError};

use alderhaven_core::ids::TeamId;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Teams with series of their own; the others are counted together.
const MAX_TEAMS: usize = 64;

/// Label of the teams without series of their own.
const OTHER_TEAMS: &str = "other";

/// The metrics of a process; clones share their values.
#[derive(Clone, Debug, Default)]
pub struct CreditMetrics {
    credit: Family<CreditLabels, Counter>,
    queries: Family<QueryLabels, Counter>,
    teams: Arc<Mutex<HashSet<String>>>,
    /// Sum of the shares that are delegated to this process.
    pub pool_share: Gauge<f64, AtomicU64>,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CreditLabels {
    team: String,
    event: CreditEvent,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct QueryLabels {
    event: QueryEvent,
}

/// What happened to credit for requests of a team.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
pub enum CreditEvent {
    /// A pool granted it to this front.
    Granted,
    /// A request of this front took it.
    Used,
    /// A request that did not run returned it.
    Returned,
    /// It was not used within its lifetime.
    Expired,
    /// A reply granted less than was asked for.
    Denied,
    /// A request was refused because the team is over its limit.
    OverLimit,
    /// A request was refused because no credit could be obtained.
    Unavailable,
}

/// What happened to queries for credit.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
pub enum QueryEvent {
    /// This front sent it.
    Sent,
    /// A reply arrived in time.
    Answered,
    /// This front answered it as the pool of another one.
    Served,
}

impl CreditMetrics {
    /// Counts requests of a team.
    pub fn observe_credit(&self, team: &TeamId, event: CreditEvent, count: u32) {
        if count > 0 {
            let team = self.label_of(team);
            let labels = CreditLabels { team, event };
            self.credit.get_or_create(&labels).inc_by(u64::from(count));
        }
    }

    /// Counts a query.
    pub fn observe_query(&self, event: QueryEvent) {
        self.queries.get_or_create(&QueryLabels { event }).inc();
    }

    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        let own = self.clone();
        registry.register(
            "credit",
            "Credit of teams in requests, by event",
            own.credit,
        );
        registry.register(
            "credit_queries",
            "Queries for credit of teams, by event",
            own.queries,
        );
        registry.register(
            "credit_pool_share",
            "Sum of the shares of limits that are delegated to this front",
            own.pool_share,
        );
    }

    fn label_of(&self, team: &TeamId) -> String {
        let mut teams = self.teams.lock().unwrap_or_else(PoisonError::into_inner);
        if teams.contains(team.as_str()) {
            return team.to_string();
        }
        if teams.len() < MAX_TEAMS {
            teams.insert(team.to_string());
            return team.to_string();
        }
        OTHER_TEAMS.to_owned()
    }
}
