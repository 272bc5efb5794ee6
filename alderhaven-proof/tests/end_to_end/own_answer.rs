//! Tests that each caller receives the whole answer to its own request.

use alderhaven_core::time::TimeSpan;
use alderhaven_proof::caller::CallerQuery;
use alderhaven_proof::cluster_options::{ClusterOptions, FAN_OUT_TEMPLATE};
use futures::future;

use crate::support;

/// Concurrent queries with different parameters share the entry, relays and targets. Service times
/// vary, so that replies arrive out of order. Each answer has exactly the rows of its own
/// parameters.
#[tokio::test(flavor = "multi_thread")]
async fn own_answer_crossed_callers() {
    let options = ClusterOptions::builder()
        .run_time(TimeSpan::from_millis(30))
        .spread(1.0)
        .build();
    let cluster = support::start_cluster(options).await;
    let entry = cluster.entry_address(0).unwrap();
    for round in 0..3 {
        let queries: Vec<CallerQuery> = (0..8)
            .map(|caller| {
                support::build_query(FAN_OUT_TEMPLATE, &format!("caller-{caller}-{round}"))
            })
            .collect();
        let replies = future::join_all(queries.iter().map(|query| query.send(entry))).await;
        for (query, reply) in queries.iter().zip(replies) {
            let reply = reply.unwrap();
            assert_eq!(reply.outcome_or_code(), "complete", "{}", reply.body);
            let all = cluster.all_shards();
            assert_eq!(reply.body["rows"], cluster.expected_rows(query, &all));
        }
    }
}

/// The relays are suspended until after a query's deadline. Their late replies arrive over the same
/// connections during the next query, whose answer has only its own rows.
#[tokio::test(flavor = "multi_thread")]
async fn own_answer_after_late_replies() {
    let cluster = support::start_cluster(ClusterOptions::builder().build()).await;
    let entry = cluster.entry_address(0).unwrap();
    let _relay = support::relay_with_most_targets(&cluster).await;
    for round in 0..5 {
        for relay in &cluster.relays {
            relay.freeze().unwrap();
        }
        let short_query = CallerQuery::builder()
            .template(FAN_OUT_TEMPLATE)
            .key(format!("hasty-{round}"))
            .deadline_ms(200)
            .build();
        let reply = short_query.send(entry).await.unwrap();
        assert_eq!(reply.outcome_or_code(), "failed", "{}", reply.body);
        assert_eq!(reply.missing_shards().len(), 4, "{}", reply.body);
        for relay in &cluster.relays {
            relay.resume().unwrap();
        }
        let next_query = support::build_query(FAN_OUT_TEMPLATE, &format!("patient-{round}"));
        let reply = next_query.send(entry).await.unwrap();
        assert_eq!(reply.outcome_or_code(), "complete", "{}", reply.body);
        let all = cluster.all_shards();
        assert_eq!(reply.body["rows"], cluster.expected_rows(&next_query, &all));
    }
}
