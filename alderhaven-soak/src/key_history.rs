//! The keys of a run, as the published configurations held them.

use std::collections::BTreeMap;

use alderhaven_core::time::TimePoint;

use crate::soak_history::ConfigRecord;

/// When configurations held a key. A key that was removed never returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyHistory<'h> {
    /// The team of the key.
    pub team: &'h str,
    /// The number of configurations that held it.
    pub config_count: usize,
    /// When the store accepted the configuration that removed it; `None` while it is valid.
    pub removed_at: Option<TimePoint>,
}

/// Collects all keys of all configurations.
#[must_use]
pub fn collect(configs: &[ConfigRecord]) -> BTreeMap<&str, KeyHistory<'_>> {
    let mut keys: BTreeMap<&str, KeyHistory<'_>> = BTreeMap::new();
    for config in configs {
        for (key, history) in &mut keys {
            if history.removed_at.is_none() && config.team_of(key).is_none() {
                history.removed_at = Some(config.accepted_at);
            }
        }
        for team in &config.teams {
            for key in &team.keys {
                let history = keys.entry(key).or_insert(KeyHistory {
                    team: &team.name,
                    config_count: 0,
                    removed_at: None,
                });
                history.config_count += 1;
            }
        }
    }
    keys
}
