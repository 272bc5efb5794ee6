//! The check of settings' values against their bounds.

use std::fmt::Display;
use std::ops::RangeInclusive;

use crate::errors::Error;

/// A `ValueCheck` collects everything that is wrong with the values of a settings file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ValueCheck {
    errors: Vec<Error>,
}

impl ValueCheck {
    /// Checks that a value lies within bounds, both included; not-a-number never does.
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

    /// Gets what was found.
    #[must_use]
    pub fn finish(self) -> Vec<Error> {
        self.errors
    }
}
