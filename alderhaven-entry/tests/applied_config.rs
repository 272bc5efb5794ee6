//! What an entry tells operators of the configuration that its queries see.

use std::sync::Arc;

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_entry::applied_config::AppliedConfig;
use alderhaven_store::config_follower::{ConfigFollower, FollowerOptions};
use alderhaven_store::object_store::{
    ConditionalWrite, ObjectList, ObjectStore, StoreResult, WatchOutcome, WriteOutcome,
};
use tokio_util::sync::CancellationToken;

/// A store of one drain that never changes.
struct QuietStore;

impl ObjectStore for QuietStore {
    async fn list(&self, _kinds: &[ObjectKind]) -> StoreResult<ObjectList> {
        Ok(ObjectList {
            revision: StoreVersion(7),
            objects: vec![StoredObject {
                key: ObjectKey {
                    kind: ObjectKind::Drain,
                    name: "target-1".to_owned(),
                },
                version: StoreVersion(7),
                write_id: "w7".to_owned(),
                body: Some("{}".to_owned()),
            }],
        })
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
        _after: StoreVersion,
        _wait: TimeSpan,
    ) -> StoreResult<WatchOutcome> {
        std::future::pending().await
    }
}

/// An operator publishes a template, waits until every entry says that it is in force, and a caller's next
/// query is answered by the template before. The watch had brought the change, and the entry told its
/// revision before its queries saw it.
#[tokio::test]
async fn status_tells_no_revision_that_queries_do_not_see() {
    let shutdown = CancellationToken::new();
    let _end = shutdown.clone().drop_guard();
    let config = ConfigFollower::start(Arc::new(QuietStore), FollowerOptions::default(), shutdown);
    let mut changed = config.changed();
    while config.complete_at().is_none() {
        changed.changed().await.expect("the follower runs");
    }
    assert_eq!(config.status().revision, Some(StoreVersion(7)));
    // Nothing has taken the view over yet.
    let applied = AppliedConfig::default();
    assert_eq!(applied.status(&config).revision, None);
}
