//! Figures that the measurements report.

use serde::Serialize;

/// Costs of one group size; one line of output.
#[derive(Debug, Serialize)]
pub struct GroupCosts {
    /// Number of members in the group.
    pub members: usize,
    /// Costs without any event.
    #[serde(rename = "rest")]
    pub idle: PhaseCosts,
    /// Resident memory per member, in KB.
    pub memory_kb: f64,
    /// Costs of events, if they were measured.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub events: Option<GroupEvents>,
}

/// Costs of single events and of a day of them.
#[derive(Debug, Serialize)]
pub struct GroupEvents {
    /// One configuration change, published at the members that watch the store.
    pub change: EventCosts,
    /// Time until every member knows that all members have applied the change, in seconds.
    pub change_reported_s: f64,
    /// Crash of one member without an announcement.
    pub death: EventCosts,
    /// Announced leave of one member.
    pub leaving: EventCosts,
    /// Restart of the member that left, without any state.
    pub restart: EventCosts,
    /// Healing of a one-minute network partition into halves.
    pub heal: EventCosts,
    /// Bytes per second and member over a day with the assumed number of events.
    pub day_bytes_per_s: f64,
    /// Share of a core per member over such a day.
    pub day_core_share: f64,
}

/// Costs per member while nothing happens.
#[derive(Debug, Default, Serialize)]
pub struct PhaseCosts {
    /// Datagrams sent and received per second and member.
    pub datagrams_per_s: f64,
    /// Bytes per second and member, including IP and UDP headers and exchange frames.
    pub bytes_per_s: f64,
    /// Share of a core per member.
    pub core_share: f64,
}

/// Costs per member of one event, beyond the idle costs.
#[derive(Debug, Default, Serialize)]
pub struct EventCosts {
    /// Time until the last member knows of the event, in seconds.
    pub known_to_all_s: f64,
    /// Bytes sent and received per member beyond the idle costs.
    pub bytes: f64,
    /// CPU time per member beyond the idle costs, in microseconds.
    pub core_us: f64,
}
