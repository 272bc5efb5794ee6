//! What is measured.

use serde::Serialize;

/// A `GroupCosts` is one line of figures.
#[derive(Debug, Serialize)]
pub struct GroupCosts {
    /// The number of members.
    pub members: usize,
    /// With nothing going on.
    #[serde(rename = "rest")]
    pub idle: PhaseCosts,
    /// The resident memory a member, in KB.
    pub memory_kb: f64,
    /// What events cost, where they were measured.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub events: Option<GroupEvents>,
}

/// A `GroupEvents` is what single events cost, and a day of them.
#[derive(Debug, Serialize)]
pub struct GroupEvents {
    /// One change of configuration, published where a few members watch.
    pub change: EventCosts,
    /// The time until every member knows that the change is in force on all.
    pub change_reported_s: f64,
    /// One member dies without a word.
    pub death: EventCosts,
    /// One member announces that it leaves.
    pub leaving: EventCosts,
    /// The member that left starts again with nothing kept.
    pub restart: EventCosts,
    /// The two halves lose each other for a minute and find each other again.
    pub heal: EventCosts,
    /// The bytes a second a member over a day of 3,100 changes, 890 restarts and 6 deaths.
    pub day_bytes_per_s: f64,
    /// The share of a core a member over such a day.
    pub day_core_share: f64,
}

/// A `PhaseCosts` is what a member costs while nothing happens.
#[derive(Debug, Default, Serialize)]
pub struct PhaseCosts {
    /// The datagrams sent and received a second a member.
    pub datagrams_per_s: f64,
    /// Their bytes, IP and UDP headers and the exchange's frames included.
    pub bytes_per_s: f64,
    /// The share of a core.
    pub core_share: f64,
}

/// An `EventCosts` is what one event costs a member beyond rest.
#[derive(Debug, Default, Serialize)]
pub struct EventCosts {
    /// The time until the last member knows.
    pub known_to_all_s: f64,
    /// The bytes sent and received a member beyond rest.
    pub bytes: f64,
    /// The processor time a member beyond rest, in microseconds.
    pub core_us: f64,
}
