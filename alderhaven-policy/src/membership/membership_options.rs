//! The settings of membership and the grounds for their figures.

use std::net::SocketAddr;

use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// A `MembershipOptions` holds the periods and bounds of membership.
///
/// The bound to keep is 5 s from a death to the last member that knows, at 580 members. A dead
/// member is probed first by anyone after 1.8 s in 99 of 100 cases (period 400 ms, each member
/// probes at random), its probe fails 0.4 s later, the suspicion lasts 1.7 s at that size, and news
/// takes about 0.8 s to reach all.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipOptions {
    /// The addresses to join through, the process's own one may be among them.
    pub seeds: Vec<SocketAddr>,
    /// The time between two probes.
    pub probe_period: TimeSpan,
    /// The time until others are asked to probe; above a round trip between two regions.
    pub direct_timeout: TimeSpan,
    /// How many members are asked to probe: with 3, a lossy path of one of them is not enough to
    /// suspect anyone.
    pub indirect_probes: usize,
    /// The shortest time in which a suspected member can refute it.
    pub min_suspicion: TimeSpan,
    /// The time that the suspicion lasts for each factor of ten in the number of members.
    pub suspicion_per_decade: TimeSpan,
    /// The time between two rounds of gossip while there is news.
    pub gossip_period: TimeSpan,
    /// The shortest time between two sendings of urgent news, which do not wait for the round.
    pub urgent_period: TimeSpan,
    /// How many members a round goes to.
    pub gossip_fanout: usize,
    /// The largest message in bytes; it fits one packet on the usual links.
    pub max_message_bytes: usize,
    /// The time between two attempts to join, and between two requests of a state sync.
    pub join_period: TimeSpan,
    /// The shortest time between two state syncs.
    pub sync_period: TimeSpan,
    /// The time between two attempts to reach a dead member or an unknown seed.
    pub reconnect_period: TimeSpan,
    /// The time after which the record of a dead member is dropped; above the minutes for which
    /// regions lose each other.
    pub forget_after: TimeSpan,
    /// The shortest time between two reports of the configuration in force.
    pub report_period: TimeSpan,
    /// Whether members report which configuration they have in force. Each change makes all of them
    /// report to all others, which a group that nobody asks for it need not pay.
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
    /// Gets how long a suspicion lasts among `members` members.
    #[must_use]
    pub fn suspicion_timeout(&self, members: usize) -> TimeSpan {
        let decades = (members.max(1) as f64).log10();
        self.min_suspicion
            .max(self.suspicion_per_decade.mul_f64(decades))
    }

    /// Gets how often each member sends a piece of news on: twice the natural logarithm of the
    /// size (13 at 580), which misses a member with a chance of about e^-13. What is missed all the
    /// same is found by comparing hashes of the state.
    #[must_use]
    pub fn retransmissions(members: usize) -> u32 {
        scaled_logarithm(members, 2.0)
    }

    /// Gets how many members a process that leaves tells directly.
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
fn scaled_logarithm(members: usize, factor: f64) -> u32 {
    ((members as f64 + 1.0).ln() * factor).ceil().max(3.0) as u32
}
