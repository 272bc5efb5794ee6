//! Workload of a deployment: teams, templates and their mix, from the YAML files in `workloads/`.

use std::collections::BTreeMap;

use alderhaven_core::class::{AnswerPreference, QueryClass};
use alderhaven_core::errors::{Error, Result};
use alderhaven_core::ids::{TeamId, TemplateName};
use alderhaven_core::settings;
use alderhaven_core::team::TeamPolicy;
use alderhaven_core::template::{QueryTemplate, ShardSelection};
use alderhaven_core::time::TimeSpan;
use alderhaven_standin::object_set::ObjectSet;
use alderhaven_standin::service_layout::{DeploymentKind, ServiceLayout};
use serde::{Deserialize, Serialize};

const VOLTA_YAML: &str = include_str!("../workloads/volta.yaml");
const LAGERBLIK_YAML: &str = include_str!("../workloads/lagerblik.yaml");

/// Mean run time of a long job's attempts, many times that of a short query.
const LONG_JOB_MEAN_RUN_TIME: TimeSpan = TimeSpan::from_secs(1);
/// Deadline of long jobs.
const LONG_JOB_DEADLINE: TimeSpan = TimeSpan::from_secs(20);
/// Share of a service's capacity that long jobs take.
const LONG_JOB_CAPACITY_SHARE: f64 = 0.2;

/// Content of a workload file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkloadFile {
    /// Teams that send queries.
    pub teams: Vec<TeamPolicy>,
    /// Templates that are published.
    pub templates: Vec<QueryTemplate>,
    /// How often each template is queried.
    pub mix: Vec<MixEntry>,
}

/// How often a template is queried and by which teams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixEntry {
    /// Name of the queried template.
    pub template: TemplateName,
    /// Share of the service's capacity that the template takes at load 1.
    #[serde(rename = "share")]
    pub capacity_share: f64,
    /// Mean run time of an attempt at a target.
    #[serde(rename = "mean")]
    pub mean_run_time: TimeSpan,
    /// Parameter that gets a unique value in each query, so that runs can be attributed.
    #[serde(rename = "tag")]
    pub unique_parameter: String,
    /// Querying teams with their shares of the queries.
    pub teams: BTreeMap<TeamId, f64>,
}

/// Template with its entry of the mix and its service.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadTemplate {
    /// Rate, run time and teams.
    pub mix_entry: MixEntry,
    /// Definition of the template.
    pub template: QueryTemplate,
    /// Service that the template reads.
    pub layout: ServiceLayout,
}

/// Teams, templates and services of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// Teams that send queries.
    pub teams: Vec<TeamPolicy>,
    /// Templates of the base load.
    pub mix: Vec<WorkloadTemplate>,
    /// Services, with the run times of the mix.
    pub layouts: Vec<ServiceLayout>,
    /// Long jobs, which aren't part of the mix.
    pub long_jobs: Vec<WorkloadTemplate>,
}

impl WorkloadTemplate {
    /// Returns how many shards a query reads.
    #[must_use]
    pub fn shard_count(&self) -> u32 {
        match &self.template.shards {
            ShardSelection::All => self.layout.shards,
            ShardSelection::ByKeyHash { .. } | ShardSelection::ByKeyRange { .. } => 1,
            ShardSelection::Listed { shards } => u32::try_from(shards.len()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the mean work of a query in slot seconds: one attempt per shard.
    #[must_use]
    pub fn mean_work(&self) -> f64 {
        f64::from(self.shard_count()) * self.mix_entry.mean_run_time.as_secs_f64()
    }

    /// Returns the queries per second at load 1.
    #[must_use]
    pub fn rate_at_full_load(&self) -> f64 {
        self.mix_entry.capacity_share * slot_count(&self.layout) / self.mean_work()
    }
}

impl Workload {
    /// Loads the workload of a deployment.
    ///
    /// # Errors
    /// `Error::Invalid` where the deployment's file is invalid.
    pub fn for_deployment(deployment: DeploymentKind) -> Result<Self> {
        let text = match deployment {
            DeploymentKind::Volta => VOLTA_YAML,
            DeploymentKind::Lagerblik => LAGERBLIK_YAML,
        };
        let path = format!("workloads/{deployment}.yaml");
        Self::from_file(settings::read_text(&path, text)?, deployment.layouts())
    }

    /// Combines a workload file with the services that it queries.
    ///
    /// # Errors
    /// `Error::Invalid` for an unknown template or service.
    pub fn from_file(file: WorkloadFile, mut layouts: Vec<ServiceLayout>) -> Result<Self> {
        let mut mix = Vec::new();
        for mix_entry in file.mix {
            let template = file
                .templates
                .iter()
                .find(|template| template.name == mix_entry.template)
                .cloned()
                .ok_or_else(|| missing_error("mix.template", &mix_entry.template))?;
            let layout = layouts
                .iter_mut()
                .find(|layout| layout.service == template.service)
                .ok_or_else(|| missing_error("templates.service", &template.service))?;
            let name = mix_entry.template.to_string();
            layout
                .service_time
                .templates
                .insert(name, mix_entry.mean_run_time);
            mix.push(WorkloadTemplate {
                mix_entry,
                template,
                layout: layout.clone(),
            });
        }
        Ok(Self {
            teams: file.teams,
            mix,
            layouts,
            long_jobs: Vec::new(),
        })
    }

    /// Adds long jobs at the services of urgent templates: bulk queries by the same teams.
    ///
    /// # Errors
    /// `Error::Parse` where a template's name is too long.
    pub fn add_long_jobs(&mut self) -> Result<()> {
        let is_urgent = |entry: &&WorkloadTemplate| entry.template.class == QueryClass::Urgent;
        let urgent: Vec<WorkloadTemplate> = self.mix.iter().filter(is_urgent).cloned().collect();
        for mut workload_template in urgent {
            let name: TemplateName = format!("{}-long", workload_template.template.name).parse()?;
            workload_template.template.name = name.clone();
            workload_template.template.class = QueryClass::Bulk;
            workload_template.template.preference = AnswerPreference::Coverage;
            workload_template.template.answer_by = None;
            workload_template.template.min_coverage = None;
            workload_template.template.deadline = LONG_JOB_DEADLINE;
            workload_template.mix_entry.template = name.clone();
            workload_template.mix_entry.mean_run_time = LONG_JOB_MEAN_RUN_TIME;
            workload_template.mix_entry.capacity_share = LONG_JOB_CAPACITY_SHARE;
            for layout in &mut self.layouts {
                if layout.service == workload_template.template.service {
                    let templates = &mut layout.service_time.templates;
                    templates.insert(name.to_string(), LONG_JOB_MEAN_RUN_TIME);
                }
            }
            self.long_jobs.push(workload_template);
        }
        Ok(())
    }

    /// Returns the objects to publish.
    #[must_use]
    pub fn objects(&self) -> ObjectSet {
        ObjectSet {
            templates: self
                .mix
                .iter()
                .chain(&self.long_jobs)
                .map(|workload_template| workload_template.template.clone())
                .collect(),
            teams: self.teams.clone(),
            manifests: Vec::new(),
        }
    }

    /// Returns the queries per second at load 1.
    #[must_use]
    pub fn rate_at_full_load(&self) -> f64 {
        self.mix
            .iter()
            .map(WorkloadTemplate::rate_at_full_load)
            .sum()
    }

    /// Returns the slots of all services of the mix, which is their work per second.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.layouts
            .iter()
            .filter(|layout| {
                self.mix
                    .iter()
                    .any(|workload_template| workload_template.layout.service == layout.service)
            })
            .map(slot_count)
            .sum()
    }

    /// Returns the weight of a team; 1 for an unknown one.
    #[must_use]
    pub fn team_weight(&self, team: &TeamId) -> f64 {
        self.teams
            .iter()
            .find(|policy| policy.name == *team)
            .map_or(1.0, |policy| f64::from(policy.weight))
    }
}

fn slot_count(layout: &ServiceLayout) -> f64 {
    f64::from(layout.shards) * f64::from(layout.replicas) * f64::from(layout.slots)
}

fn missing_error(field: &str, name: &impl std::fmt::Display) -> Error {
    Error::invalid(field, format!("`{name}` is not defined"))
}
