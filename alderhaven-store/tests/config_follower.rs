//! Tests of the configuration follower against a scripted object store.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::StoreEra;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::restored_store::RESTORE_GRACE;
use alderhaven_standin::fake_store::FakeStore;
use alderhaven_store::config_follower::{ConfigFollower, FollowerOptions};
use alderhaven_store::config_handle::{ConfigHandle, StoreSyncState};
use alderhaven_store::http_client::ClientOptions;
use alderhaven_store::object_store::{
    ConditionalWrite, ObjectList, ObjectStore, StoreError, StoreResult, WatchOutcome, WriteOutcome,
};
use tokio::time;
use tokio_util::sync::CancellationToken;

/// Bound of a wait in the tests' paused time.
const WAIT_BOUND: TimeSpan = TimeSpan::from_secs(60);

/// Scripted result of one call.
enum Answer {
    List(StoreResult<ObjectList>),
    Watch(StoreResult<WatchOutcome>),
}

/// Store that gives its answers in order and panics at a call of another kind. Without further answers,
/// calls never complete.
struct ScriptedStore {
    answers: Mutex<VecDeque<Answer>>,
    calls: Mutex<Vec<String>>,
}

impl ScriptedStore {
    fn new(answers: impl IntoIterator<Item = Answer>) -> Arc<Self> {
        Arc::new(Self {
            answers: Mutex::new(answers.into_iter().collect()),
            calls: Mutex::default(),
        })
    }

    async fn next_answer(&self, call: String) -> Answer {
        self.calls.lock().expect("calls").push(call);
        let answer = self.answers.lock().expect("answers").pop_front();
        match answer {
            Some(answer) => answer,
            None => std::future::pending().await,
        }
    }

    async fn wait_for_calls(&self, count: usize) -> Vec<String> {
        for _ in 0..WAIT_BOUND.as_millis() {
            let calls = self.calls.lock().expect("calls").clone();
            if calls.len() >= count {
                return calls;
            }
            time::sleep(TimeSpan::from_millis(1).as_duration()).await;
        }
        panic!("the follower made fewer than {count} calls in {WAIT_BOUND}");
    }
}

impl ObjectStore for ScriptedStore {
    async fn list(&self, _kinds: &[ObjectKind]) -> StoreResult<ObjectList> {
        match self.next_answer("list".to_owned()).await {
            Answer::List(result) => result,
            Answer::Watch(_) => panic!("the follower called list, expected watch"),
        }
    }

    async fn get(&self, _key: &ObjectKey) -> StoreResult<Option<StoredObject>> {
        panic!("the follower called get, expected list or watch")
    }

    async fn write(&self, _write: ConditionalWrite) -> StoreResult<WriteOutcome> {
        panic!("the follower called write, expected list or watch")
    }

    async fn watch(
        &self,
        _kinds: &[ObjectKind],
        after: StoreVersion,
        _wait: TimeSpan,
    ) -> StoreResult<WatchOutcome> {
        match self.next_answer(format!("watch {after}")).await {
            Answer::Watch(result) => result,
            Answer::List(_) => panic!("the follower called watch, expected list"),
        }
    }
}

fn drain_objects(revision: u64, names: &[&str]) -> ObjectList {
    let drain = |name: &&str| StoredObject {
        key: ObjectKey {
            kind: ObjectKind::Drain,
            name: (*name).to_owned(),
        },
        version: StoreVersion::of_revision(revision),
        write_id: format!("w{revision}"),
        body: Some("{}".to_owned()),
    };
    ObjectList {
        revision: StoreVersion::of_revision(revision),
        objects: names.iter().map(drain).collect(),
    }
}

fn list_answer(revision: u64, names: &[&str]) -> Answer {
    Answer::List(Ok(drain_objects(revision, names)))
}

fn changes_answer(revision: u64, names: &[&str]) -> Answer {
    Answer::Watch(Ok(WatchOutcome::Changes(drain_objects(revision, names))))
}

fn unavailable_error() -> StoreError {
    StoreError::not_done("down")
}

fn start_follower(store: &Arc<ScriptedStore>) -> ConfigHandle {
    let options = FollowerOptions::default();
    ConfigFollower::start(Arc::clone(store), options, CancellationToken::new())
}

async fn wait_for_drains(handle: &ConfigHandle, names: &[&str]) {
    let mut receiver = handle.subscribe();
    loop {
        let view = handle.view();
        if view.drains.iter().eq(names.iter()) {
            return;
        }
        let changed = time::timeout(WAIT_BOUND.as_duration(), receiver.changed()).await;
        let changed = changed.unwrap_or_else(|_| panic!("the drains did not become {names:?}"));
        changed.expect("the handle exists");
    }
}

#[tokio::test(start_paused = true)]
async fn follow_resumes_at_last_revision() {
    let store = ScriptedStore::new([
        list_answer(4, &["t1"]),
        changes_answer(6, &["t2"]),
        Answer::Watch(Err(StoreError::unknown("lost"))),
        changes_answer(9, &["t3"]),
    ]);
    let handle = start_follower(&store);
    wait_for_drains(&handle, &["t1", "t2", "t3"]).await;
    let calls = store.wait_for_calls(5).await;
    assert_eq!(calls, ["list", "watch 4", "watch 6", "watch 6", "watch 9"]);
    assert_eq!(handle.status().sync_state, StoreSyncState::Following);
}

#[tokio::test(start_paused = true)]
async fn follow_compacted_changes_lists_again() {
    let store = ScriptedStore::new([
        list_answer(4, &["t1"]),
        Answer::Watch(Ok(WatchOutcome::Compacted)),
        list_answer(40, &["t2"]),
    ]);
    let handle = start_follower(&store);
    wait_for_drains(&handle, &["t2"]).await;
    assert_eq!(store.wait_for_calls(4).await[3], "watch 40");
}

/// Guards against a node that waits for the store at its start: it uses the configuration of its peers
/// until the store answers.
#[tokio::test(start_paused = true)]
async fn follow_unavailable_store_at_start_uses_peers() {
    let store = ScriptedStore::new([
        Answer::List(Err(unavailable_error())),
        Answer::List(Err(unavailable_error())),
        list_answer(4, &["t1", "t2"]),
    ]);
    let handle = start_follower(&store);
    handle.accept(drain_objects(4, &["t1"]).objects);
    wait_for_drains(&handle, &["t1"]).await;
    wait_for_drains(&handle, &["t1", "t2"]).await;
    assert_eq!(store.wait_for_calls(4).await[3], "watch 4");
}

/// Guards against a store restored from a backup that reverts the configuration in force. The status
/// reports the regression even after later failures of calls.
#[tokio::test(start_paused = true)]
async fn follow_restored_store_keeps_configuration() {
    let store = ScriptedStore::new([
        list_answer(8, &["t1", "t2"]),
        changes_answer(3, &[]),
        list_answer(3, &[]),
        Answer::List(Err(unavailable_error())),
    ]);
    let handle = start_follower(&store);
    store.wait_for_calls(5).await;
    assert!(matches!(
        handle.status().sync_state,
        StoreSyncState::Regressed { .. }
    ));
    wait_for_drains(&handle, &["t1", "t2"]).await;
    assert_eq!(handle.status().revision, Some(StoreVersion::of_revision(8)));
}

/// Guards against a restored store that ends a lost drain at once.
#[tokio::test(start_paused = true)]
async fn follow_store_of_a_later_era_keeps_lost_objects() {
    let era = StoreEra(1);
    let restored = drain_objects(3, &["t1"]).in_era(era);
    let changes = drain_objects(4, &["t3"]).in_era(era);
    let store = ScriptedStore::new([
        list_answer(8, &["t1", "t2"]),
        Answer::Watch(Ok(WatchOutcome::Compacted)),
        Answer::List(Ok(restored)),
        Answer::Watch(Ok(WatchOutcome::Changes(changes))),
    ]);
    let handle = start_follower(&store);
    wait_for_drains(&handle, &["t1", "t2", "t3"]).await;
    assert_eq!(store.wait_for_calls(5).await[4], "watch 4");
    assert!(handle.status().has_lost_objects);
    assert_eq!(handle.status().era, era);
}

/// Guards against a lost drain that nobody publishes again and that never ends.
#[tokio::test(start_paused = true)]
async fn follow_store_of_a_later_era_lists_again_after_the_grace() {
    let store = FakeStore::default();
    let drain = |name: &str| drain_objects(1, &[name]).objects[0].key.clone();
    store.put(drain("t1"), Some("{}".to_owned()));
    let copy = store.table();
    store.put(drain("t2"), Some("{}".to_owned()));
    let handle = ConfigFollower::start(
        Arc::new(store.clone()),
        FollowerOptions::default(),
        CancellationToken::new(),
    );
    wait_for_drains(&handle, &["t1", "t2"]).await;
    let restored_at = time::Instant::now();
    store.come_back(copy);
    store.put(drain("t3"), Some("{}".to_owned()));
    wait_for_drains(&handle, &["t1", "t2", "t3"]).await;
    wait_for_drains(&handle, &["t1", "t3"]).await;
    assert!(restored_at.elapsed() >= RESTORE_GRACE.as_duration());
    assert!(!handle.status().has_lost_objects);
}

/// Guards against a configuration that is late on a node whose watch went silent.
#[test]
fn default_watch_ends_within_the_bound() {
    let bound = TimeSpan::from_secs(9);
    let (client, follower) = (ClientOptions::default(), FollowerOptions::default());
    let silence = follower.watch_timeout + client.call_timeout + follower.backoff.initial_wait;
    let next_call = client.connect_timeout + client.call_timeout;
    assert!(silence + next_call < bound, "{silence} and {next_call}");
}
