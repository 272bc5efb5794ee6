//! A fake object store with scripted faults and a log of the writes that took effect.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_store::object_store::{
    ConditionalWrite, ObjectList, ObjectStore, StoreError, StoreResult, WatchOutcome, WriteOutcome,
};

/// The fault of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// The call succeeds.
    None,
    /// The call is refused and has no effect.
    Refused,
    /// The request is lost and has no effect.
    LostBefore,
    /// The call takes effect, but its reply is lost.
    LostAfter,
    /// The reply is lost, and a write takes effect only after this many further calls.
    Late(u8),
}

/// A write that took effect.
#[derive(Clone, Debug)]
pub struct AppliedWrite {
    /// The object as written.
    pub object: StoredObject,
    /// The object or tombstone that it replaced.
    pub replaced: Option<StoredObject>,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<ObjectKey, StoredObject>,
    applied_writes: Vec<AppliedWrite>,
    late_writes: Vec<(u8, ConditionalWrite)>,
    script: VecDeque<(u8, StoreFault)>,
    fault_count: usize,
}

/// A fake store in which each call takes the next step of a script.
///
/// A step is the number of times that the call yields to other tasks first, and its fault. Calls
/// after the end of the script succeed.
#[derive(Default)]
pub struct ScriptedStore {
    state: Mutex<StoreState>,
}

impl ScriptedStore {
    /// Returns an empty store that follows `script`.
    pub fn new(script: impl IntoIterator<Item = (u8, StoreFault)>) -> Self {
        let store = Self::default();
        store.lock().script.extend(script);
        store
    }

    /// Writes an object at its current version, without taking a step of the script.
    pub fn seed(&self, key: &ObjectKey, write_id: &str, body: Option<&str>) -> StoreVersion {
        let mut state = self.lock();
        let expected = state.current_version(key);
        let write = ConditionalWrite {
            key: key.clone(),
            expected,
            write_id: write_id.to_owned(),
            body: body.map(ToOwned::to_owned),
        };
        match state.apply(write) {
            WriteOutcome::Written(version) => version,
            WriteOutcome::Conflict(_) => unreachable!("the version was read under the same lock"),
        }
    }

    /// Gets an object without taking a step of the script.
    pub fn peek(&self, key: &ObjectKey) -> Option<StoredObject> {
        self.lock().objects.get(key).cloned()
    }

    /// Applies all late writes and gets the writes that took effect, except those of histories.
    pub fn finish(&self) -> Vec<AppliedWrite> {
        let mut state = self.lock();
        for (_, write) in std::mem::take(&mut state.late_writes) {
            state.apply(write);
        }
        state
            .applied_writes
            .iter()
            .filter(|applied| applied.object.key.kind != ObjectKind::History)
            .cloned()
            .collect()
    }

    /// Gets the number of calls with a fault so far.
    pub fn fault_count(&self) -> usize {
        self.lock().fault_count
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn next_fault(&self) -> StoreFault {
        let (yields, fault) = {
            let mut state = self.lock();
            state.apply_due_writes();
            let step = state.script.pop_front().unwrap_or((0, StoreFault::None));
            state.fault_count += usize::from(step.1 != StoreFault::None);
            step
        };
        for _ in 0..yields {
            tokio::task::yield_now().await;
        }
        fault
    }
}

impl StoreState {
    fn current_version(&self, key: &ObjectKey) -> StoreVersion {
        self.objects
            .get(key)
            .map(|object| object.version)
            .unwrap_or_default()
    }

    fn apply(&mut self, write: ConditionalWrite) -> WriteOutcome {
        let replaced = self.objects.get(&write.key).cloned();
        let is_tombstone = replaced
            .as_ref()
            .is_some_and(|object| object.body.is_none());
        let may_create = is_tombstone && write.expected == StoreVersion::default();
        if self.current_version(&write.key) != write.expected && !may_create {
            return WriteOutcome::Conflict(replaced);
        }
        self.revision += 1;
        let object = StoredObject {
            key: write.key.clone(),
            version: StoreVersion::of_revision(self.revision),
            write_id: write.write_id,
            body: write.body,
        };
        self.objects.insert(write.key, object.clone());
        self.applied_writes.push(AppliedWrite { object, replaced });
        WriteOutcome::Written(StoreVersion::of_revision(self.revision))
    }

    fn apply_due_writes(&mut self) {
        for (remaining_calls, _) in &mut self.late_writes {
            *remaining_calls = remaining_calls.saturating_sub(1);
        }
        let (due, waiting) = std::mem::take(&mut self.late_writes)
            .into_iter()
            .partition(|(remaining_calls, _)| *remaining_calls == 0);
        self.late_writes = waiting;
        let due: Vec<(u8, ConditionalWrite)> = due;
        for (_, write) in due {
            self.apply(write);
        }
    }
}

impl ObjectStore for ScriptedStore {
    async fn list(&self, kinds: &[ObjectKind]) -> StoreResult<ObjectList> {
        match self.next_fault().await {
            StoreFault::None => {}
            fault => return Err(read_error(fault)),
        }
        let state = self.lock();
        let objects = state
            .objects
            .values()
            .filter(|object| kinds.contains(&object.key.kind) && object.body.is_some())
            .cloned()
            .collect();
        Ok(ObjectList {
            revision: StoreVersion::of_revision(state.revision),
            objects,
        })
    }

    async fn get(&self, key: &ObjectKey) -> StoreResult<Option<StoredObject>> {
        match self.next_fault().await {
            StoreFault::None => Ok(self.lock().objects.get(key).cloned()),
            fault => Err(read_error(fault)),
        }
    }

    async fn write(&self, write: ConditionalWrite) -> StoreResult<WriteOutcome> {
        let fault = self.next_fault().await;
        let mut state = self.lock();
        match fault {
            StoreFault::None => Ok(state.apply(write)),
            StoreFault::Refused => Err(StoreError::not_done("above the rate")),
            StoreFault::LostBefore => Err(StoreError::unknown("connection reset")),
            StoreFault::LostAfter => {
                state.apply(write);
                Err(StoreError::unknown("connection reset"))
            }
            StoreFault::Late(remaining_calls) => {
                state.late_writes.push((remaining_calls.max(1), write));
                Err(StoreError::unknown("timeout"))
            }
        }
    }

    async fn watch(
        &self,
        _kinds: &[ObjectKind],
        _after: StoreVersion,
        _wait: TimeSpan,
    ) -> StoreResult<WatchOutcome> {
        Err(StoreError::not_done("publishers do not watch"))
    }
}

fn read_error(fault: StoreFault) -> StoreError {
    match fault {
        StoreFault::None | StoreFault::Refused => StoreError::not_done("out of service"),
        StoreFault::LostBefore | StoreFault::LostAfter | StoreFault::Late(_) => {
            StoreError::unknown("connection reset")
        }
    }
}
