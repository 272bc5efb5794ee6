//! Validation of settings against their bounds.

use std::fmt::Display;
use std::ops::RangeInclusive;

use crate::errors::Error;

/// Collects the errors in the values of a settings file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ValueCheck {
    errors: Vec<Error>,
}

impl ValueCheck {
    /// Records an error unless the value is in the allowed range, both ends inclusive. NaN is never in
    /// range.
    pub fn within<T: PartialOrd + Display>(
        &mut self,
        field: &str,
        value: &T,
        allowed: &RangeInclusive<T>,
    ) {
        if !allowed.contains(value) {
            let (min, max) = (allowed.start(), allowed.end());
            self.errors.push(Error::invalid(
                field,
                format!("{value} is refused: allowed is {min} to {max}"),
            ));
        }
    }

    /// Returns the recorded errors.
    #[must_use]
    pub fn finish(self) -> Vec<Error> {
        self.errors
    }
}
