//! Queries of a front for the proofs of others.

use alderhaven_core::time::{TimePoint, TimeSpan};
use smallvec::SmallVec;

/// The number of queries whose reply still counts. At one query in 200 ms, it covers the time in which
/// a late reply can prolong a lease of 5 s.
const MAX_OPEN_QUERIES: usize = 24;

/// Queries that were sent and not answered yet.
#[derive(Clone, Debug)]
pub struct LeaseQueries {
    open: SmallVec<[OpenQuery; 4]>,
    next_number: u64,
    is_last_answered: bool,
}

#[derive(Clone, Copy, Debug)]
struct OpenQuery {
    number: u64,
    sent_at: TimePoint,
}

impl LeaseQueries {
    /// Creates the queries of a process. `first_number` must be random: a late reply to a process
    /// that had the same address would otherwise count from the time of a later query.
    #[must_use]
    pub fn new(first_number: u64) -> Self {
        Self {
            open: SmallVec::new(),
            next_number: first_number,
            is_last_answered: true,
        }
    }

    /// Records a query that is about to be sent, and returns its number.
    pub fn open(&mut self, now: TimePoint) -> u64 {
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        if self.open.len() == MAX_OPEN_QUERIES {
            self.open.remove(0);
        }
        self.open.push(OpenQuery {
            number,
            sent_at: now,
        });
        self.is_last_answered = false;
        number
    }

    /// Records the reply to a query, and returns when the query was sent; `None` if the query is
    /// unknown or was answered before.
    pub fn close(&mut self, number: u64) -> Option<TimePoint> {
        let index = self.open.iter().position(|query| query.number == number)?;
        self.is_last_answered |= index + 1 == self.open.len();
        Some(self.open.remove(index).sent_at)
    }

    /// Returns true if the latest query was answered, or none was sent.
    #[must_use]
    pub const fn is_last_answered(&self) -> bool {
        self.is_last_answered
    }

    /// Drops queries that were sent longer than `max_age` ago.
    pub fn drop_older(&mut self, max_age: TimeSpan, now: TimePoint) {
        self.open.retain(|query| now.since(query.sent_at) < max_age);
    }
}
