//! The commands that access the store, generic over the store and the node probe.

use std::collections::BTreeSet;
use std::path::PathBuf;

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::{OperatorName, TargetId};
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_store::object_store::{ObjectStore, StoreResult};

use crate::change_plan::{ChangePlan, PlannedChange};
use crate::command_report::{
    ChangeReport, CommandReport, DiffReport, HistoryReport, PublicationReport, PublishReport,
    StatusReport,
};
use crate::exit_status::ExitStatus;
use crate::file_check::CheckReport;
use crate::in_force::{InForceReport, WaitOptions, WantedVersion};
use crate::node_commands::NodeContext;
use crate::node_probe::NodeProbe;
use crate::object_history::ObjectHistory;
use crate::publisher::ObjectPublisher;
use crate::retry_options::RetryOptions;

/// The dependencies and options of commands that access the store.
pub struct CommandContext<S, P> {
    /// The platform's object API.
    pub store: S,
    /// The nodes to probe after a publication.
    pub nodes: NodeContext<P>,
    /// The operator who is recorded as the writer of publications.
    pub operator: OperatorName,
    /// The retries of failed calls to the store.
    pub retry_options: RetryOptions,
    /// How long to wait until publications are in force; `None` doesn't wait.
    pub wait_options: Option<WaitOptions>,
}

impl<S: ObjectStore, P: NodeProbe> CommandContext<S, P> {
    /// Compares files with the store and returns the report with the plan for `publish --plan`.
    ///
    /// The plan omits unchanged objects, since others may change them before it is published. It is
    /// `None` if the files are invalid or the store can't be read.
    pub async fn diff(&self, paths: &[PathBuf]) -> (CommandReport, Option<ChangePlan>) {
        match self.build_plan(paths).await {
            Ok(mut plan) => {
                let report = CommandReport::Diff(DiffReport::from_plan(&plan));
                plan.changes.retain(|change| !change.is_unchanged());
                (report, Some(plan))
            }
            Err(report) => (report, None),
        }
    }

    /// Publishes files, or nothing if one of them would replace another operator's content.
    ///
    /// `on_progress` is called after each round of the wait.
    pub async fn publish(
        &self,
        paths: &[PathBuf],
        on_progress: impl FnMut(&InForceReport),
    ) -> CommandReport {
        let plan = match self.build_plan(paths).await {
            Ok(plan) => plan,
            Err(report) => return report,
        };
        let unreviewed: Vec<ChangeReport> = plan
            .replacing_other_operators(&self.operator)
            .into_iter()
            .map(ChangeReport::from_change)
            .collect();
        if !unreviewed.is_empty() {
            return CommandReport::Publish(PublishReport {
                unreviewed,
                ..PublishReport::default()
            });
        }
        self.publish_plan(&plan, on_progress).await
    }

    /// Publishes the changes of a reviewed plan one by one; a failed one doesn't stop the others.
    pub async fn publish_plan(
        &self,
        plan: &ChangePlan,
        on_progress: impl FnMut(&InForceReport),
    ) -> CommandReport {
        let publisher =
            ObjectPublisher::new(&self.store, self.operator.clone(), self.retry_options);
        let mut publications = Vec::with_capacity(plan.changes.len());
        let mut wanted = Vec::new();
        for change in &plan.changes {
            let outcome = publisher.publish(change).await;
            if let Some(version) = outcome.version() {
                wanted.push(WantedVersion {
                    key: change.key.clone(),
                    version,
                });
            }
            publications.push(PublicationReport::from_outcome(change, outcome));
        }
        let in_force = match self.wait_options {
            Some(options) if !wanted.is_empty() => Some(
                self.nodes
                    .wait_until_in_force(&wanted, options, on_progress)
                    .await,
            ),
            _ => None,
        };
        CommandReport::Publish(PublishReport {
            publications,
            unreviewed: Vec::new(),
            in_force,
        })
    }

    /// Publishes the content that an object had at `version`, as a new version.
    pub async fn rollback(
        &self,
        key: &ObjectKey,
        version: StoreVersion,
        on_progress: impl FnMut(&InForceReport),
    ) -> CommandReport {
        let history = match self.read_history(key).await {
            Ok(report) => report,
            Err(report) => return report,
        };
        let Some(entry) = history.history.entry_for_version(version) else {
            let reason = format!("the history of {key} has no version {version}");
            return CommandReport::failure(ExitStatus::Invalid, reason);
        };
        let change = PlannedChange {
            key: key.clone(),
            observed: history.current.clone(),
            body: entry.body.clone(),
        };
        let changes = vec![change];
        self.publish_plan(&ChangePlan { changes }, on_progress)
            .await
    }

    /// Gets an object with the earlier contents that its history keeps.
    pub async fn history(&self, key: &ObjectKey) -> CommandReport {
        match self.read_history(key).await {
            Ok(report) => CommandReport::History(report),
            Err(report) => report,
        }
    }

    /// Publishes the drain of a target, or deletes it if `should_end` is set.
    pub async fn drain_target(
        &self,
        target: &TargetId,
        should_end: bool,
        on_progress: impl FnMut(&InForceReport),
    ) -> CommandReport {
        let key = ObjectKey {
            kind: ObjectKind::Drain,
            name: target.to_string(),
        };
        let body = (!should_end).then(|| "{}".to_owned());
        match PlannedChange::build(&self.store, key, body, self.retry_options).await {
            Ok(change) => {
                let changes = vec![change];
                self.publish_plan(&ChangePlan { changes }, on_progress)
                    .await
            }
            Err(error) => CommandReport::failure(ExitStatus::Failed, error),
        }
    }

    /// Gets the nodes' status and whether the stored versions of `keys` are in force on them.
    pub async fn status(&self, keys: &[ObjectKey]) -> CommandReport {
        let wanted = match self.stored_versions(keys).await {
            Ok(wanted) => wanted,
            Err(error) => return CommandReport::failure(ExitStatus::Failed, error),
        };
        let single_round = WaitOptions {
            limit: TimeSpan::ZERO,
            ..WaitOptions::default()
        };
        CommandReport::Status(StatusReport {
            nodes: self.nodes.statuses().await,
            in_force: Some(
                self.nodes
                    .wait_until_in_force(&wanted, single_round, |_| {})
                    .await,
            ),
        })
    }

    async fn build_plan(&self, paths: &[PathBuf]) -> Result<ChangePlan, CommandReport> {
        let failed = |error| CommandReport::failure(ExitStatus::Failed, error);
        let mut report = CheckReport::read(paths);
        let listed = self
            .retry_options
            .list(&self.store, &[ObjectKind::Team])
            .await
            .map_err(failed)?;
        let teams: BTreeSet<String> = listed
            .objects
            .into_iter()
            .map(|object| object.key.name)
            .collect();
        report.check_teams(&teams);
        if !report.is_clean() {
            return Err(CommandReport::Check(report));
        }
        ChangePlan::build(&self.store, &report.objects, self.retry_options)
            .await
            .map_err(failed)
    }

    async fn read_history(&self, key: &ObjectKey) -> Result<HistoryReport, CommandReport> {
        let failed = |error| CommandReport::failure(ExitStatus::Failed, error);
        let current = self.read_object(key).await.map_err(failed)?;
        let stored = self
            .read_object(&ObjectHistory::history_key(key))
            .await
            .map_err(failed)?;
        let history = ObjectHistory::read(stored.as_ref())
            .map_err(|error| CommandReport::failure(ExitStatus::Failed, error))?;
        Ok(HistoryReport {
            key: key.clone(),
            current,
            history,
        })
    }

    async fn read_object(&self, key: &ObjectKey) -> StoreResult<Option<StoredObject>> {
        self.retry_options.get(&self.store, key).await
    }

    async fn stored_versions(&self, keys: &[ObjectKey]) -> StoreResult<Vec<WantedVersion>> {
        let mut wanted = Vec::with_capacity(keys.len());
        for key in keys {
            let stored = self.read_object(key).await?;
            wanted.push(WantedVersion {
                key: key.clone(),
                version: stored.map(|object| object.version).unwrap_or_default(),
            });
        }
        Ok(wanted)
    }
}
