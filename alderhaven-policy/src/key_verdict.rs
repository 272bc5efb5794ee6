//! Whether the caller of a route that is not open may be served.

use crate::config_lease::LeaseStatus;

/// Decision on a request, by the team `T` of its key or the fault `F` of the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyVerdict<T, F> {
    /// The key belongs to this team.
    Accepted(T),
    /// The newest configuration has no team with such a key.
    Refused(F),
    /// The configuration has no team with such a key, but a newer one may have.
    Unconfirmed,
    /// The configuration may be so old that its keys no longer count.
    LeaseEnded,
}

/// Decides on a key by what the configuration says of it and what the lease allows.
pub fn judge_key<T, F>(team: Result<T, F>, lease: LeaseStatus) -> KeyVerdict<T, F> {
    match (lease, team) {
        (LeaseStatus::Ended, _) => KeyVerdict::LeaseEnded,
        (LeaseStatus::Fresh | LeaseStatus::Held, Ok(team)) => KeyVerdict::Accepted(team),
        (LeaseStatus::Fresh, Err(fault)) => KeyVerdict::Refused(fault),
        (LeaseStatus::Held, Err(_)) => KeyVerdict::Unconfirmed,
    }
}
