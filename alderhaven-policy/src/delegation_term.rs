//! How long a delegated share counts, and how often it is renewed.

use alderhaven_core::time::TimeSpan;

/// How long a delegated share counts at most.
pub const DELEGATION_LIFETIME: TimeSpan = TimeSpan::from_millis(1_200);

/// How long a large delegated share counts.
const SHORT_LIFETIME: TimeSpan = TimeSpan::from_millis(600);

/// Time between two renewals of a small share. A renewal echoes the reply to the one before, so that
/// two intervals and a repeat after a lost datagram have to fit into the lifetime.
const RENEWAL_INTERVAL: TimeSpan = TimeSpan::from_millis(500);

/// Time between two renewals of a large share, for the same reason.
const SHORT_RENEWAL_INTERVAL: TimeSpan = TimeSpan::from_millis(200);

/// Share from which a delegation counts for the shorter time. At most 50 fronts have such a share.
const LARGE_SHARE: f64 = 0.02;

/// Duration of delegations. Large shares return early from a pool that is lost, small hosts send and
/// wake up rarely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DelegationTerm {
    /// For small shares.
    Long,
    /// For large shares.
    Short,
}

impl DelegationTerm {
    /// Returns the term by which a share is delegated.
    #[must_use]
    pub fn of_share(share: f64) -> Self {
        if share >= LARGE_SHARE {
            Self::Short
        } else {
            Self::Long
        }
    }

    /// Returns how long the share counts from the pool's timestamp.
    #[must_use]
    pub const fn lifetime(self) -> TimeSpan {
        match self {
            Self::Long => DELEGATION_LIFETIME,
            Self::Short => SHORT_LIFETIME,
        }
    }

    /// Returns the time between two renewals.
    #[must_use]
    pub const fn renewal_interval(self) -> TimeSpan {
        match self {
            Self::Long => RENEWAL_INTERVAL,
            Self::Short => SHORT_RENEWAL_INTERVAL,
        }
    }
}
