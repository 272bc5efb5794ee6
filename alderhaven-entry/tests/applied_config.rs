//! The configuration status that an entry reports to operators.

use std::sync::Arc;

use alderhaven_core::config_object::{ObjectKey, ObjectKind};
use alderhaven_core::store_version::StoreVersion;
use alderhaven_entry::applied_config::AppliedConfig;
use alderhaven_standin::fake_store::FakeStore;
use alderhaven_store::config_follower::{ConfigFollower, FollowerOptions};
use tokio_util::sync::CancellationToken;

/// Guards against reporting a revision from the store before queries see it: an operator who waits
/// for that revision would find queries still answered by the previous template.
#[tokio::test]
async fn status_tells_no_revision_that_queries_do_not_see() {
    let shutdown = CancellationToken::new();
    let _end = shutdown.clone().drop_guard();
    let store = FakeStore::default();
    let key = ObjectKey {
        kind: ObjectKind::Drain,
        name: "target-1".to_owned(),
    };
    store.put(key, Some("{}".to_owned()));
    let config = ConfigFollower::start(Arc::new(store), FollowerOptions::default(), shutdown);
    let mut changed = config.subscribe();
    while config.complete_revision().is_none() {
        changed.changed().await.expect("the follower is running");
    }
    assert_eq!(config.status().revision, Some(StoreVersion::of_revision(1)));
    // No part of the entry has applied the view.
    let applied = AppliedConfig::default();
    assert_eq!(applied.status(&config).revision, None);
}
