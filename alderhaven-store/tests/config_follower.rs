//! Tests of the follower over a small fake of the object API.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_store::config_follower::{ConfigFollower, FollowerOptions};
use alderhaven_store::config_handle::{ConfigHandle, StoreContact};
use alderhaven_store::object_store::{
    ConditionalWrite, ObjectList, ObjectStore, StoreError, StoreResult, WatchOutcome, WriteOutcome,
};
use tokio::time;
use tokio_util::sync::CancellationToken;

/// The bound of a wait, on the paused clock: a wait that never ends fails at once.
const WAIT_BOUND: TimeSpan = TimeSpan::from_secs(60);

/// An answer that the fake gives to the next call.
enum Answer {
    List(StoreResult<ObjectList>),
    Watch(StoreResult<WatchOutcome>),
}

/// Gives its answers in order, checks that each call is the expected one, and then stays silent.
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

    async fn next(&self, call: String) -> Answer {
        self.calls.lock().expect("calls").push(call);
        let answer = self.answers.lock().expect("answers").pop_front();
        match answer {
            Some(answer) => answer,
            None => std::future::pending().await,
        }
    }

    async fn called(&self, count: usize) -> Vec<String> {
        for _ in 0..WAIT_BOUND.as_millis() {
            let calls = self.calls.lock().expect("calls").clone();
            if calls.len() >= count {
                return calls;
            }
            time::sleep(TimeSpan::from_millis(1).as_duration()).await;
        }
        panic!("fewer than {count} calls");
    }
}

impl ObjectStore for ScriptedStore {
    async fn list(&self, _kinds: &[ObjectKind]) -> StoreResult<ObjectList> {
        match self.next("list".to_owned()).await {
            Answer::List(result) => result,
            Answer::Watch(_) => panic!("a watch was expected"),
        }
    }

    async fn get(&self, _key: &ObjectKey) -> StoreResult<Option<StoredObject>> {
        panic!("the follower gets no single object")
    }

    async fn write(&self, _write: ConditionalWrite) -> StoreResult<WriteOutcome> {
        panic!("the follower writes nothing")
    }

    async fn watch(
        &self,
        _kinds: &[ObjectKind],
        after: StoreVersion,
        _wait: TimeSpan,
    ) -> StoreResult<WatchOutcome> {
        match self.next(format!("watch {after}")).await {
            Answer::Watch(result) => result,
            Answer::List(_) => panic!("a list was expected"),
        }
    }
}

fn objects(revision: u64, names: &[&str]) -> ObjectList {
    let drain = |name: &&str| StoredObject {
        key: ObjectKey {
            kind: ObjectKind::Drain,
            name: (*name).to_owned(),
        },
        version: StoreVersion(revision),
        write_id: format!("w{revision}"),
        body: Some("{}".to_owned()),
    };
    ObjectList {
        revision: StoreVersion(revision),
        objects: names.iter().map(drain).collect(),
    }
}

fn list(revision: u64, names: &[&str]) -> Answer {
    Answer::List(Ok(objects(revision, names)))
}

fn changes(revision: u64, names: &[&str]) -> Answer {
    Answer::Watch(Ok(WatchOutcome::Changes(objects(revision, names))))
}

fn down() -> StoreError {
    StoreError::not_done("down")
}

fn follow(store: &Arc<ScriptedStore>) -> ConfigHandle {
    let options = FollowerOptions::default();
    ConfigFollower::start(Arc::clone(store), options, CancellationToken::new())
}

async fn drains_reach(handle: &ConfigHandle, names: &[&str]) {
    let mut receiver = handle.changed();
    loop {
        let view = handle.view();
        if view.drains.iter().eq(names.iter()) {
            return;
        }
        let changed = time::timeout(WAIT_BOUND.as_duration(), receiver.changed()).await;
        let changed = changed.unwrap_or_else(|_| panic!("{names:?} not reached"));
        changed.expect("the handle lives");
    }
}

#[tokio::test(start_paused = true)]
async fn follow_resumes_where_it_was() {
    let store = ScriptedStore::new([
        list(4, &["t1"]),
        changes(6, &["t2"]),
        Answer::Watch(Err(StoreError::unknown("lost"))),
        changes(9, &["t3"]),
    ]);
    let handle = follow(&store);
    drains_reach(&handle, &["t1", "t2", "t3"]).await;
    let calls = store.called(5).await;
    assert_eq!(calls, ["list", "watch 4", "watch 6", "watch 6", "watch 9"]);
    assert_eq!(handle.status().contact, StoreContact::Following);
}

#[tokio::test(start_paused = true)]
async fn follow_gap_lists_again() {
    let store = ScriptedStore::new([
        list(4, &["t1"]),
        Answer::Watch(Ok(WatchOutcome::Gap)),
        list(40, &["t2"]),
    ]);
    let handle = follow(&store);
    drains_reach(&handle, &["t2"]).await;
    assert_eq!(store.called(4).await[3], "watch 40");
}

/// The store is down when the node starts. It serves what peers tell it, and follows the store
/// once that is back.
#[tokio::test(start_paused = true)]
async fn follow_store_down_at_start_lives_on_peers() {
    let store = ScriptedStore::new([
        Answer::List(Err(down())),
        Answer::List(Err(down())),
        list(4, &["t1", "t2"]),
    ]);
    let handle = follow(&store);
    handle.accept(objects(4, &["t1"]).objects);
    drains_reach(&handle, &["t1"]).await;
    drains_reach(&handle, &["t1", "t2"]).await;
    assert_eq!(store.called(4).await[3], "watch 4");
}

/// The store comes back from an old copy: the revision in its answer is lower than before. The
/// node keeps what is in force and says so until the store has caught up.
#[tokio::test(start_paused = true)]
async fn follow_restored_store_changes_nothing() {
    let store = ScriptedStore::new([
        list(8, &["t1", "t2"]),
        changes(3, &[]),
        list(3, &[]),
        Answer::List(Err(down())),
    ]);
    let handle = follow(&store);
    store.called(5).await;
    assert!(matches!(
        handle.status().contact,
        StoreContact::Backwards { .. }
    ));
    drains_reach(&handle, &["t1", "t2"]).await;
    assert_eq!(handle.status().revision, Some(StoreVersion(8)));
}
