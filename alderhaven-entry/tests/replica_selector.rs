//! Replica selection while the configuration changes.

use std::time::Instant;

use alderhaven_core::config_object::{ObjectKey, StoredObject};
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_entry::query_plan::{QueryPlan, QueryRequest};
use alderhaven_entry::replica_selector::{ReplicaSelector, SelectorOptions};
use alderhaven_policy::config_registry::{ConfigRegistry, ConfigView};
use alderhaven_policy::policy_kind::PolicyKind;
use serde_json::{Value, json};

/// Creates a view with one shard that has one replica.
fn view_with_target(target: &str) -> ConfigView {
    let replica = json!({ "target": target, "address": "127.0.0.1:1", "domain": "domain-1",
        "slots": 1, "connections": 1 });
    let objects = [
        (
            "template/sweep",
            json!({ "name": "sweep", "service": "sample", "shards": { "select": "all" },
                "merge": { "rule": "concatenate" }, "deadline": "2s" }),
        ),
        ("team/desk", json!({ "name": "desk" })),
        (
            "manifest/sample",
            json!({ "service": "sample", "snapshot": 1,
                "shards": [{ "shard": 0, "version": 1, "replicas": [replica] }] }),
        ),
    ];
    let mut registry = ConfigRegistry::default();
    for (key, body) in objects {
        let _in_force = registry.accept(StoredObject {
            key: key.parse::<ObjectKey>().unwrap(),
            version: StoreVersion::of_revision(1),
            write_id: String::from("test"),
            body: Some(Value::to_string(&body)),
        });
    }
    registry.view()
}

fn plan_query(view: &ConfigView) -> QueryPlan {
    let request = QueryRequest::parse(br#"{"team":"desk"}"#).unwrap();
    QueryPlan::build(view, "sweep", request, None, Instant::now()).unwrap()
}

/// A query may be planned on a view that is newer or older than the selector's table. Its replicas
/// must be found in both cases, or the shard would be reported as unreachable.
#[test]
fn table_for_lists_targets_that_the_selector_does_not() {
    let domain = "domain-1".parse().unwrap();
    let selector = ReplicaSelector::new(
        PolicyKind::Current,
        SelectorOptions::default(),
        domain,
        ProcessClock::default(),
    );
    let [older, newer] = ["sample-0-0", "sample-0-1"].map(view_with_target);
    for view in [&older, &newer, &older] {
        let target = plan_query(view).manifest.shards[0].replicas[0]
            .target
            .clone();
        let before = selector.table_for(&plan_query(view));
        let index = before
            .index_of(&target)
            .expect("the table lists the target");
        let manifests: Vec<_> = view.manifests.values().cloned().collect();
        selector.apply(&manifests, view);
        let after = selector.table_for(&plan_query(view));
        assert_eq!(after.index_of(&target), Some(index));
    }
}
