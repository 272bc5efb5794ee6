//! The faults of a run.

use alderhaven_core::time::TimeSpan;
use alderhaven_platform_standin::store_fault::StoreFault;
use serde::Serialize;

use crate::link_proxy::LinkMode;

/// A `SoakFault` is something that is done to the system from outside. Fronts and targets are named by
/// numbers that are taken modulo their count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SoakFault {
    /// A front is asked to stop; it starts again once it has ended.
    StopFront(usize),
    /// All fronts are asked to stop, one after the other.
    StopAll(TimeSpan),
    /// A front is killed; it starts again.
    KillFront(usize),
    /// All fronts are killed at once.
    KillAll,
    /// A front stands still for a while.
    FreezeFront(usize, TimeSpan),
    /// A front is told to read its settings again.
    ReloadFront(usize),
    /// The way of a front to the store is disturbed for a while.
    StoreLink(usize, LinkMode, TimeSpan),
    /// The store treats all calls so for a while.
    StoreFault(StoreFault, TimeSpan),
    /// The store drops its history.
    #[serde(rename = "store_forgets")]
    StoreCompaction,
    /// A target crashes; another starts after a while.
    CrashTarget(usize, TimeSpan),
    /// A target says that it leaves, serves on for a while and ends; another starts.
    DrainTarget(usize),
    /// The way to a target is disturbed for a while.
    TargetLink(usize, LinkMode, TimeSpan),
    /// A target treats some requests so for a while.
    TargetFault(usize, TargetFault, TimeSpan),
    /// The operator changes the configuration.
    ChangeConfig,
    /// The operator cuts the index into the other set of shards.
    Reshard,
    /// The operator evacuates a failure domain for a while.
    Evacuate(usize, TimeSpan),
}

/// A `TargetTrouble` is how a target fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetFault {
    /// It works many times as long.
    Slow,
    /// It runs requests and says nothing.
    #[serde(rename = "mute")]
    NoReply,
    /// It runs requests and fails.
    Fails,
    /// It refuses without running.
    Refuses,
    /// It runs requests and closes the connection.
    #[serde(rename = "loses_answers")]
    Disconnects,
    /// It breaks answers off.
    #[serde(rename = "cuts_answers")]
    TruncatesAnswers,
    /// It answers twice.
    AnswersTwice,
}

impl SoakFault {
    /// Gets the name of its kind.
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
            Self::StoreFault(..) => "store_fault",
            Self::StoreCompaction => "store_forgets",
            Self::CrashTarget(..) => "crash_target",
            Self::DrainTarget(_) => "drain_target",
            Self::TargetLink(..) => "target_link",
            Self::TargetFault(..) => "target_fault",
            Self::ChangeConfig => "change_config",
            Self::Reshard => "reshard",
            Self::Evacuate(..) => "evacuate",
        }
    }
}
