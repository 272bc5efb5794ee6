//! What a proof's cluster is made of.

use std::path::PathBuf;

use alderhaven_core::class::{AnswerPreference, QueryClass};
use alderhaven_core::errors::Result;
use alderhaven_core::ids::ServiceName;
use alderhaven_core::parameters::{ParameterKind, ParameterSpec};
use alderhaven_core::team::TeamPolicy;
use alderhaven_core::template::{MergeRule, QueryTemplate, ShardSelection};
use alderhaven_core::time::TimeSpan;
use alderhaven_standin::service_layout::ServiceLayout;
use alderhaven_standin::service_time::ServiceTime;

use crate::caller::{PARAMETER, TEAM};

/// The template that asks every shard and may be repeated.
pub const FAN_OUT_TEMPLATE: &str = "sweep";
/// The template that asks one shard and must run at most once.
pub const RESERVATION_TEMPLATE: &str = "reserve";
/// The service of all proofs.
pub const SERVICE: &str = "sample";

/// A `ProofBinaries` says where the binaries are and where files may be written.
#[derive(Clone, Debug)]
pub struct TestBinaries {
    /// The stand-ins.
    pub standin: PathBuf,
    /// The relay.
    pub relay: PathBuf,
    /// The entry.
    pub entry: PathBuf,
    /// The operators' tool.
    pub alderctl: PathBuf,
    /// The directory for settings files.
    pub scratch_base: PathBuf,
}

/// A `ClusterOptions` says which processes run and how slow the targets are.
#[derive(Clone, Debug, bon::Builder)]
pub struct ClusterOptions {
    /// For each shard the processes that hold its replicas, by number from 0.
    #[builder(default = vec![vec![0, 1]; 4])]
    pub placement: Vec<Vec<usize>>,
    /// The number of relays.
    #[builder(default = 2)]
    pub relays: usize,
    /// The number of entries.
    #[builder(default = 1)]
    pub entries: usize,
    /// The mean run time at targets.
    #[builder(default = TimeSpan::from_millis(2))]
    pub run_time: TimeSpan,
    /// The spread of run times; 0 makes all runs equally long.
    #[builder(default)]
    pub spread: f64,
    /// The deadline of the templates.
    #[builder(default = TimeSpan::from_secs(20))]
    pub deadline: TimeSpan,
    /// The silence after which an entry replaces its link to a relay; none for the entry's default,
    /// zero for never.
    pub link_silence: Option<TimeSpan>,
    /// Whether the nodes form a group, in which entries find the relays by themselves.
    #[builder(default)]
    pub is_group: bool,
}

impl ClusterOptions {
    /// Gets the number of shards.
    #[must_use]
    pub const fn shards(&self) -> usize {
        self.placement.len()
    }

    /// Gets the number of target processes.
    #[must_use]
    pub fn target_processes(&self) -> usize {
        let highest = self.placement.iter().flatten().max();
        highest.map_or(0, |number| number + 1)
    }

    /// Gets the layout of each target process: one target for every shard.
    ///
    /// # Errors
    /// Where the service's name does not follow the rule for names.
    pub fn layout(&self) -> Result<ServiceLayout> {
        Ok(ServiceLayout {
            service: SERVICE.parse()?,
            shards: u32::try_from(self.shards()).unwrap_or(u32::MAX),
            replicas: 1,
            service_time: ServiceTime {
                mean: self.run_time,
                sigma: self.spread,
                ..ServiceTime::default()
            },
            ..ServiceLayout::default()
        })
    }

    /// Gets the templates of the proofs.
    ///
    /// # Errors
    /// Where a name does not follow the rule for names.
    pub fn templates(&self) -> Result<Vec<QueryTemplate>> {
        let by_key = ShardSelection::ByKeyHash {
            parameter: PARAMETER.to_owned(),
        };
        Ok(vec![
            self.template(FAN_OUT_TEMPLATE, ShardSelection::All, true)?,
            self.template(RESERVATION_TEMPLATE, by_key, false)?,
        ])
    }

    /// Gets the team of the proofs.
    ///
    /// # Errors
    /// Where the name does not follow the rule for names.
    pub fn team(&self) -> Result<TeamPolicy> {
        Ok(TeamPolicy {
            name: TEAM.parse()?,
            weight: 1,
            max_rate: None,
            max_in_flight: None,
            token_hash: None,
        })
    }

    fn template(
        &self,
        name: &str,
        shards: ShardSelection,
        idempotent: bool,
    ) -> Result<QueryTemplate> {
        let spec = ParameterSpec {
            kind: ParameterKind::Text { max_length: 64 },
            default: None,
        };
        Ok(QueryTemplate {
            name: name.parse()?,
            service: SERVICE.parse::<ServiceName>()?,
            parameters: [(PARAMETER.to_owned(), spec)].into(),
            team_values: [].into(),
            teams: Vec::new(),
            shards,
            merge: MergeRule::Concatenate,
            idempotent,
            class: QueryClass::Ordinary,
            deadline: self.deadline,
            answer_by: None,
            min_coverage: None,
            preference: AnswerPreference::Coverage,
        })
    }
}
