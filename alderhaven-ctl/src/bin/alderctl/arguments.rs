//! The command-line options and subcommands of `alderctl`; their comments are its help text.

use std::net::SocketAddr;
use std::path::PathBuf;

use alderhaven_core::config_object::ObjectKey;
use alderhaven_core::ids::{OperatorName, TargetId};
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_ctl::in_force;
use argh::FromArgs;

/// Checks and publishes the configuration of alderhaven, and shows the state of its nodes.
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
    /// the operator address of a node; repeat for each node
    #[argh(option)]
    pub node: Vec<SocketAddr>,
    /// print one JSON document; may also be given after the command
    #[argh(switch)]
    pub json: bool,
    /// the command to run
    #[argh(subcommand)]
    pub command: ControlCommand,
}

/// The subcommands.
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

/// Checks files offline and lists all problems with file and line.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// files or folders
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
}

/// Shows what publishing files would change.
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

/// Publishes files, or a reviewed plan.
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct PublishArgs {
    /// files or folders
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
    /// publish this plan from `diff --plan` instead of files
    #[argh(option)]
    pub plan: Option<PathBuf>,
    /// wait until the publication is in force on all nodes
    #[argh(switch)]
    pub wait: bool,
    /// how long to wait (default 30s)
    #[argh(option, default = "in_force::DEFAULT_WAIT_LIMIT")]
    pub limit: TimeSpan,
}

/// Shows the status of all nodes, and whether objects are in force on them.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// objects as KIND/NAME, for example template/stock-sweep
    #[argh(positional)]
    pub objects: Vec<ObjectKey>,
}

/// Shows the group members that each node knows.
#[derive(FromArgs)]
#[argh(subcommand, name = "members")]
pub struct MembersArgs {}

/// Shows the internal state of each node.
#[derive(FromArgs)]
#[argh(subcommand, name = "dump")]
pub struct DumpArgs {}

/// Takes a target out of use, or starts the graceful shutdown of a node.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// the target to drain
    #[argh(option)]
    pub target: Option<TargetId>,
    /// end the drain and take the target back into use
    #[argh(switch)]
    pub end: bool,
    /// the operator address of the node to shut down
    #[argh(option)]
    pub node: Option<SocketAddr>,
    /// wait until the target's drain is in force on all nodes
    #[argh(switch)]
    pub wait: bool,
}

/// Shows an object with its earlier contents.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {
    /// the object as KIND/NAME
    #[argh(positional)]
    pub object: ObjectKey,
}

/// Publishes an earlier content of an object again, as a new version.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct RollbackArgs {
    /// the object as KIND/NAME
    #[argh(positional)]
    pub object: ObjectKey,
    /// the version to publish again, as listed by `history`
    #[argh(option)]
    pub to: StoreVersion,
    /// wait until the publication is in force on all nodes
    #[argh(switch)]
    pub wait: bool,
}

/// Reads a bearer token from standard input and prints its `token_hash`.
#[derive(FromArgs)]
#[argh(subcommand, name = "hash-token")]
pub struct HashTokenArgs {}
