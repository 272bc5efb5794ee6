//! The options of a cluster under test: its processes, templates and team.

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

/// The idempotent template that queries every shard.
pub const FAN_OUT_TEMPLATE: &str = "sweep";
/// The template that queries one shard and must run at most once.
pub const RESERVATION_TEMPLATE: &str = "reserve";
/// The service of all templates.
pub const SERVICE: &str = "sample";

/// The paths of the binaries under test and of the directory for files.
#[derive(Clone, Debug)]
pub struct TestBinaries {
    /// The binary of the stand-ins, which runs the platform or targets.
    pub standin: PathBuf,
    /// The relay binary.
    pub relay: PathBuf,
    /// The entry binary.
    pub entry: PathBuf,
    /// The binary of the operators' tool.
    pub alderctl: PathBuf,
    /// The directory under which scratch directories are created.
    pub scratch_base: PathBuf,
}

/// The number of processes, the placement of replicas and the service times of a cluster.
#[derive(Clone, Debug, bon::Builder)]
pub struct ClusterOptions {
    /// For each shard, the numbers of the target processes with its replicas, from 0.
    #[builder(default = vec![vec![0, 1]; 4])]
    pub placement: Vec<Vec<usize>>,
    /// The number of relays.
    #[builder(default = 2)]
    pub relays: usize,
    /// The number of entries.
    #[builder(default = 1)]
    pub entries: usize,
    /// The mean service time of targets.
    #[builder(default = TimeSpan::from_millis(2))]
    pub run_time: TimeSpan,
    /// The sigma of the service time's distribution; 0 makes all runs equally long.
    #[builder(default)]
    pub spread: f64,
    /// The deadline of all templates.
    #[builder(default = TimeSpan::from_secs(20))]
    pub deadline: TimeSpan,
    /// The silence after which an entry replaces its link to a relay; `None` for the entry's
    /// default, zero for never.
    pub link_silence: Option<TimeSpan>,
    /// Whether the nodes gossip, so that entries discover the relays instead of having their
    /// addresses in the settings.
    #[builder(default)]
    pub is_group: bool,
}

impl ClusterOptions {
    /// Returns the number of shards.
    #[must_use]
    pub const fn shards(&self) -> usize {
        self.placement.len()
    }

    /// Returns the number of target processes: one more than the highest number in the placement.
    #[must_use]
    pub fn target_processes(&self) -> usize {
        let highest = self.placement.iter().flatten().max();
        highest.map_or(0, |number| number + 1)
    }

    /// Builds the layout of each target process, with one target for every shard.
    ///
    /// # Errors
    /// The service name is invalid.
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

    /// Builds the templates that the tests query.
    ///
    /// # Errors
    /// A name is invalid.
    pub fn templates(&self) -> Result<Vec<QueryTemplate>> {
        let by_key = ShardSelection::ByKeyHash {
            parameter: PARAMETER.to_owned(),
        };
        Ok(vec![
            self.template(FAN_OUT_TEMPLATE, ShardSelection::All, true)?,
            self.template(RESERVATION_TEMPLATE, by_key, false)?,
        ])
    }

    /// Builds the policy of the team that sends the queries, without limits.
    ///
    /// # Errors
    /// The team name is invalid.
    pub fn team(&self) -> Result<TeamPolicy> {
        Ok(TeamPolicy {
            name: TEAM.parse()?,
            weight: 1,
            max_rate: None,
            max_in_flight: None,
            burst: None,
            rank: None,
            token_hash: None,
            other_token_hashes: Vec::new(),
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
