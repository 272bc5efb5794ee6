//! In-memory platform: object API and host list with injectable faults. Tests use it in process;
//! `platform_server` serves it over HTTP.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::{HostId, StoreEra};
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_store::host_list::{HostListing, HostRecord, HostSource};
use alderhaven_store::object_store::{
    ConditionalWrite, MAX_VALUE_BYTES, ObjectList, ObjectStore, StoreError, StoreResult,
    WatchOutcome, WriteOutcome,
};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::object_table::ObjectTable;
use crate::platform_faults::PlatformFaults;
use crate::rate_limiter::RateLimiter;

/// Bounds the host listings that are kept to simulate a lagging host list.
const MAX_HOST_LISTINGS: usize = 1_000;

/// Platform in memory; clones share the same state.
///
/// It reads tokio's clock, so a test that pauses the clock controls it.
#[derive(Clone, Debug)]
pub struct FakeStore {
    shared: Arc<StoreShared>,
}

#[derive(Debug)]
struct StoreShared {
    state: Mutex<StoreState>,
    changed: Notify,
    started_at: Instant,
}

#[derive(Debug)]
struct StoreState {
    table: ObjectTable,
    faults: PlatformFaults,
    read_limiter: RateLimiter,
    write_limiter: RateLimiter,
    held_writes: Vec<ConditionalWrite>,
    stale_table: Option<ObjectTable>,
    hosts: BTreeMap<HostId, HostRecord>,
    listings: Vec<(TimePoint, HostListing)>,
    call_counts: CallCounts,
}

/// Numbers of calls of the object API, including refused ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Lists and gets.
    pub reads: u64,
    /// Conditional writes.
    pub writes: u64,
    /// Watches; each long poll counts as one.
    pub watches: u64,
    /// Calls that were refused because of the rate limit.
    pub throttled: u64,
}

/// Fault that applies to one write.
enum WriteFault {
    NoFault,
    ReplyLost,
    Dropped,
    Held,
}

impl Default for FakeStore {
    fn default() -> Self {
        Self::new(ObjectTable::default())
    }
}

impl FakeStore {
    /// Creates a platform with the objects of `table`, no hosts and no faults.
    #[must_use]
    pub fn new(table: ObjectTable) -> Self {
        let faults = PlatformFaults::default();
        let state = StoreState {
            table,
            read_limiter: RateLimiter::new(faults.reads_per_second),
            write_limiter: RateLimiter::new(faults.writes_per_second),
            faults,
            held_writes: Vec::new(),
            stale_table: None,
            hosts: BTreeMap::new(),
            listings: Vec::new(),
            call_counts: CallCounts::default(),
        };
        Self {
            shared: Arc::new(StoreShared {
                state: Mutex::new(state),
                changed: Notify::new(),
                started_at: Instant::now(),
            }),
        }
    }

    /// Replaces all fault switches and refills the rate limiters.
    pub fn set_faults(&self, faults: PlatformFaults) {
        let mut state = self.lock_state();
        state.read_limiter = RateLimiter::new(faults.reads_per_second);
        state.write_limiter = RateLimiter::new(faults.writes_per_second);
        state.stale_table = match (faults.stale_list, state.stale_table.take()) {
            (false, _) => None,
            (true, Some(table)) => Some(table),
            (true, None) => Some(state.table.clone()),
        };
        state.faults = faults;
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Returns the fault switches; the counting ones show what is left.
    #[must_use]
    pub fn faults(&self) -> PlatformFaults {
        self.lock_state().faults.clone()
    }

    /// Returns the numbers of calls since the start.
    #[must_use]
    pub fn call_counts(&self) -> CallCounts {
        self.lock_state().call_counts
    }

    /// Returns a copy of the stored objects.
    #[must_use]
    pub fn table(&self) -> ObjectTable {
        self.lock_state().table.clone()
    }

    /// Replaces all objects, as a restore from a backup does.
    pub fn restore(&self, table: ObjectTable) {
        self.lock_state().table = table;
        self.shared.changed.notify_waiters();
    }

    /// Comes back from an older copy of the objects: later writes are lost, revisions continue from the
    /// copy's, and the era rises, also that of the host list.
    pub fn come_back(&self, copy: ObjectTable) {
        let mut state = self.lock_state();
        let StoreEra(era) = state.table.era();
        state.table = copy.in_era(StoreEra(era + 1));
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Returns the era, which rises each time that the store comes back.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.lock_state().table.era()
    }

    /// Writes an object regardless of its version, bypassing faults and rate limits.
    pub fn put(&self, key: ObjectKey, body: Option<String>) {
        let mut state = self.lock_state();
        let expected = state
            .table
            .get(&key)
            .map_or(StoreVersion::default(), |object| object.version);
        let write = ConditionalWrite {
            key,
            expected,
            write_id: uuid::Uuid::new_v4().to_string(),
            body,
        };
        state.table.write(write);
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Applies the held writes in the order of their arrival.
    pub fn release_held_writes(&self) {
        let mut state = self.lock_state();
        for write in std::mem::take(&mut state.held_writes) {
            state.table.write(write);
        }
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Adds or replaces a host of the host list.
    pub fn put_host(&self, record: HostRecord) {
        let now = self.now();
        let mut state = self.lock_state();
        state.hosts.insert(record.host.clone(), record);
        state.record_listing(now);
    }

    /// Removes a host from the host list.
    pub fn remove_host(&self, host: &HostId) {
        let now = self.now();
        let mut state = self.lock_state();
        state.hosts.remove(host);
        state.record_listing(now);
    }

    fn now(&self) -> TimePoint {
        TimePoint::START + TimeSpan::from(self.shared.started_at.elapsed())
    }

    fn lock_state(&self) -> MutexGuard<'_, StoreState> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the delay, then the outage and the rate limit, to a call.
    async fn start_call(
        &self,
        count: impl FnOnce(&mut CallCounts),
        is_write: bool,
    ) -> StoreResult<()> {
        let delay = self.lock_state().faults.delay_ms;
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        let now = self.now();
        let mut state = self.lock_state();
        count(&mut state.call_counts);
        state.admit(now, is_write)
    }
}

impl StoreState {
    fn admit(&mut self, now: TimePoint, is_write: bool) -> StoreResult<()> {
        if self.faults.outage {
            return Err(StoreError::not_done("the object API is unavailable"));
        }
        let limiter = if is_write {
            &mut self.write_limiter
        } else {
            &mut self.read_limiter
        };
        let admitted = limiter.admit(now);
        let wait = match (self.faults.throttle, admitted) {
            (false, Ok(())) => return Ok(()),
            (true, Ok(())) => TimeSpan::from_millis(100),
            (_, Err(wait)) => wait,
        };
        self.call_counts.throttled += 1;
        Err(StoreError::NotDone {
            reason: "rate limit exceeded".to_owned(),
            retry_after: Some(wait),
        })
    }

    /// Consumes the next fault of the counting switches.
    const fn next_write_fault(&mut self) -> WriteFault {
        if self.faults.lose_write_replies > 0 {
            self.faults.lose_write_replies -= 1;
            WriteFault::ReplyLost
        } else if self.faults.drop_writes > 0 {
            self.faults.drop_writes -= 1;
            WriteFault::Dropped
        } else if self.faults.hold_writes > 0 {
            self.faults.hold_writes -= 1;
            WriteFault::Held
        } else {
            WriteFault::NoFault
        }
    }

    fn record_listing(&mut self, now: TimePoint) {
        let revision = self
            .listings
            .last()
            .map_or(0, |(_, listing)| listing.revision.revision)
            + 1;
        let listing = HostListing {
            revision: StoreVersion::of_revision(revision),
            hosts: self.hosts.values().cloned().collect(),
        };
        if self.listings.len() >= MAX_HOST_LISTINGS {
            self.listings.remove(0);
        }
        self.listings.push((now, listing));
    }

    /// Returns the newest listing that is at least `host_lag_ms` old.
    fn lagging_listing(&self, now: TimePoint) -> HostListing {
        let lag = TimeSpan::from_millis(self.faults.host_lag_ms);
        self.listings
            .iter()
            .rev()
            .find(|(recorded_at, _)| now.since(*recorded_at) >= lag)
            .map(|(_, listing)| listing.clone())
            .unwrap_or_default()
    }
}

impl ObjectStore for FakeStore {
    async fn list(&self, kinds: &[ObjectKind]) -> StoreResult<ObjectList> {
        self.start_call(|calls| calls.reads += 1, false).await?;
        let state = self.lock_state();
        Ok(state
            .stale_table
            .as_ref()
            .unwrap_or(&state.table)
            .list(kinds))
    }

    async fn get(&self, key: &ObjectKey) -> StoreResult<Option<StoredObject>> {
        self.start_call(|calls| calls.reads += 1, false).await?;
        Ok(self.lock_state().table.read(key))
    }

    async fn write(&self, write: ConditionalWrite) -> StoreResult<WriteOutcome> {
        if write
            .body
            .as_ref()
            .is_some_and(|body| body.len() > MAX_VALUE_BYTES)
        {
            return Err(StoreError::not_done("the value exceeds the size limit"));
        }
        self.start_call(|calls| calls.writes += 1, true).await?;
        let mut state = self.lock_state();
        let outcome = match state.next_write_fault() {
            WriteFault::NoFault => write_in_era(&mut state.table, write),
            WriteFault::ReplyLost => {
                state.table.write(write);
                Err(StoreError::unknown("the reply was lost"))
            }
            WriteFault::Dropped => Err(StoreError::unknown("the request was lost")),
            WriteFault::Held => {
                state.held_writes.push(write);
                Err(StoreError::unknown("the request is delayed"))
            }
        };
        drop(state);
        self.shared.changed.notify_waiters();
        outcome
    }

    async fn watch(
        &self,
        kinds: &[ObjectKind],
        after: StoreVersion,
        wait: TimeSpan,
    ) -> StoreResult<WatchOutcome> {
        self.start_call(|calls| calls.watches += 1, false).await?;
        let end = Instant::now() + wait.as_duration();
        loop {
            // Register for the notification before reading the table, so that no change is missed.
            let mut changed = std::pin::pin!(self.shared.changed.notified());
            changed.as_mut().enable();
            let outcome = {
                let state = self.lock_state();
                if state.faults.outage {
                    return Err(StoreError::unknown("the watch was aborted"));
                }
                state.table.changes(kinds, after)
            };
            let is_empty =
                matches!(&outcome, WatchOutcome::Changes(list) if list.objects.is_empty());
            if !is_empty || tokio::time::timeout_at(end, changed).await.is_err() {
                return Ok(outcome);
            }
        }
    }
}

/// Writes like a client, which learns of another era only after the write.
fn write_in_era(table: &mut ObjectTable, write: ConditionalWrite) -> StoreResult<WriteOutcome> {
    let era_check = write.check_era(table.era());
    let outcome = table.write(write);
    match outcome {
        WriteOutcome::Written(_) => era_check.map(|()| outcome),
        WriteOutcome::Conflict(_) => Ok(outcome),
    }
}

impl HostSource for FakeStore {
    async fn hosts(&self) -> StoreResult<HostListing> {
        let now = self.now();
        let state = self.lock_state();
        if state.faults.hosts_outage {
            return Err(StoreError::not_done("the host list is unavailable"));
        }
        let mut listing = state.lagging_listing(now);
        listing.revision = listing.revision.in_era(state.table.era());
        Ok(listing)
    }
}
