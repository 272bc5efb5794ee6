//! Reports of the configuration that each member has in force.
//!
//! Every change of the configuration makes all members report. To limit the size, a report is a
//! 4-byte process fingerprint in a group of processes with the same configuration.

use std::collections::BTreeMap;

use alderhaven_core::ids::{IncarnationNumber, NodeId};

use crate::membership::gossip_message::ReportGroup;
use crate::membership::member_record::ConfigDigest;

/// Maximum number of stored reports; bounds memory against forged members.
const MAX_REPORTS: usize = 1 << 14;

/// Stores the newest report of each process and queues new ones for sending.
#[derive(Clone, Debug, Default)]
pub struct ConfigReportTracker {
    reports: BTreeMap<u32, ConfigDigest>,
    /// Reports to send, with the number of messages that have carried them.
    pending: BTreeMap<u32, u32>,
}

/// Returns the number that identifies a process in reports. A restarted process gets another one,
/// so that reports from before the restart do not apply to it.
///
/// Fingerprints may collide, among 580 processes with a probability of 4 in 100,000; one of the two
/// processes then appears to lag until either restarts.
#[must_use]
pub fn process_fingerprint(node: &NodeId, incarnation: IncarnationNumber) -> u32 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&incarnation.0.to_be_bytes());
    hasher.update(node.as_str().as_bytes());
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
    u32::from_be_bytes(bytes)
}

impl ConfigReportTracker {
    /// Records a report; returns true if it is newer than the stored one.
    pub fn record_report(&mut self, fingerprint: u32, config: ConfigDigest) -> bool {
        let known = self.reports.get(&fingerprint).map(|known| known.progress);
        let is_full = known.is_none() && self.reports.len() >= MAX_REPORTS;
        if is_full || known >= Some(config.progress) {
            return false;
        }
        self.reports.insert(fingerprint, config);
        self.pending.insert(fingerprint, 0);
        true
    }

    /// Returns the newest report of a process.
    #[must_use]
    pub fn get(&self, fingerprint: u32) -> Option<ConfigDigest> {
        self.reports.get(&fingerprint).copied()
    }

    /// Drops the reports of processes that are not known.
    pub fn retain(&mut self, is_known: impl Fn(u32) -> bool) {
        self.reports.retain(|fingerprint, _| is_known(*fingerprint));
        self.pending.retain(|fingerprint, _| is_known(*fingerprint));
    }

    /// Returns true if no report is waiting to be sent.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Takes reports for one message, at most `bytes` bytes, least sent first. Reports that have
    /// been sent `retransmissions` times are dropped from the queue.
    pub fn take_groups(&mut self, bytes: usize, retransmissions: u32) -> Vec<ReportGroup> {
        if self.pending.is_empty() {
            return Vec::new();
        }
        let mut send_order: Vec<(u32, u32)> = self
            .pending
            .iter()
            .map(|(fingerprint, send_count)| (*send_count, *fingerprint))
            .collect();
        send_order.sort_unstable();
        let mut groups = ReportGroupBuilder::new(bytes);
        for (send_count, fingerprint) in send_order {
            let Some(config) = self.get(fingerprint) else {
                continue;
            };
            if !groups.add(fingerprint, config) {
                break;
            }
            self.pending.insert(fingerprint, send_count + 1);
        }
        self.pending
            .retain(|_, send_count| *send_count < retransmissions);
        groups.groups
    }

    /// Returns the reports of the given processes, at most `bytes` bytes in total.
    #[must_use]
    pub fn groups_of(&self, fingerprints: &[u32], bytes: usize) -> Vec<ReportGroup> {
        let mut groups = ReportGroupBuilder::new(bytes);
        for fingerprint in fingerprints {
            if let Some(config) = self.get(*fingerprint)
                && !groups.add(*fingerprint, config)
            {
                break;
            }
        }
        groups.groups
    }
}

/// Collects reports into groups up to a size limit.
struct ReportGroupBuilder {
    groups: Vec<ReportGroup>,
    bytes_left: usize,
}

impl ReportGroupBuilder {
    const fn new(bytes: usize) -> Self {
        Self {
            groups: Vec::new(),
            bytes_left: bytes,
        }
    }

    /// Adds a report; returns false if it does not fit.
    fn add(&mut self, fingerprint: u32, config: ConfigDigest) -> bool {
        let group = self.groups.iter().position(|group| group.config == config);
        let size = match group {
            Some(_) => ReportGroup::size_bound(1) - ReportGroup::size_bound(0),
            None => ReportGroup::size_bound(1),
        };
        if size > self.bytes_left {
            return false;
        }
        self.bytes_left -= size;
        match group {
            Some(index) => self.groups[index].members.push(fingerprint),
            None => self.groups.push(ReportGroup {
                config,
                members: vec![fingerprint],
            }),
        }
        true
    }
}
