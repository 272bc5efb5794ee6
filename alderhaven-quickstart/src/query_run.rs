//! Sends sample queries from concurrent callers and checks each reply as it arrives.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use alderhaven_standin::http_connection::HttpConnection;
use eyre::{Result, bail};
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinSet;
use tokio::time;

use crate::answer_oracle::AnswerOracle;
use crate::local_system::LocalSystem;
use crate::query_reply::QueryReply;
use crate::run_totals::RunTotals;
use crate::sample_query::SampleQuery;
use crate::sample_source::{MAX_QUERIES, SampleSource};

/// The time that a caller waits for a reply, longer than the longest deadline of a template.
const REPLY_TIMEOUT: Duration = Duration::from_secs(65);
/// The limit of concurrent callers, which keeps queries from queueing at the targets.
const MAX_CALLERS: usize = 8;

/// The queries of a run and the concurrency with which they are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunOptions {
    /// The number of queries, at most [`MAX_QUERIES`].
    pub queries: usize,
    /// The seed of the choice of templates and parameters.
    pub seed: u64,
    /// The number of concurrent callers; values out of range are clamped.
    pub callers: usize,
}

/// A query with its reply and the violations that the oracle found in it.
#[derive(Clone, Debug)]
pub struct CheckedReply {
    /// The query as it was sent.
    pub query: SampleQuery,
    /// The reply, or why there is none.
    pub reply: QueryReply,
    /// The violations that the reply shows on its own.
    pub violations: Vec<String>,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// Counts over all queries, with the violations of replies and of runs.
    pub totals: RunTotals,
    /// The violations that only the runs at targets show.
    pub violations: Vec<String>,
}

/// Sends the queries and calls `on_reply` for each reply in the order of arrival.
///
/// # Errors
/// If the number of queries is out of range, or an entry can't be reached.
pub async fn run(
    system: &LocalSystem,
    options: RunOptions,
    mut on_reply: impl FnMut(&CheckedReply),
) -> Result<RunReport> {
    if !(1..=MAX_QUERIES).contains(&options.queries) {
        let queries = options.queries;
        bail!("queries: {queries} is refused: allowed is 1 to {MAX_QUERIES}");
    }
    let mut oracle = AnswerOracle::new(system.templates(), system.manifests());
    let mut report = RunReport::default();
    let mut source = SampleSource::new(options.seed);
    let mut queries = Vec::with_capacity(options.queries);
    for _ in 0..options.queries {
        queries.push(source.next_query()?);
    }
    queries.reverse();
    let queries = Arc::new(Mutex::new(queries));
    let (sender, mut replies) = mpsc::unbounded_channel();
    let mut callers = JoinSet::new();
    let addresses = system.entry_addresses();
    for number in 0..options.callers.clamp(1, MAX_CALLERS) {
        let address = addresses[number % addresses.len()];
        callers.spawn(send_queries(address, Arc::clone(&queries), sender.clone()));
    }
    drop(sender);
    while let Some((query, reply)) = replies.recv().await {
        oracle.record_runs(system.run_log().take_records());
        let violations = oracle.check_reply(&query, &reply)?;
        report.totals.record_outcome(reply.outcome());
        report.totals.violations += violations.len();
        on_reply(&CheckedReply {
            query,
            reply,
            violations,
        });
    }
    while let Some(result) = callers.join_next().await {
        result??;
    }
    oracle.record_runs(system.run_log().take_records());
    report.violations = oracle.check_runs();
    report.totals.violations += report.violations.len();
    Ok(report)
}

/// Sends queries over one connection until none is left, and reconnects after an unreadable reply.
async fn send_queries(
    address: SocketAddr,
    queries: Arc<Mutex<Vec<SampleQuery>>>,
    sender: UnboundedSender<(SampleQuery, QueryReply)>,
) -> Result<()> {
    let mut connection = HttpConnection::connect(address).await?;
    loop {
        let next = queries.lock().unwrap_or_else(PoisonError::into_inner).pop();
        let Some(query) = next else {
            return Ok(());
        };
        let outcome = time::timeout(REPLY_TIMEOUT, connection.send(query.request()?)).await;
        let reply = match outcome {
            Ok(result) => QueryReply::from_result(result),
            Err(_) => QueryReply::Unreadable(format!("no reply within {REPLY_TIMEOUT:?}")),
        };
        if matches!(reply, QueryReply::Unreadable(_)) {
            connection = HttpConnection::connect(address).await?;
        }
        if sender.send((query, reply)).is_err() {
            return Ok(());
        }
    }
}
