//! One member as the membership stores it and as other parts of the process see it.

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

/// Everything that this process knows about one other member.
pub(crate) struct MemberEntry {
    pub(crate) record: Arc<MemberRecord>,
    pub(crate) machine: MemberMachine,
    /// Identifies the process in configuration reports.
    pub(crate) fingerprint: u32,
    /// Incarnation of the process that `record` describes.
    pub(crate) record_incarnation: IncarnationNumber,
    pub(crate) load: LoadLevel,
    /// Time of the last message that came directly from the member.
    pub(crate) last_contact_at: Option<TimePoint>,
    /// Configuration in force, from the member's own messages.
    pub(crate) config: Option<ConfigDigest>,
    /// Time at which this process learned of the member's current incarnation.
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

    /// Replaces the record after the member's process has restarted.
    pub(crate) fn replace_record(&mut self, record: MemberRecord, now: TimePoint) {
        self.record_incarnation = self.machine.version().incarnation;
        self.fingerprint =
            config_report_tracker::process_fingerprint(&record.node, self.record_incarnation);
        self.record = Arc::new(record);
        self.last_contact_at = None;
        self.config = None;
        self.discovered_at = now;
    }

    /// Returns the bucket of the view hash that the member belongs to.
    pub(crate) fn bucket(&self) -> usize {
        bucket_of(self.name_hash)
    }

    /// Returns the member's bucket and its hash within that bucket.
    ///
    /// Dead members contribute 0, because observers forget them at different times.
    pub(crate) fn hash_contribution(&self) -> (usize, u64) {
        let state = self.machine.state();
        if state == MemberState::Dead {
            return (self.bucket(), 0);
        }
        let is_leaving = state == MemberState::Leaving;
        hash_contribution(self.name_hash, self.machine.version(), is_leaving)
    }

    /// Returns the member's current state as an update. The record is included if `with_record` is
    /// set, for receivers that may not know the member.
    pub(crate) fn update(&self, with_record: bool) -> MemberUpdate {
        MemberUpdate {
            node: self.record.node.clone(),
            state: self.machine.state(),
            version: self.machine.version(),
            record: with_record.then(|| MemberRecord::clone(&self.record)),
        }
    }
}

/// Returns a member's bucket and its hash within that bucket.
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

/// Snapshot of a member for other parts of the process and for operators.
#[derive(Clone, Debug, Serialize)]
pub struct MemberView {
    /// Shared with the membership; serialized in place.
    #[serde(serialize_with = "serialize_record")]
    pub record: Arc<MemberRecord>,
    /// State as this process sees it.
    pub state: MemberState,
    /// Version that the state belongs to.
    pub version: MemberVersion,
    /// Utilization that the member reported last.
    pub load: LoadLevel,
    /// Time of the last message that came directly from the member; `None` if there was none.
    #[serde(rename = "heard_at")]
    pub last_contact_at: Option<TimePoint>,
    /// Configuration in force; `None` if the member has not reported it.
    pub config: Option<ConfigDigest>,
    /// Time at which this process learned of the member's current incarnation; for this process
    /// itself, its own start.
    #[serde(rename = "met_at")]
    pub discovered_at: TimePoint,
}

fn serialize_record<S: Serializer>(
    record: &Arc<MemberRecord>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    record.as_ref().serialize(serializer)
}
