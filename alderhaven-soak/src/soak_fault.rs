//! The faults that a run can inject.

use alderhaven_core::time::TimeSpan;
use alderhaven_platform_standin::store_fault::StoreFault;
use serde::Serialize;

use crate::link_proxy::LinkMode;
use crate::team_change::TeamChange;

/// A fault that is injected into the running system. A `usize` selects the front, target or failure
/// domain, modulo their number; a `TimeSpan` is a duration or pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SoakFault {
    /// Sends SIGTERM to a front, which is restarted after it has ended.
    StopFront(usize),
    /// Sends SIGTERM to all fronts, with a pause after each.
    StopAll(TimeSpan),
    /// Kills a front, which is restarted.
    KillFront(usize),
    /// Kills all fronts at once.
    KillAll,
    /// Suspends the process of a front.
    FreezeFront(usize, TimeSpan),
    /// Makes a front reload its settings.
    ReloadFront(usize),
    /// Disrupts the link from a front to the store.
    StoreLink(usize, LinkMode, TimeSpan),
    /// Blocks the links to the store of so many fronts: those that called it last, which watch it.
    CutWatchers(usize, TimeSpan),
    /// Blocks the links from all fronts to the store.
    CutStore(TimeSpan),
    /// Makes the store handle all calls in a faulty way.
    StoreFault(StoreFault, TimeSpan),
    /// Makes the store compact its history, so that watches from older revisions fail.
    #[serde(rename = "store_forgets")]
    StoreCompaction,
    /// The store comes back from a copy as old as the first span, after it was away for the second.
    /// The operator and the targets then repeat what it lost.
    RestoreStore(TimeSpan, TimeSpan),
    /// Crashes a target; its replacement starts after the pause.
    CrashTarget(usize, TimeSpan),
    /// Drains a target: it reports that it is leaving, serves for the drain time and ends. A
    /// replacement starts first.
    DrainTarget(usize),
    /// Disrupts the link to a target.
    TargetLink(usize, LinkMode, TimeSpan),
    /// Makes a target handle a share of its requests in a faulty way.
    TargetFault(usize, TargetFault, TimeSpan),
    /// The operator publishes a changed configuration.
    ChangeConfig,
    /// The operator switches the index to the other set of shards.
    Reshard,
    /// The operator or the callers change a team.
    ChangeTeam(TeamChange),
    /// The operator evacuates a failure domain.
    Evacuate(usize, TimeSpan),
}

/// How a target mishandles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetFault {
    /// Runs for a multiple of the usual time.
    Slow,
    /// Runs the request and sends no reply.
    #[serde(rename = "mute")]
    NoReply,
    /// Runs the request and answers with an error.
    Fails,
    /// Refuses the request without running it.
    Refuses,
    /// Runs the request and closes the connection.
    #[serde(rename = "loses_answers")]
    Disconnects,
    /// Sends a truncated answer.
    #[serde(rename = "cuts_answers")]
    TruncatesAnswers,
    /// Sends the answer twice.
    AnswersTwice,
    /// Sends an answer without its proof, or one that claims to be encoded.
    SpoilsAnswers,
    /// Sends a head or body that never ends.
    EndlessAnswers,
}

impl SoakFault {
    /// Returns the serialized name of the variant, as reports show it.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::StopFront(_) => "stop_front",
            Self::StopAll(_) => "stop_all",
            Self::KillFront(_) => "kill_front",
            Self::KillAll => "kill_all",
            Self::FreezeFront(..) => "freeze_front",
            Self::ReloadFront(_) => "reload_front",
            Self::StoreLink(..) => "store_link",
            Self::CutWatchers(..) => "cut_watchers",
            Self::CutStore(_) => "cut_store",
            Self::StoreFault(..) => "store_fault",
            Self::StoreCompaction => "store_forgets",
            Self::RestoreStore(..) => "restore_store",
            Self::CrashTarget(..) => "crash_target",
            Self::DrainTarget(_) => "drain_target",
            Self::TargetLink(..) => "target_link",
            Self::TargetFault(..) => "target_fault",
            Self::ChangeConfig => "change_config",
            Self::Reshard => "reshard",
            Self::Evacuate(..) => "evacuate",
            Self::ChangeTeam(TeamChange::RotateKey(_)) => "rotate_key",
            Self::ChangeTeam(TeamChange::LowerLimit(_)) => "lower_limit",
            Self::ChangeTeam(TeamChange::RaiseLimit(_)) => "raise_limit",
            Self::ChangeTeam(TeamChange::StartSurge(_)) => "start_surge",
            Self::ChangeTeam(TeamChange::EndSurge) => "end_surge",
        }
    }
}
