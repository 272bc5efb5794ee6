//! The command line of `alderctl`.

use std::net::SocketAddr;
use std::path::PathBuf;

use alderhaven_core::config_object::ObjectKey;
use alderhaven_core::ids::{OperatorName, StoreVersion, TargetId};
use alderhaven_core::time::TimeSpan;
use alderhaven_ctl::in_force;
use argh::FromArgs;

/// Checks, publishes and follows the configuration of alderhaven.
#[derive(FromArgs)]
pub struct ControlArgs {
    /// the operator's settings file (YAML): operator, platform, nodes
    #[argh(option)]
    pub settings: Option<String>,
    /// your name, which publications carry
    #[argh(option)]
    pub operator: Option<OperatorName>,
    /// the address of the platform's object API
    #[argh(option)]
    pub platform: Option<SocketAddr>,
    /// the operator address of a node; again for each node
    #[argh(option)]
    pub node: Vec<SocketAddr>,
    /// print one JSON document; it may also stand after the command
    #[argh(switch)]
    pub json: bool,
    /// the command
    #[argh(subcommand)]
    pub command: ControlCommand,
}

/// A `ControlCommand` is what the operator wants done.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum ControlCommand {
    Check(CheckArgs),
    Diff(DiffArgs),
    Publish(PublishArgs),
    Status(StatusArgs),
    Members(MembersArgs),
    Dump(DumpArgs),
    Drain(DrainArgs),
    History(HistoryArgs),
    Rollback(RollbackArgs),
    HashToken(HashTokenArgs),
}

/// Checks files offline: all problems at once, with file and line.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// files or folders
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
}

/// Shows what a publication of files would change.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// files or folders
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
    /// write the plan to this file, for `publish --plan`
    #[argh(option)]
    pub plan: Option<PathBuf>,
}

/// Publishes files, or a plan that was looked at.
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct PublishArgs {
    /// files or folders
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
    /// publish this plan of `diff --plan` in place of files
    #[argh(option)]
    pub plan: Option<PathBuf>,
    /// wait until it is in force on all nodes
    #[argh(switch)]
    pub wait: bool,
    /// how long to wait (default 30s)
    #[argh(option, default = "in_force::DEFAULT_WAIT_LIMIT")]
    pub limit: TimeSpan,
}

/// Asks all nodes for their state, and whether objects are in force on them.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// objects as KIND/NAME, for example template/stock-sweep
    #[argh(positional)]
    pub objects: Vec<ObjectKey>,
}

/// Shows the members that each node knows.
#[derive(FromArgs)]
#[argh(subcommand, name = "members")]
pub struct MembersArgs {}

/// Shows the whole state of each node.
#[derive(FromArgs)]
#[argh(subcommand, name = "dump")]
pub struct DumpArgs {}

/// Takes a target out of use, or starts the planned stop of a node.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// the target
    #[argh(option)]
    pub target: Option<TargetId>,
    /// take the target back into use
    #[argh(switch)]
    pub end: bool,
    /// the operator address of the node to stop
    #[argh(option)]
    pub node: Option<SocketAddr>,
    /// wait until the target's drain is in force on all nodes
    #[argh(switch)]
    pub wait: bool,
}

/// Shows the content of an object and its earlier ones.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {
    /// the object as KIND/NAME
    #[argh(positional)]
    pub object: ObjectKey,
}

/// Publishes an earlier content of an object again.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct RollbackArgs {
    /// the object as KIND/NAME
    #[argh(positional)]
    pub object: ObjectKey,
    /// the version to publish again, from `history`
    #[argh(option)]
    pub to: StoreVersion,
    /// wait until it is in force on all nodes
    #[argh(switch)]
    pub wait: bool,
}

/// Reads a bearer token from standard input and prints its `token_hash`.
#[derive(FromArgs)]
#[argh(subcommand, name = "hash-token")]
pub struct HashTokenArgs {}
