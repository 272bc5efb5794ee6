//! The options of a run.

use std::path::PathBuf;

use alderhaven_core::time::TimeSpan;

/// The most fronts. Each is a process, and its host number must fit one byte of an IPv4 address.
pub const MAX_FRONTS: usize = 200;

/// Which promises a run is checked against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PromiseScope {
    /// All promises.
    #[default]
    All,
    /// Only promises without a time bound, which hold on an overloaded machine too.
    Untimed,
}

/// The options of one run.
#[expect(clippy::struct_excessive_bools, reason = "independent parts of a run")]
#[derive(Clone, Debug, bon::Builder)]
pub struct SoakOptions {
    /// The seed from which faults and requests are drawn.
    pub seed: u64,
    /// The length of the run.
    pub span: TimeSpan,
    /// The number of fronts.
    pub fronts: usize,
    /// The number of callers; each sends its requests sequentially over one connection.
    pub callers: usize,
    /// The front binary under test.
    pub front_binary: PathBuf,
    /// The directory for logs, which are kept only if a promise is broken.
    pub logs: PathBuf,
    /// Whether failure domains are evacuated in addition to the faults of the seed.
    #[builder(default)]
    pub has_evacuations: bool,
    /// Whether the store comes back from older copies in addition to the faults of the seed.
    #[builder(default)]
    pub has_restores: bool,
    /// Whether fronts that watch the store lose it just after a change, in addition to the faults of the
    /// seed.
    #[builder(default)]
    pub has_watcher_cuts: bool,
    /// Whether the run has teams, with their own faults.
    #[builder(default)]
    pub has_teams: bool,
    /// Whether callers send requests that crash targets.
    #[builder(default)]
    pub has_crashing_requests: bool,
    /// Whether some requests need seconds, and callers cache directory answers for long.
    #[builder(default)]
    pub has_long_work: bool,
    /// Whether targets spoil answers or send bytes without end, in addition to the faults of the seed.
    #[builder(default)]
    pub has_spoiled_answers: bool,
    /// Whether callers hold requests open that stop short of their end.
    #[builder(default)]
    pub has_stalled_callers: bool,
    /// The promises to check.
    pub scope: PromiseScope,
}
