//! A member as it is kept, and as it is shown.

use std::sync::Arc;

use alderhaven_core::ids::IncarnationNumber;
use alderhaven_core::time::TimePoint;
use serde::{Serialize, Serializer};

use crate::hashing;
use crate::membership::config_report_tracker;
use crate::membership::gossip_message::{MemberUpdate, VIEW_BUCKETS};
use crate::membership::member_machine::MemberMachine;
use crate::membership::member_record::{
    ConfigDigest, LoadLevel, MemberRecord, MemberState, MemberVersion,
};

/// A `MemberEntry` is one other member with its lifecycle.
pub(crate) struct MemberEntry {
    pub(crate) record: Arc<MemberRecord>,
    pub(crate) machine: MemberMachine,
    pub(crate) fingerprint: u32,
    /// The start of the process that the record is of.
    pub(crate) record_incarnation: IncarnationNumber,
    pub(crate) load: LoadLevel,
    /// When the member last spoke to this process itself.
    pub(crate) last_contact_at: Option<TimePoint>,
    /// What the member has in force, as it said itself.
    pub(crate) config: Option<ConfigDigest>,
    /// When this process first heard of the member's process.
    pub(crate) discovered_at: TimePoint,
    name_hash: u64,
}

impl MemberEntry {
    pub(crate) fn new(record: MemberRecord, machine: MemberMachine, now: TimePoint) -> Self {
        let record_incarnation = machine.version().incarnation;
        Self {
            fingerprint: config_report_tracker::process_fingerprint(
                &record.node,
                record_incarnation,
            ),
            record_incarnation,
            name_hash: hashing::hash_name(record.node.as_str()),
            record: Arc::new(record),
            machine,
            load: LoadLevel::default(),
            last_contact_at: None,
            config: None,
            discovered_at: now,
        }
    }

    /// Takes over the record of a restarted process.
    pub(crate) fn replace_record(&mut self, record: MemberRecord, now: TimePoint) {
        self.record_incarnation = self.machine.version().incarnation;
        self.fingerprint =
            config_report_tracker::process_fingerprint(&record.node, self.record_incarnation);
        self.record = Arc::new(record);
        self.last_contact_at = None;
        self.config = None;
        self.discovered_at = now;
    }

    /// Gets the bucket of a view's hashes that the member belongs to.
    pub(crate) fn bucket(&self) -> usize {
        bucket_of(self.name_hash)
    }

    /// Gets the bucket and the hash that the member adds to a view's hashes; the dead add nothing,
    /// since they are forgotten at different times.
    pub(crate) fn hash_contribution(&self) -> (usize, u64) {
        let state = self.machine.state();
        if state == MemberState::Dead {
            return (self.bucket(), 0);
        }
        let is_leaving = state == MemberState::Leaving;
        hash_contribution(self.name_hash, self.machine.version(), is_leaving)
    }

    /// Gets the member's state as news; with its record where receivers may not know it.
    pub(crate) fn update(&self, with_record: bool) -> MemberUpdate {
        MemberUpdate {
            node: self.record.node.clone(),
            state: self.machine.state(),
            version: self.machine.version(),
            record: with_record.then(|| MemberRecord::clone(&self.record)),
        }
    }
}

/// Gets the bucket and the hash that a member adds to a view's hashes.
pub(crate) fn hash_contribution(
    name_hash: u64,
    version: MemberVersion,
    is_leaving: bool,
) -> (usize, u64) {
    let bucket = bucket_of(name_hash);
    let version_hash = hashing::mix_hashes(version.incarnation.0, u64::from(version.refutation));
    let hash = hashing::mix_hashes(
        hashing::mix_hashes(name_hash, version_hash),
        u64::from(is_leaving),
    );
    (bucket, hash)
}

fn bucket_of(name_hash: u64) -> usize {
    usize::try_from(name_hash % VIEW_BUCKETS as u64).unwrap_or(0)
}

/// A `MemberView` is a member as other parts of the process and operators see it.
#[derive(Clone, Debug, Serialize)]
pub struct MemberView {
    /// The member's record.
    #[serde(serialize_with = "serialize_record")]
    pub record: Arc<MemberRecord>,
    /// The member's state.
    pub state: MemberState,
    /// The version that the state is of.
    pub version: MemberVersion,
    /// The load that the member last said itself.
    pub load: LoadLevel,
    /// When the member last spoke to this process; none where it never did.
    #[serde(rename = "heard_at")]
    pub last_contact_at: Option<TimePoint>,
    /// The configuration that the member has in force; none where it has not reported.
    pub config: Option<ConfigDigest>,
    /// When the member's process was first heard of; for this process, its own start.
    #[serde(rename = "met_at")]
    pub discovered_at: TimePoint,
}

fn serialize_record<S: Serializer>(
    record: &Arc<MemberRecord>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    record.as_ref().serialize(serializer)
}
