//! Wire form of crash strikes: requests that were in flight at targets that crashed.

use alderhaven_core::ids::ShardId;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::crash_strike::{CrashStrike, StrikeUpdate};

/// Strikes sent to another process.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StrikeNotice {
    /// Strikes, one per crash and request.
    #[prost(message, repeated, tag = "1")]
    pub strikes: Vec<StrikeRecord>,
}

/// One crash with one request in flight.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StrikeRecord {
    /// Fingerprint of the request, 32 hexadecimal digits.
    #[prost(string, tag = "1")]
    pub fingerprint: String,
    /// Random number that identifies the crash.
    #[prost(uint64, tag = "2")]
    pub crash_id: u64,
    /// Id of the target that crashed.
    #[prost(string, tag = "3")]
    pub target: String,
    /// Failure domain of the target.
    #[prost(string, tag = "4")]
    pub domain: String,
    /// Shard of the target.
    #[prost(uint32, tag = "5")]
    pub shard: u32,
    /// Number of distinct requests in flight at the target.
    #[prost(uint32, tag = "6")]
    pub in_flight: u32,
    /// Time since the crash, in microseconds.
    #[prost(uint64, tag = "7")]
    pub age_us: u64,
    /// Whether a replica of the shard answered the request after the crash.
    #[prost(bool, tag = "8")]
    pub cleared: bool,
    /// Whether the request ran on trial.
    #[prost(bool, tag = "9")]
    pub is_trial: bool,
}

impl StrikeNotice {
    /// Returns the strikes; records that can't be parsed are skipped.
    #[must_use]
    pub fn updates(&self) -> Vec<StrikeUpdate> {
        self.strikes
            .iter()
            .filter_map(StrikeRecord::to_update)
            .collect()
    }
}

impl StrikeRecord {
    fn to_update(&self) -> Option<StrikeUpdate> {
        Some(StrikeUpdate {
            fingerprint: self.fingerprint.parse().ok()?,
            strike: CrashStrike {
                crash_id: self.crash_id,
                target: self.target.parse().ok()?,
                domain: self.domain.parse().ok()?,
                shard: ShardId(self.shard),
                in_flight: self.in_flight,
                at: TimePoint::START,
                is_trial: self.is_trial,
                cleared: self.cleared,
            },
            age: TimeSpan::from_micros(self.age_us),
        })
    }
}

impl From<&[StrikeUpdate]> for StrikeNotice {
    fn from(updates: &[StrikeUpdate]) -> Self {
        let record = |update: &StrikeUpdate| StrikeRecord {
            fingerprint: update.fingerprint.to_string(),
            crash_id: update.strike.crash_id,
            target: update.strike.target.to_string(),
            domain: update.strike.domain.to_string(),
            shard: update.strike.shard.0,
            in_flight: update.strike.in_flight,
            age_us: update.age.as_micros(),
            cleared: update.strike.cleared,
            is_trial: update.strike.is_trial,
        };
        Self {
            strikes: updates.iter().map(record).collect(),
        }
    }
}
