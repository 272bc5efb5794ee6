//! Faults of the in-memory platform, under a paused clock.

use alderhaven_core::config_object::{ObjectKey, ObjectKind};
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_standin::fake_store::FakeStore;
use alderhaven_standin::platform_faults::PlatformFaults;
use alderhaven_store::host_list::{HostRecord, HostRole, HostSource, HostState};
use alderhaven_store::object_store::{
    ConditionalWrite, ObjectStore, StoreError, WatchOutcome, WriteOutcome,
};

fn key() -> ObjectKey {
    ObjectKey {
        kind: ObjectKind::Team,
        name: "desk".to_owned(),
    }
}

fn write(expected: u64) -> ConditionalWrite {
    ConditionalWrite {
        key: key(),
        expected: StoreVersion::of_revision(expected),
        write_id: "first".to_owned(),
        body: Some("{}".to_owned()),
    }
}

fn is_unknown<T>(result: &Result<T, StoreError>) -> bool {
    matches!(result, Err(StoreError::Unknown { .. }))
}

fn is_not_done<T>(result: &Result<T, StoreError>) -> bool {
    matches!(result, Err(StoreError::NotDone { .. }))
}

#[tokio::test(start_paused = true)]
async fn write_reply_lost() {
    let store = FakeStore::default();
    store.set_faults(PlatformFaults {
        lose_write_replies: 1,
        ..PlatformFaults::default()
    });
    assert!(is_unknown(&store.write(write(0)).await));
    let stored = store.get(&key()).await.unwrap().unwrap();
    assert_eq!(stored.write_id, "first");
    assert!(matches!(
        store.write(write(1)).await,
        Ok(WriteOutcome::Written(version)) if version == StoreVersion::of_revision(2)
    ));
}

#[tokio::test(start_paused = true)]
async fn write_dropped_and_held() {
    let store = FakeStore::default();
    store.set_faults(PlatformFaults {
        drop_writes: 1,
        hold_writes: 1,
        ..PlatformFaults::default()
    });
    assert!(is_unknown(&store.write(write(0)).await));
    assert!(is_unknown(&store.write(write(0)).await));
    assert_eq!(store.get(&key()).await, Ok(None));
    store.release_held_writes();
    assert!(store.get(&key()).await.unwrap().is_some());
}

#[tokio::test(start_paused = true)]
async fn calls_in_outage() {
    let store = FakeStore::default();
    store.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    assert!(is_not_done(&store.write(write(0)).await));
    assert!(is_not_done(&store.list(&[ObjectKind::Team]).await));
    assert_eq!(store.table().revision(), StoreVersion::default());
}

#[tokio::test(start_paused = true)]
async fn calls_above_rate() {
    let store = FakeStore::default();
    store.set_faults(PlatformFaults {
        reads_per_second: 4.0,
        ..PlatformFaults::default()
    });
    assert!(store.get(&key()).await.is_ok());
    let refused = store.get(&key()).await;
    let Err(StoreError::NotDone {
        retry_after: Some(wait),
        ..
    }) = refused
    else {
        panic!("expected a refusal by the rate limit, got {refused:?}");
    };
    tokio::time::sleep(wait.as_duration() + std::time::Duration::from_millis(1)).await;
    assert!(store.get(&key()).await.is_ok());
    assert_eq!(store.call_counts().throttled, 1);
}

#[tokio::test(start_paused = true)]
async fn list_stale() {
    let store = FakeStore::default();
    store.set_faults(PlatformFaults {
        stale_list: true,
        ..PlatformFaults::default()
    });
    store.put(key(), Some("{}".to_owned()));
    let kinds = [ObjectKind::Team];
    assert!(store.list(&kinds).await.unwrap().objects.is_empty());
    store.set_faults(PlatformFaults::default());
    assert_eq!(store.list(&kinds).await.unwrap().objects.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn watch_change_while_waiting() {
    let store = FakeStore::default();
    let watched = store.clone();
    let watch = tokio::spawn(async move {
        let kinds = [ObjectKind::Team];
        watched
            .watch(&kinds, StoreVersion::default(), TimeSpan::from_secs(30))
            .await
    });
    tokio::task::yield_now().await;
    store.put(key(), Some("{}".to_owned()));
    let Ok(WatchOutcome::Changes(list)) = watch.await.unwrap() else {
        panic!("expected the written change");
    };
    assert_eq!(list.objects[0].version, StoreVersion::of_revision(1));
}

#[tokio::test(start_paused = true)]
async fn watch_ends_empty() {
    let store = FakeStore::default();
    let outcome = store
        .watch(
            &[ObjectKind::Team],
            StoreVersion::default(),
            TimeSpan::from_secs(5),
        )
        .await;
    assert!(matches!(outcome, Ok(WatchOutcome::Changes(list)) if list.objects.is_empty()));
}

#[tokio::test(start_paused = true)]
async fn hosts_lag() {
    let store = FakeStore::default();
    store.set_faults(PlatformFaults {
        host_lag_ms: 1_000,
        ..PlatformFaults::default()
    });
    store.put_host(HostRecord {
        host: "entry-1".parse().unwrap(),
        role: HostRole::Entry,
        domain: "domain-1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        state: HostState::Live,
    });
    assert!(store.hosts().await.unwrap().hosts.is_empty());
    tokio::time::advance(std::time::Duration::from_millis(1_001)).await;
    assert_eq!(store.hosts().await.unwrap().hosts.len(), 1);
}
