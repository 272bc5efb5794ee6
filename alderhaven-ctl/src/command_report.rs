//! What commands tell: one JSON document or a text for people, and the exit status.

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

/// A `CommandReport` is the result of one command.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum CommandReport {
    /// Of `check`, and of `diff` and `publish` where files are refused.
    Check(CheckReport),
    /// Of `diff`.
    Diff(DiffReport),
    /// Of `publish`, `rollback` and the drain of a target.
    Publish(PublishReport),
    /// Of `status`.
    Status(StatusReport),
    /// Of `members`, `dump` and the drain of a node.
    Nodes(NodesReport),
    /// Of `history`.
    History(HistoryReport),
    /// Of `hash-token`.
    Token(TokenReport),
    /// Of a command that could not begin.
    Failure(FailureReport),
}

/// A `DiffReport` lists what a publication would change.
#[derive(Clone, Debug, Serialize)]
pub struct DiffReport {
    /// The changes.
    pub changes: Vec<ChangeReport>,
}

/// A `ChangeReport` is one change in words.
#[derive(Clone, Debug, Serialize)]
pub struct ChangeReport {
    /// The object.
    pub key: ObjectKey,
    /// Who wrote the content that the store holds; none where it holds nothing.
    pub stored_by: Option<String>,
    /// The fields that differ.
    pub fields: Vec<FieldChange>,
    /// Whether nothing would change.
    pub unchanged: bool,
}

/// A `PublishReport` lists what became of each publication.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PublishReport {
    /// The publications in their order.
    pub publications: Vec<PublicationReport>,
    /// Changes that replace another operator's publication and were not looked at; if there are
    /// any, nothing was published.
    #[serde(rename = "unseen")]
    pub unreviewed: Vec<ChangeReport>,
    /// The nodes' progress, where it was waited for.
    pub in_force: Option<InForceReport>,
}

/// A `PublicationReport` is what became of one object.
#[derive(Clone, Debug, Serialize)]
pub struct PublicationReport {
    /// The object.
    pub key: ObjectKey,
    /// What became of it.
    #[serde(flatten)]
    pub outcome: PublishOutcome,
    /// After a lost race: what the winner changed against the content that was seen.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub winner_changed: Vec<FieldChange>,
}

/// A `StatusReport` lists the nodes and, where asked for, objects.
#[derive(Clone, Debug, Serialize)]
pub struct StatusReport {
    /// The nodes' answers.
    pub nodes: Vec<NodeAnswer<NodeStatus>>,
    /// The progress of the nodes towards the store's versions of the objects that were asked for.
    pub in_force: Option<InForceReport>,
}

/// A `NodesReport` lists what nodes answered.
#[derive(Clone, Debug, Serialize)]
pub struct NodesReport {
    /// The nodes' answers.
    pub nodes: Vec<NodeAnswer<Value>>,
}

/// A `NodeAnswer` is what one node answered, or why it did not.
#[derive(Clone, Debug, Serialize)]
pub struct NodeAnswer<T> {
    /// The operator address.
    pub address: SocketAddr,
    /// The answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answer: Option<T>,
    /// Why there is none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// A `HistoryReport` is an object with its earlier contents.
#[derive(Clone, Debug, Serialize)]
pub struct HistoryReport {
    /// The object.
    pub key: ObjectKey,
    /// What the store holds.
    pub current: Option<StoredObject>,
    /// The earlier contents.
    #[serde(flatten)]
    pub history: ObjectHistory,
}

/// A `TokenReport` is the hash of a bearer token.
#[derive(Clone, Debug, Serialize)]
pub struct TokenReport {
    /// What a team's file holds.
    pub token_hash: String,
}

/// A `FailureReport` says why a command could not do its work; nothing took effect.
#[derive(Clone, Debug, Serialize)]
pub struct FailureReport {
    /// Why.
    pub reason: String,
    /// The exit status.
    pub status: ExitStatus,
}

impl CommandReport {
    /// Returns the report of a command that could not begin.
    pub fn failure(status: ExitStatus, reason: impl fmt::Display) -> Self {
        Self::Failure(FailureReport {
            reason: reason.to_string(),
            status,
        })
    }

    /// Gets the exit status.
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
    /// Returns the report of a plan.
    #[must_use]
    pub fn from_plan(plan: &ChangePlan) -> Self {
        Self {
            changes: plan.changes.iter().map(ChangeReport::from_change).collect(),
        }
    }
}

impl ChangeReport {
    /// Returns the report of one change.
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
    /// Returns the report of one publication.
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
    /// Returns the answer of a node.
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
