//! Tests of membership and configuration in a group of nodes.

use alderhaven_proof::cluster::TestCluster;
use alderhaven_proof::cluster_options::{ClusterOptions, FAN_OUT_TEMPLATE};
use alderhaven_proof::condition;
use alderhaven_proof::operator_view;
use alderhaven_standin::platform_faults::PlatformFaults;
use serde_json::Value;

use crate::support;

async fn start() -> TestCluster {
    let options = ClusterOptions::builder().entries(2).is_group(true).build();
    support::start_cluster(options).await
}

/// Returns true if a debug dump shows a member as dead.
fn is_dead(dump: &Value, name: &str) -> bool {
    let mut members = dump["members"].as_array().into_iter().flatten();
    members.any(|member| member["record"]["node"] == name && member["state"] == "dead")
}

/// A relay is killed. Answers stay complete, and all other nodes detect its death.
#[tokio::test(flavor = "multi_thread")]
async fn group_killed_relay_marked_dead() {
    let mut cluster = start().await;
    let entries = [0, 1].map(|number| cluster.entry_address(number).unwrap());
    let name = cluster.relays[0].name().to_owned();
    cluster.relays[0].kill().unwrap();
    let operators = cluster.operator_addresses().unwrap();
    let others = [operators[0], operators[1], operators[3]];
    condition::until("all other nodes show the relay as dead", async || {
        for entry in entries {
            let query = support::build_query(FAN_OUT_TEMPLATE, "killed");
            let reply = query.send(entry).await.unwrap();
            assert_eq!(reply.outcome_or_code(), "complete", "{}", reply.body);
            let all = cluster.all_shards();
            assert_eq!(reply.body["rows"], cluster.expected_rows(&query, &all));
        }
        for operator in others {
            let dump: Value = operator_view::get_json(operator, "/debug/dump").await?;
            if !is_dead(&dump, &name) {
                return Ok(None);
            }
        }
        Ok(Some(()))
    })
    .await
    .unwrap();
}

/// An entry starts while the store is down and all peers are suspended. It answers "unavailable",
/// not that the template does not exist. After the peers have resumed, it serves queries with their
/// configuration while the store is still down.
#[tokio::test(flavor = "multi_thread")]
async fn config_started_while_store_is_down() {
    let mut cluster = start().await;
    let outage = PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    };
    let platform = cluster.platform_client().unwrap();
    platform.set_faults(&outage).await.unwrap();
    for node in cluster.relays.iter().chain(&cluster.entries) {
        node.freeze().unwrap();
    }
    let number = cluster.start_entry().unwrap();
    let entry = cluster.entry_address(number).unwrap();
    let early = support::build_query(FAN_OUT_TEMPLATE, "early")
        .send(entry)
        .await
        .unwrap();
    assert_eq!(early.outcome_or_code(), "unavailable", "{}", early.body);
    assert!(early.says_not_run(), "{}", early.body);
    let peers = cluster.relays.iter().chain(&cluster.entries[..number]);
    for node in peers {
        node.resume().unwrap();
    }
    condition::until("a complete answer of the new entry", async || {
        let query = support::build_query(FAN_OUT_TEMPLATE, "learnt");
        let reply = query.send(entry).await?;
        assert_ne!(reply.outcome_or_code(), "not_found", "{}", reply.body);
        if reply.outcome_or_code() == "complete" {
            let all = cluster.all_shards();
            assert_eq!(reply.body["rows"], cluster.expected_rows(&query, &all));
        }
        Ok((reply.outcome_or_code() == "complete").then_some(()))
    })
    .await
    .unwrap();
}
