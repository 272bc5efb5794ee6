//! The results of commands, printed as one JSON document or as text, and their exit status.

use std::fmt;
use std::net::SocketAddr;

use alderhaven_core::config_object::{ObjectKey, StoredObject};
use serde::Serialize;
use serde_json::Value;

use crate::change_plan::{ChangePlan, PlannedChange};
use crate::exit_status::ExitStatus;
use crate::field_change::FieldChange;
use crate::file_check::CheckReport;
use crate::in_force::InForceReport;
use crate::node_status::NodeStatus;
use crate::object_history::ObjectHistory;
use crate::publish_outcome::{self, PublishOutcome};

/// The result of one command; its JSON form carries the variant in the field `command`.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum CommandReport {
    /// Result of `check`, and of `diff` and `publish` if files are invalid.
    Check(CheckReport),
    /// Result of `diff`.
    Diff(DiffReport),
    /// Result of `publish`, `rollback` and `drain --target`.
    Publish(PublishReport),
    /// Result of `status`.
    Status(StatusReport),
    /// Result of `members`, `dump` and `drain --node`.
    Nodes(NodesReport),
    /// Result of `history`.
    History(HistoryReport),
    /// Result of `hash-token`.
    Token(TokenReport),
    /// Result of a command that failed before it took effect.
    Failure(FailureReport),
}

/// The changes that publishing the files would make.
#[derive(Clone, Debug, Serialize)]
pub struct DiffReport {
    /// One entry for each file, in the order of publication, unchanged objects included.
    pub changes: Vec<ChangeReport>,
}

/// The change of one object, for the operator's review.
#[derive(Clone, Debug, Serialize)]
pub struct ChangeReport {
    /// The object to change.
    pub key: ObjectKey,
    /// The writer of the stored object; `None` if the object is not stored.
    pub stored_by: Option<String>,
    /// The fields that differ from the stored content.
    pub fields: Vec<FieldChange>,
    /// Whether the store already holds the content.
    pub unchanged: bool,
}

/// The outcomes of a command's publications.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PublishReport {
    /// The attempted publications in the order of the plan; empty if `unreviewed` is not.
    pub publications: Vec<PublicationReport>,
    /// Changes that would replace another operator's content without review. If there are any,
    /// nothing is published.
    #[serde(rename = "unseen")]
    pub unreviewed: Vec<ChangeReport>,
    /// The state of the nodes at the end of the wait; `None` without a wait.
    pub in_force: Option<InForceReport>,
}

/// The outcome of publishing one object.
#[derive(Clone, Debug, Serialize)]
pub struct PublicationReport {
    /// The published object.
    pub key: ObjectKey,
    /// Flattened into the JSON of the report.
    #[serde(flatten)]
    pub outcome: PublishOutcome,
    /// After a conflict: the fields that the other publication changed relative to the observed
    /// content.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub winner_changed: Vec<FieldChange>,
}

/// The status of the nodes and, on request, whether objects are in force on them.
#[derive(Clone, Debug, Serialize)]
pub struct StatusReport {
    /// One entry for each configured node.
    pub nodes: Vec<NodeAnswer<NodeStatus>>,
    /// Whether the stored versions of the requested objects are in force; `None` if no objects were
    /// requested.
    pub in_force: Option<InForceReport>,
}

/// The JSON answers of nodes, such as their members or dumps.
#[derive(Clone, Debug, Serialize)]
pub struct NodesReport {
    /// One entry for each node that was called.
    pub nodes: Vec<NodeAnswer<Value>>,
}

/// The answer of one node, or the error of the call.
#[derive(Clone, Debug, Serialize)]
pub struct NodeAnswer<T> {
    /// The operator address that was called.
    pub address: SocketAddr,
    /// Set if the call succeeded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answer: Option<T>,
    /// The reason of the failure, if the call failed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// An object with its earlier contents.
#[derive(Clone, Debug, Serialize)]
pub struct HistoryReport {
    /// The key of the object itself, not of its history.
    pub key: ObjectKey,
    /// The stored object or tombstone; `None` if it is absent.
    pub current: Option<StoredObject>,
    /// Flattened into the JSON of the report.
    #[serde(flatten)]
    pub history: ObjectHistory,
}

/// The hash of a bearer token.
#[derive(Clone, Debug, Serialize)]
pub struct TokenReport {
    /// The value for the field `token_hash` of a team's file.
    pub token_hash: String,
}

/// The failure of a command that had no effect.
#[derive(Clone, Debug, Serialize)]
pub struct FailureReport {
    /// The message for the operator.
    pub reason: String,
    /// The exit status that the failure maps to.
    pub status: ExitStatus,
}

impl CommandReport {
    /// Returns the report of a command that failed before it took effect.
    pub fn failure(status: ExitStatus, reason: impl fmt::Display) -> Self {
        Self::Failure(FailureReport {
            reason: reason.to_string(),
            status,
        })
    }

    /// Gets the exit status that `alderctl` ends with.
    #[must_use]
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Check(report) if report.is_clean() => ExitStatus::Done,
            Self::Check(_) => ExitStatus::Invalid,
            Self::Publish(report) => report.exit_status(),
            Self::Status(report) => report.exit_status(),
            Self::Nodes(report) if report.nodes.iter().any(|node| node.error.is_some()) => {
                ExitStatus::Failed
            }
            Self::Nodes(_) | Self::Diff(_) | Self::History(_) | Self::Token(_) => ExitStatus::Done,
            Self::Failure(report) => report.status,
        }
    }
}

impl PublishReport {
    fn exit_status(&self) -> ExitStatus {
        let worst = self
            .publications
            .iter()
            .map(|publication| match publication.outcome {
                PublishOutcome::Published { .. }
                | PublishOutcome::Superseded { .. }
                | PublishOutcome::Unchanged { .. } => ExitStatus::Done,
                PublishOutcome::Conflict { .. } => ExitStatus::Conflict,
                PublishOutcome::NotPublished { .. } => ExitStatus::Failed,
                PublishOutcome::Unknown { .. } => ExitStatus::Unknown,
            })
            .max()
            .unwrap_or(ExitStatus::Done);
        let is_lagging = self
            .in_force
            .as_ref()
            .is_some_and(|report| !report.is_in_force_everywhere());
        if !self.unreviewed.is_empty() {
            ExitStatus::Conflict
        } else if worst == ExitStatus::Done && is_lagging {
            ExitStatus::Lagging
        } else {
            worst
        }
    }
}

impl StatusReport {
    fn exit_status(&self) -> ExitStatus {
        if self.nodes.iter().any(|node| node.error.is_some()) {
            return ExitStatus::Failed;
        }
        match &self.in_force {
            Some(report) if !report.is_in_force_everywhere() => ExitStatus::Lagging,
            _ => ExitStatus::Done,
        }
    }
}

impl DiffReport {
    /// Reports every change of a plan.
    #[must_use]
    pub fn from_plan(plan: &ChangePlan) -> Self {
        Self {
            changes: plan.changes.iter().map(ChangeReport::from_change).collect(),
        }
    }
}

impl ChangeReport {
    /// Reports one change with the fields that differ.
    #[must_use]
    pub fn from_change(change: &PlannedChange) -> Self {
        Self {
            key: change.key.clone(),
            stored_by: change.observed.as_ref().map(publish_outcome::writer_text),
            fields: change.field_changes(),
            unchanged: change.is_unchanged(),
        }
    }
}

impl PublicationReport {
    /// Reports the outcome of one change, after a conflict with the other publication's changes.
    #[must_use]
    pub fn from_outcome(change: &PlannedChange, outcome: PublishOutcome) -> Self {
        let winner_changed = match &outcome {
            PublishOutcome::Conflict {
                current: Some(current),
            } => FieldChange::between(change.observed_body(), current.body.as_deref()),
            _ => Vec::new(),
        };
        Self {
            key: change.key.clone(),
            outcome,
            winner_changed,
        }
    }
}

impl<T> NodeAnswer<T> {
    /// Converts the result of a call to `address`.
    pub fn from_result<E: fmt::Display>(address: SocketAddr, answer: Result<T, E>) -> Self {
        match answer {
            Ok(answer) => Self {
                address,
                answer: Some(answer),
                error: None,
            },
            Err(error) => Self {
                address,
                answer: None,
                error: Some(error.to_string()),
            },
        }
    }
}
