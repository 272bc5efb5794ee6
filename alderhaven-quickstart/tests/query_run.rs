//! Runs every sample query over a whole system in one process.

use alderhaven_quickstart::local_system::LocalSystem;
use alderhaven_quickstart::query_run;
use alderhaven_quickstart::query_run::RunOptions;
use alderhaven_quickstart::sample_source::SAMPLE_KINDS;

#[tokio::test(flavor = "multi_thread")]
async fn run_every_sample() {
    let system = LocalSystem::start(2, 7).await.unwrap();
    let options = RunOptions {
        queries: 3 * SAMPLE_KINDS.len(),
        seed: 7,
        callers: 2,
    };
    let mut reply_count = 0;
    let report = query_run::run(&system, options, |_| reply_count += 1)
        .await
        .unwrap();
    assert_eq!(reply_count, options.queries);
    let totals = report.totals;
    assert_eq!(totals.violations, 0, "{:?}", report.violations);
    assert_eq!(totals.queries, options.queries);
    let counted =
        totals.complete + totals.partial + totals.refused + totals.unknown + totals.failed;
    assert_eq!(counted, totals.queries);
    assert!(totals.complete > 0, "{totals:?}");
    system.stop().await;
}

#[tokio::test]
async fn start_rejects_node_count_out_of_range() {
    for nodes in [0, 65] {
        let error = LocalSystem::start(nodes, 1).await.unwrap_err();
        assert!(error.to_string().contains("allowed is 1 to 64"), "{error}");
    }
}
