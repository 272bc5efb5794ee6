//! Metrics of the claim ledger and of the held answers.

use alderhaven_policy::claim_batcher::ClaimCounts;
use alderhaven_policy::claim_verdict::ClaimVerdict;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct VerdictLabels {
    verdict: VerdictLabel,
}

#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
enum VerdictLabel {
    Granted,
    Taken,
    Conflict,
    TooOld,
    Refused,
}

/// Counters of claims, releases, replays and store calls.
#[derive(Clone, Debug, Default)]
pub struct ClaimMetrics {
    verdicts: Family<VerdictLabels, Counter>,
    store_reads: Counter,
    store_writes: Counter,
    store_conflicts: Counter,
    lost_replies: Counter,
    refused_calls: Counter,
    broken_buckets: Counter,
    /// Claims released because their request did not run.
    pub releases: Counter,
    /// Requests answered with the outcome of an earlier request.
    pub replays: Counter,
    /// Outcomes fetched from the entry that claimed the key.
    pub learned: Counter,
    /// Size of the held answers in bytes.
    pub held_bytes: Gauge,
}

impl ClaimMetrics {
    /// Registers all metrics.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Verdicts on tries to claim a key";
        registry.register("claims", help, self.verdicts.clone());
        let counters = [
            ("claim_reads", "Reads of claim buckets", &self.store_reads),
            (
                "claim_writes",
                "Writes of claim buckets",
                &self.store_writes,
            ),
            (
                "claim_write_conflicts",
                "Writes of claim buckets that another writer was before",
                &self.store_conflicts,
            ),
            (
                "claim_lost_replies",
                "Calls for claims whose answer was lost",
                &self.lost_replies,
            ),
            (
                "claim_calls_refused",
                "Calls for claims that the store or the budget refused",
                &self.refused_calls,
            ),
            (
                "claim_broken_buckets",
                "Buckets that can't be read or went backwards",
                &self.broken_buckets,
            ),
            (
                "claim_releases",
                "Claims taken back because their request did not run",
                &self.releases,
            ),
            ("claim_replays", "Answers given again", &self.replays),
            (
                "claim_learned",
                "Outcomes learned from the entry that claimed the key",
                &self.learned,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let help = "Bytes of the answers that are held for resends";
        registry.register("claim_held_bytes", help, self.held_bytes.clone());
    }

    /// Counts the verdict on one claim.
    pub fn observe_verdict(&self, verdict: &ClaimVerdict) {
        let verdict = match verdict {
            ClaimVerdict::Granted(_) => VerdictLabel::Granted,
            ClaimVerdict::Taken(_) => VerdictLabel::Taken,
            ClaimVerdict::Conflict => VerdictLabel::Conflict,
            ClaimVerdict::TooOld => VerdictLabel::TooOld,
            ClaimVerdict::Refused { .. } => VerdictLabel::Refused,
        };
        self.verdicts
            .get_or_create(&VerdictLabels { verdict })
            .inc();
    }

    /// Adds the differences between two readings of a batcher's counts.
    pub fn observe_counts(&self, before: &ClaimCounts, after: &ClaimCounts) {
        self.store_reads.inc_by(after.reads - before.reads);
        self.store_writes.inc_by(after.writes - before.writes);
        self.store_conflicts
            .inc_by(after.conflicts - before.conflicts);
        self.lost_replies
            .inc_by(after.lost_replies - before.lost_replies);
        self.refused_calls.inc_by(after.not_done - before.not_done);
        self.broken_buckets.inc_by(after.broken - before.broken);
    }
}
