//! Tests of publication: scenarios of lost answers, operators that race, and the commands.

mod commands;
mod nodes;
mod races;
mod scenarios;
mod support;
