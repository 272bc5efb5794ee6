//! Tests of publication: scenarios of lost answers, and operators that race each other.

mod races;
mod scenarios;
mod support;
