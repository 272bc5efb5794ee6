//! Data about one member: its record, version, state and configuration in force.

use std::net::SocketAddr;

use alderhaven_core::ids::{FailureDomain, HostId, IncarnationNumber, NodeId};
use alderhaven_core::store_version::StoreVersion;
use serde::{Deserialize, Serialize};

use crate::group_front::GroupFront;
use crate::membership::digest_progress::DigestProgress;

/// Function of a process in the system.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// Accepts requests from callers.
    Entry,
    /// Holds connections to targets.
    Relay,
}

/// Properties of a member that stay the same while its process runs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct MemberRecord {
    /// Identifies the member across restarts.
    pub node: NodeId,
    /// Whether the member serves callers or targets.
    pub role: MemberRole,
    /// Host that the process runs on.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: FailureDomain,
    /// Address for gossip (UDP) and exchange (TCP).
    pub gossip_address: SocketAddr,
    /// Address for attempts (TCP); `None` for an entry.
    pub peer_address: Option<SocketAddr>,
    /// Address for callers; `None` for a relay.
    pub caller_address: Option<SocketAddr>,
    /// Processor time that the process may use; 0 if unknown.
    #[builder(default)]
    #[serde(default)]
    pub capacity: CpuCapacity,
}

impl MemberRecord {
    /// Returns the member's place among the fronts of the group.
    #[must_use]
    pub fn group_front(&self) -> GroupFront {
        GroupFront {
            node: self.node.clone(),
            host: self.host.clone(),
            domain: self.domain.clone(),
        }
    }
}

/// Orders the updates of one member: the higher version is the newer one.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
pub struct MemberVersion {
    /// Changes with each start of the process; a later start has a higher number.
    #[serde(rename = "start")]
    pub incarnation: IncarnationNumber,
    /// Number of times that the process has refuted a suspicion or its own death since it started.
    pub refutation: u32,
}

/// State of a member as its observers see it.
///
/// The variants are in the order of precedence among updates of the same version: a later variant
/// overrides an earlier one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed a probe and has not refuted the suspicion yet.
    Suspect,
    /// Announced that it stops; it gets no new work.
    Leaving,
    /// Has stopped or is considered failed.
    Dead,
}

impl MemberState {
    /// Returns true if new work may be sent to the member.
    #[must_use]
    pub const fn takes_work(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// Summary of the configuration that a node has in force.
///
/// Nodes with equal digests hold the same versions of the same objects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Hash, Serialize, Deserialize)]
pub struct ConfigDigest {
    /// Highest store version among the objects.
    pub highest: StoreVersion,
    /// How new the objects are; of two digests of one process the greater one is newer.
    pub progress: DigestProgress,
    /// Exclusive or of the hashes of all object keys and versions.
    pub hash: u64,
}

/// Utilization of a member, in thousandths of its capacity.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LoadLevel(pub u32);

/// Processor time in thousandths of a core.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CpuCapacity(pub u32);
