//! What a run is asked to do.

use std::path::PathBuf;

use alderhaven_core::time::TimeSpan;

/// The most fronts: a process each, and the whole run stays under a few hundred.
pub const MAX_FRONTS: usize = 200;

/// A `PromiseScope` says which promises are held against a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PromiseScope {
    /// All of them.
    #[default]
    All,
    /// Those without a time in them: they hold on a machine that is as busy as it likes.
    Untimed,
}

/// A `SoakOptions` says what one run does.
#[derive(Clone, Debug, bon::Builder)]
pub struct SoakOptions {
    /// The seed of the faults.
    pub seed: u64,
    /// How long the run takes.
    pub span: TimeSpan,
    /// The fronts.
    pub fronts: usize,
    /// The callers; each has one connection and sends one request after the other.
    pub callers: usize,
    /// The program under test.
    pub front_binary: PathBuf,
    /// Where the logs of runs that break a promise are kept.
    pub logs: PathBuf,
    /// Whether failure domains are evacuated beside the faults of the seed.
    #[builder(default)]
    pub has_evacuations: bool,
    /// The promises that are checked.
    pub scope: PromiseScope,
}
