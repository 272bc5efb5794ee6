//! Delay of messages between two clocks that can't be compared.
//!
//! When a path is cut and heals, what was written into it is delivered late and all at once, with
//! deadlines that have passed. The smallest difference between the receiver's and the sender's
//! clock seen on a connection stands for a delivery without delay; any excess over it is the age of
//! a message.

use alderhaven_core::time::{TimePoint, TimeSpan};

/// The delivery delays on one connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeliveryAge {
    min_clock_difference: Option<i128>,
}

impl DeliveryAge {
    /// Returns the age of a message that was sent at `sent` by the sender's clock.
    pub fn record_delivery(&mut self, sent: TimePoint, received: TimePoint) -> TimeSpan {
        let difference = i128::from(received.as_micros()) - i128::from(sent.as_micros());
        let least = self
            .min_clock_difference
            .map_or(difference, |least| least.min(difference));
        self.min_clock_difference = Some(least);
        TimeSpan::from_micros(u64::try_from(difference - least).unwrap_or_default())
    }
}
