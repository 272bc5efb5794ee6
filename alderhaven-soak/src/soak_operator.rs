//! The operator: it writes one configuration after the other.

use alderhaven_platform_standin::store_fixtures;
use alderhaven_platform_standin::store_standin::StoreStandin;

use crate::soak_history::{ConfigRecord, HistoryLog};
use crate::soak_site::{self, ShardSet};

/// The versions whose own routes a configuration holds: the newest ones.
const KEPT_MARKS: usize = 2;
/// By how much versions grow: they come in uneven steps.
const VERSION_STEPS: [u64; 3] = [1, 4, 2];

/// A `SoakOperator` writes configurations.
#[derive(Debug)]
pub struct SoakOperator {
    log: HistoryLog,
    store: StoreStandin,
    latest: ConfigRecord,
    writes: usize,
}

impl SoakOperator {
    /// Returns an operator that has written the first configuration.
    #[must_use]
    pub fn start(log: HistoryLog, store: StoreStandin) -> Self {
        let first = ConfigRecord {
            version: 1,
            acked: log.now(),
            shards: ShardSet::default(),
            marks: vec![1],
        };
        let mut operator = Self {
            log,
            store,
            latest: first.clone(),
            writes: 0,
        };
        operator.write(first);
        operator
    }

    /// Writes a configuration with a route of its own; the oldest such route goes.
    pub fn change(&mut self) {
        let mut next = self.latest.clone();
        next.version += VERSION_STEPS[self.writes % VERSION_STEPS.len()];
        next.marks.push(next.version);
        let surplus = next.marks.len().saturating_sub(KEPT_MARKS);
        next.marks.drain(..surplus);
        self.write(next);
    }

    /// Writes a configuration with the other set of shards.
    pub fn reshard(&mut self) {
        self.latest.shards = self.latest.shards.other();
        self.change();
    }

    fn write(&mut self, mut config: ConfigRecord) {
        let (kind, name) = store_fixtures::CONFIG_KEY;
        // The lock is held while the store takes it: nobody sees it in force before it is noted.
        let mut history = self.log.lock();
        self.store.put(kind, name, soak_site::config_text(&config));
        config.acked = self.log.now();
        history.configs.push(config.clone());
        drop(history);
        self.latest = config;
        self.writes += 1;
    }
}
