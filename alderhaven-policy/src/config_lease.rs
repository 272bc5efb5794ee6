//! Lease of a front on its configuration: until when the keys in it may be accepted.
//!
//! A lease is prolonged by proofs that the configuration was the newest at a moment of the own
//! clock, and ends by that clock alone (Gray and Cheriton, 1989). No message can prolong it beyond
//! the moment that it proves, however late it arrives.

use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};
use smallvec::SmallVec;

use crate::config_proof::ConfigProof;
use crate::group_place::GroupPlace;
use crate::lease_change::LeaseChange;
pub use crate::lease_options::LeaseOptions;
use crate::lease_queries::LeaseQueries;
use crate::lease_schedule::LeaseSchedule;
pub use crate::lease_status::LeaseStatus;
use crate::lease_step::LeaseStep;
use crate::lease_timing::LeaseTiming;
use crate::proof_ages::ProofAges;

/// The number of proofs that wait for their version. A front that lags behind more versions than this
/// waits for the latest ones.
const MAX_PENDING_PROOFS: usize = 8;

/// Proofs of one front, and the queries for them. All times are of one clock, which counts the time
/// in which the host was suspended.
#[derive(Clone, Debug)]
pub struct ConfigLease {
    timing: LeaseTiming,
    held: Option<StoreVersion>,
    proof: Option<ConfigProof>,
    /// Proofs for versions that are not held yet, in the order of their moments.
    pending: SmallVec<[ConfigProof; 2]>,
    queries: LeaseQueries,
    schedule: LeaseSchedule,
    last_change: Option<LeaseChange>,
}

impl ConfigLease {
    /// Creates the lease of a process without a proof. `first_number` is the number of its first query
    /// and must be random.
    #[must_use]
    pub fn new(options: LeaseOptions, first_number: u64) -> Self {
        let timing = LeaseTiming::new(options);
        Self {
            timing,
            held: None,
            proof: None,
            pending: SmallVec::new(),
            queries: LeaseQueries::new(first_number),
            schedule: LeaseSchedule::new(timing),
            last_change: None,
        }
    }

    /// Records the version of the configuration that the front holds. Proofs that waited for it count
    /// from now on.
    pub fn record_held(&mut self, version: StoreVersion) {
        if self.held >= Some(version) {
            return;
        }
        self.held = Some(version);
        for proof in std::mem::take(&mut self.pending) {
            self.record_proof(proof);
        }
    }

    /// Records that the store answered a list call, sent at `sent_at`, with the configuration at
    /// `version`.
    pub fn record_list(&mut self, sent_at: TimePoint, version: StoreVersion) {
        self.record_proof(ConfigProof {
            sent_at,
            prior_age: TimeSpan::ZERO,
            version,
        });
    }

    /// Records the reply to a query; `proof` is the age and version of the sender's proof. Returns
    /// true if the reply belongs to an open query.
    pub fn record_reply(&mut self, number: u64, proof: Option<(TimeSpan, StoreVersion)>) -> bool {
        let Some(sent_at) = self.queries.close(number) else {
            return false;
        };
        if let Some((prior_age, version)) = proof {
            self.record_proof(ConfigProof {
                sent_at,
                prior_age,
                version,
            });
        }
        true
    }

    /// Returns what the front may decide by its configuration now.
    #[must_use]
    pub fn status(&self, now: TimePoint) -> LeaseStatus {
        let age = self.proof_age(now);
        if age.is_some_and(|age| age < self.timing.fresh_age()) {
            LeaseStatus::Fresh
        } else if self.is_within_end(now) {
            LeaseStatus::Held
        } else {
            LeaseStatus::Ended
        }
    }

    /// Returns the proof that counts, for replies to other fronts.
    #[must_use]
    pub const fn proof(&self) -> Option<&ConfigProof> {
        self.proof.as_ref()
    }

    /// Returns the age of the proof that counts.
    #[must_use]
    pub fn proof_age(&self, now: TimePoint) -> Option<TimeSpan> {
        self.proof.map(|proof| proof.age(now))
    }

    /// Returns the next thing to do now, and records it as done; `None` if nothing is due. `random`,
    /// from 0 to 1, spreads the fronts.
    pub fn next_step(
        &mut self,
        place: GroupPlace,
        now: TimePoint,
        random: f64,
    ) -> Option<LeaseStep> {
        let ages = self.ages(now);
        if self.schedule.takes_list(place, ages, now, random) {
            return Some(LeaseStep::ListStore);
        }
        let is_repeated = !self.queries.is_last_answered();
        let receiver = self
            .schedule
            .takes_query(place, ages, now, random, is_repeated)?;
        if let Some(end_age) = self.timing.end_age() {
            self.queries.drop_older(end_age, now);
        }
        let number = self.queries.open(now);
        Some(LeaseStep::Query { number, receiver })
    }

    /// Returns when [`Self::next_step`] or [`Self::take_change`] must be called again, unless a
    /// proof arrives earlier.
    #[must_use]
    pub fn next_due(&self, place: GroupPlace, now: TimePoint) -> TimePoint {
        let step_due = self.schedule.next_due(place, self.ages(now), now);
        let end_age = self.timing.end_age();
        let ends_in = end_age.zip(self.proof_age(now));
        let ends_in = ends_in.map(|(end_age, age)| end_age.saturating_sub(age));
        match ends_in {
            Some(span) if span > TimeSpan::ZERO => step_due.min(now + span),
            _ => step_due,
        }
    }

    /// Returns the change of the lease since the last call, if any.
    pub fn take_change(&mut self, now: TimePoint) -> Option<LeaseChange> {
        let is_valid = self.proof.is_some() && self.is_within_end(now);
        let change = match (self.last_change, is_valid) {
            (None, true) => LeaseChange::Obtained,
            (Some(LeaseChange::Lost), true) => LeaseChange::Recovered,
            (Some(LeaseChange::Obtained | LeaseChange::Recovered), false) => LeaseChange::Lost,
            _ => return None,
        };
        self.last_change = Some(change);
        Some(change)
    }

    fn is_within_end(&self, now: TimePoint) -> bool {
        let age = self.proof_age(now);
        let end_age = self.timing.end_age();
        end_age.is_none_or(|end_age| age.is_some_and(|age| age < end_age))
    }

    fn ages(&self, now: TimePoint) -> ProofAges {
        let latest = self.pending.last().or(self.proof.as_ref());
        ProofAges {
            confirmed: self.proof_age(now),
            latest: latest.map(|proof| proof.age(now)),
        }
    }

    fn record_proof(&mut self, proof: ConfigProof) {
        if self.held.is_some_and(|held| proof.is_covered_by(held)) {
            if self.proof.is_none_or(|known| proof.is_later_than(&known)) {
                self.proof = Some(proof);
                self.pending.retain(|other| other.is_later_than(&proof));
            }
            return;
        }
        if self.proof.is_some_and(|known| !proof.is_later_than(&known)) {
            return;
        }
        let index = self
            .pending
            .partition_point(|other| !other.is_later_than(&proof));
        self.pending.insert(index, proof);
        if self.pending.len() > MAX_PENDING_PROOFS {
            self.pending.remove(0);
        }
    }
}
