//! How late a message was delivered, though the two clocks are not comparable.
//!
//! Load pattern: a path is cut for some seconds and heals. What was written into it before is
//! delivered then, all at once, with spans of time that were right when it was written.
//!
//! Without it: work is done whose caller has left long ago, with a deadline that lies in the past.
//!
//! The least difference between the receiver's and the sender's clock that was seen on a connection
//! stands for a delivery without delay; what a message has beyond that is its age.

use alderhaven_core::time::{TimePoint, TimeSpan};

/// A `DeliveryAge` follows the deliveries on one connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeliveryAge {
    min_clock_difference: Option<i128>,
}

impl DeliveryAge {
    /// Gets the age of a message that was sent at `sent` by the sender's clock.
    pub fn record_delivery(&mut self, sent: TimePoint, received: TimePoint) -> TimeSpan {
        let difference = i128::from(received.as_micros()) - i128::from(sent.as_micros());
        let least = self
            .min_clock_difference
            .map_or(difference, |least| least.min(difference));
        self.min_clock_difference = Some(least);
        TimeSpan::from_micros(u64::try_from(difference - least).unwrap_or_default())
    }
}
