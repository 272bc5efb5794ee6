//! Tests of publication: scenarios with lost replies, concurrent operators, and the commands.

mod commands;
mod nodes;
mod races;
mod scenarios;
mod support;
