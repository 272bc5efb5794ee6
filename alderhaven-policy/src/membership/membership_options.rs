//! Settings of the membership protocol.

use std::net::SocketAddr;

use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// Periods, timeouts and size limits of the membership protocol.
///
/// The time from a failure until all members know of it is the sum of the wait for the first
/// probe, one probe period, the suspicion timeout and the propagation of the update. The defaults
/// keep it below 5 s at 580 members: 1.8 s (in 99 of 100 cases), 0.4 s, 1.7 s and about 0.8 s.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipOptions {
    /// Gossip addresses to join through. The process's own address is ignored.
    pub seeds: Vec<SocketAddr>,
    /// Time between two probes.
    pub probe_period: TimeSpan,
    /// Time without an acknowledgement after which other members are asked to probe; must exceed
    /// the round-trip time between regions.
    pub direct_timeout: TimeSpan,
    /// Number of members that are asked to probe indirectly. Several are needed so that packet
    /// loss on one path does not cause a suspicion.
    pub indirect_probes: usize,
    /// Lower bound of the suspicion timeout.
    pub min_suspicion: TimeSpan,
    /// Suspicion timeout per factor of ten in the number of members.
    pub suspicion_per_decade: TimeSpan,
    /// Time between two gossip rounds while updates or reports are pending.
    pub gossip_period: TimeSpan,
    /// Shortest time between two rounds that are sent early because of an urgent update.
    pub urgent_period: TimeSpan,
    /// Number of members that a gossip round is sent to.
    pub gossip_fanout: usize,
    /// Largest encoded message in bytes; must fit into one packet.
    pub max_message_bytes: usize,
    /// Time between two attempts to join, and between two requests for the same chunk of a state
    /// sync.
    pub join_period: TimeSpan,
    /// Shortest time between two state syncs.
    pub sync_period: TimeSpan,
    /// Time between two attempts to reach a dead member or an unknown seed.
    pub reconnect_period: TimeSpan,
    /// Time after which the record of a dead member is dropped; must exceed the duration of
    /// network splits.
    pub forget_after: TimeSpan,
    /// Shortest time between two reports of this process's configuration in force.
    pub report_period: TimeSpan,
    /// Whether members report the configuration that they have in force. Each change makes every
    /// member report to all others, so groups that do not use the reports should disable them.
    pub is_reporting: bool,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            probe_period: TimeSpan::from_millis(400),
            direct_timeout: TimeSpan::from_millis(150),
            indirect_probes: 3,
            min_suspicion: TimeSpan::from_millis(1_200),
            suspicion_per_decade: TimeSpan::from_millis(600),
            gossip_period: TimeSpan::from_millis(200),
            urgent_period: TimeSpan::from_millis(20),
            gossip_fanout: 3,
            max_message_bytes: 1_200,
            join_period: TimeSpan::from_millis(500),
            sync_period: TimeSpan::from_secs(5),
            reconnect_period: TimeSpan::from_secs(2),
            forget_after: TimeSpan::from_secs(3_600),
            report_period: TimeSpan::from_millis(200),
            is_reporting: true,
        }
    }
}

impl MembershipOptions {
    /// Returns the suspicion timeout in a group of `members` members.
    #[must_use]
    pub fn suspicion_timeout(&self, members: usize) -> TimeSpan {
        let decades = (members.max(1) as f64).log10();
        self.min_suspicion
            .max(self.suspicion_per_decade.mul_f64(decades))
    }

    /// Returns the number of messages in which each member sends an update; it grows with the logarithm of
    /// the group size. At twice the natural logarithm (13 at 580 members), an update misses a
    /// member with a probability of about e^-13. Such a member gets it by state sync.
    #[must_use]
    pub fn retransmissions(members: usize) -> u32 {
        scaled_logarithm(members, 2.0)
    }

    /// Returns the number of members that a leaving process notifies directly.
    #[must_use]
    pub fn leaving_fanout(members: usize) -> usize {
        scaled_logarithm(members, 2.0) as usize
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the logarithm of a count is a small positive number"
)]
/// Returns `factor` times the natural logarithm of the group size, at least 3.
fn scaled_logarithm(members: usize, factor: f64) -> u32 {
    ((members as f64 + 1.0).ln() * factor).ceil().max(3.0) as u32
}
