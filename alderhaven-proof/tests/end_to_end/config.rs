//! Tests that an accepted configuration takes effect on all nodes and is never reverted.

use alderhaven_core::template::{MergeRule, QueryTemplate};
use alderhaven_proof::cluster::TestCluster;
use alderhaven_proof::cluster_options::{ClusterOptions, FAN_OUT_TEMPLATE};
use alderhaven_proof::condition;
use alderhaven_standin::platform_faults::PlatformFaults;
use serde_json::Value;

use crate::support;

/// The name of the template that the tests publish.
const PUBLISHED_TEMPLATE: &str = "published";
/// The number of races between two operators.
const RACE_ROUNDS: usize = 4;

async fn start() -> TestCluster {
    support::start_cluster(ClusterOptions::builder().entries(2).build()).await
}

/// Writes the template's file with a merge rule that keeps `limit` rows, and returns its path.
fn write_template(cluster: &TestCluster, folder: &str, limit: usize) -> String {
    let templates = ClusterOptions::builder().build().templates().unwrap();
    let fan_out_template = templates
        .into_iter()
        .find(|template| template.name.as_str() == FAN_OUT_TEMPLATE);
    let template = QueryTemplate {
        name: PUBLISHED_TEMPLATE.parse().unwrap(),
        merge: MergeRule::TopN {
            field: "score".to_owned(),
            limit,
            ascending: false,
        },
        ..fan_out_template.unwrap()
    };
    let name = format!("{folder}/templates/{PUBLISHED_TEMPLATE}.yaml");
    cluster.write_file(&name, &template).unwrap()
}

/// Checks that every entry answers a query of the template with `limit` rows.
async fn assert_in_force(cluster: &TestCluster, limit: usize) {
    for number in 0..cluster.entries.len() {
        let entry = cluster.entry_address(number).unwrap();
        let reply = support::build_query(PUBLISHED_TEMPLATE, "a")
            .send(entry)
            .await
            .unwrap();
        assert_eq!(reply.outcome_or_code(), "complete", "{}", reply.body);
        let rows = reply.body["rows"].as_array().map(Vec::len);
        assert_eq!(rows, Some(limit), "entry {number}: {}", reply.body);
    }
}

/// An operator publishes a template with `--wait`. When the command returns, every entry serves the
/// newest version of the template.
#[tokio::test(flavor = "multi_thread")]
async fn config_published_is_in_force_on_all_nodes() {
    let cluster = start().await;
    for (round, limit) in [3, 1, 5].into_iter().enumerate() {
        let file = write_template(&cluster, &format!("round-{round}"), limit);
        let arguments = ["publish", &file, "--wait", "--limit", "20s"];
        let published = cluster.alderctl("ama", &arguments).await.unwrap();
        assert_eq!(published.exit_code, Some(0), "{}", published.report);
        assert_eq!(published.report["publications"][0]["outcome"], "published");
        assert_in_force(&cluster, limit).await;
    }
}

/// Two operators publish changes to the same version concurrently. One wins; the other gets a
/// conflict that names the winner. All nodes apply the winner's content, so that the version check
/// prevents a lost update.
#[tokio::test(flavor = "multi_thread")]
async fn config_operators_racing() {
    let cluster = start().await;
    let first = write_template(&cluster, "first", 8);
    let published = cluster.alderctl("ama", &["publish", &first]).await.unwrap();
    assert_eq!(published.exit_code, Some(0), "{}", published.report);
    for race in 0..RACE_ROUNDS {
        let operators = ["ama", "kofi"];
        let limits = [1 + 2 * race % 7, 2 + 2 * race % 7];
        let mut plan_files = Vec::new();
        for (operator, limit) in operators.into_iter().zip(limits) {
            let file = write_template(&cluster, &format!("{operator}-{race}"), limit);
            let plan = cluster.file_path(&format!("{operator}-{race}.json"));
            let arguments = ["diff", &file, "--plan", &plan];
            let diffed = cluster.alderctl(operator, &arguments).await.unwrap();
            assert_eq!(diffed.exit_code, Some(0), "{}", diffed.report);
            plan_files.push(plan);
        }
        let arguments = [0, 1].map(|operator| ["publish", "--plan", plan_files[operator].as_str()]);
        let (ama, kofi) = tokio::join!(
            cluster.alderctl("ama", &arguments[0]),
            cluster.alderctl("kofi", &arguments[1]),
        );
        let results = [ama.unwrap(), kofi.unwrap()];
        let codes = results.each_ref().map(|result| result.exit_code);
        let winner = codes.iter().position(|code| *code == Some(0));
        let winner = winner.unwrap_or_else(|| panic!("no publication succeeded: {results:?}"));
        let loser = &results[1 - winner];
        assert_eq!(loser.exit_code, Some(4), "{}", loser.report);
        let publication = &loser.report["publications"][0];
        assert_eq!(publication["outcome"], "conflict", "{publication}");
        let write_id = publication["current"]["write_id"].as_str().unwrap();
        assert!(
            write_id.contains(operators[winner]),
            "{write_id} does not name the winner"
        );
        assert!(!publication["winner_changed"].as_array().unwrap().is_empty());
        let version = &results[winner].report["publications"][0]["version"];
        let version = serde_json::from_value(version.clone()).unwrap();
        cluster.await_in_force(version).await.unwrap();
        assert_in_force(&cluster, limits[winner]).await;
    }
}

/// The platform is down, then restarts with older content. The published template stays in force on
/// every node. A publication during the outage fails, and the nodes report that the store has
/// regressed.
#[tokio::test(flavor = "multi_thread")]
async fn config_stays_through_outage_and_restart() {
    let mut cluster = start().await;
    let file = write_template(&cluster, "before", 3);
    let arguments = ["publish", &file, "--wait", "--limit", "20s"];
    let published = cluster.alderctl("ama", &arguments).await.unwrap();
    assert_eq!(published.exit_code, Some(0), "{}", published.report);
    let outage = PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    };
    let platform = cluster.platform_client().unwrap();
    platform.set_faults(&outage).await.unwrap();
    cluster
        .await_all_dumps(
            "all nodes report the store as lost",
            has_store_state("lost"),
        )
        .await
        .unwrap();
    assert_in_force(&cluster, 3).await;
    let file = write_template(&cluster, "during", 1);
    let refused = cluster.alderctl("ama", &["publish", &file]).await.unwrap();
    assert_eq!(refused.exit_code, Some(1), "{}", refused.report);
    assert_in_force(&cluster, 3).await;
    cluster.restart_platform().unwrap();
    cluster
        .await_all_dumps(
            "all nodes report that the store has regressed",
            has_store_state("backwards"),
        )
        .await
        .unwrap();
    assert_in_force(&cluster, 3).await;
    // A new node has no configuration yet and serves the one of the platform.
    let number = cluster.start_entry().unwrap();
    let entry = cluster.entry_address(number).unwrap();
    condition::until("a complete answer of the new entry", async || {
        let reply = support::build_query(FAN_OUT_TEMPLATE, "new")
            .send(entry)
            .await?;
        Ok((reply.outcome_or_code() == "complete").then_some(()))
    })
    .await
    .unwrap();
}

fn has_store_state(state: &'static str) -> impl Fn(&Value) -> bool {
    move |dump| dump["status"]["config"]["contact"]["state"] == state
}
