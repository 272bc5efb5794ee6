//! Refill rate and capacity of the buckets that hold one team's credit.

/// What all buckets of one team hold together; each has the part of its share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantLimit {
    /// Requests per second by which the buckets are refilled.
    pub rate: f64,
    /// Requests that the buckets hold.
    pub capacity: f64,
}
