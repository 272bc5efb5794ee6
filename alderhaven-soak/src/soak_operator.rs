//! The operator, who publishes configurations to the store.

use alderhaven_platform_standin::store_fixtures;
use alderhaven_platform_standin::store_standin::StoreStandin;

use crate::soak_history::{ConfigRecord, HistoryLog};
use crate::soak_team::SoakTeam;
use crate::soak_workload::{self, ShardSet};
use crate::team_change::TeamChange;

/// The most version routes in a configuration; a change drops the oldest beyond this.
const MAX_VERSION_ROUTES: usize = 2;
/// The increments between versions, used in rotation, so that versions are not consecutive.
const VERSION_INCREMENTS: [u64; 3] = [1, 4, 2];

/// Publishes configurations and records each in the history.
#[derive(Debug)]
pub struct SoakOperator {
    log: HistoryLog,
    store: StoreStandin,
    latest_config: ConfigRecord,
    write_count: usize,
}

impl SoakOperator {
    /// Creates the operator and publishes the first configuration.
    #[must_use]
    pub fn start(log: HistoryLog, store: StoreStandin, teams: Vec<SoakTeam>) -> Self {
        let first = ConfigRecord {
            version: 1,
            accepted_at: log.now(),
            shards: ShardSet::default(),
            version_routes: vec![1],
            teams,
        };
        let mut operator = Self {
            log,
            store,
            latest_config: first.clone(),
            write_count: 0,
        };
        operator.publish(first);
        operator
    }

    /// Publishes a configuration with a new version route and without the oldest one.
    pub fn change_config(&mut self) {
        let mut next = self.latest_config.clone();
        next.version += VERSION_INCREMENTS[self.write_count % VERSION_INCREMENTS.len()];
        next.version_routes.push(next.version);
        let surplus = next.version_routes.len().saturating_sub(MAX_VERSION_ROUTES);
        next.version_routes.drain(..surplus);
        self.publish(next);
    }

    /// Publishes a configuration with the other set of shards.
    pub fn reshard(&mut self) {
        self.latest_config.shards = self.latest_config.shards.other();
        self.change_config();
    }

    /// Publishes a configuration in which a team is changed, or changes what callers send.
    pub fn change_team(&mut self, change: TeamChange) {
        let teams = &mut self.latest_config.teams;
        if teams.is_empty() {
            return;
        }
        let count = teams.len();
        match change {
            TeamChange::RotateKey(index) => teams[index % count].rotate_key(),
            TeamChange::LowerLimit(index) => teams[index % count].is_lowered = true,
            TeamChange::RaiseLimit(index) => teams[index % count].is_lowered = false,
            TeamChange::StartSurge(index) => {
                self.log.lock().surging_team = Some(index % count);
                return;
            }
            TeamChange::EndSurge => {
                self.log.lock().surging_team = None;
                return;
            }
        }
        self.change_config();
    }

    fn publish(&mut self, mut config: ConfigRecord) {
        let (kind, name) = store_fixtures::CONFIG_KEY;
        // Locked across the write, so that no caller records an effect of the configuration before
        // the configuration itself is recorded.
        let mut history = self.log.lock();
        self.store
            .put(kind, name, soak_workload::config_json(&config));
        config.accepted_at = self.log.now();
        history.configs.push(config.clone());
        drop(history);
        self.latest_config = config;
        self.write_count += 1;
    }
}
