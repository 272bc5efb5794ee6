//! Open-loop sender: each query is sent when due, regardless of outstanding replies.

use std::sync::Arc;
use std::time::Duration;

use alderhaven_core::time::TimeSpan;
use bytes::Bytes;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use crate::caller_pool::CallerPool;
use crate::load_query::LoadQuery;
use crate::query_reply::{QueryReply, ReplyContent};

/// Time after the deadline for which a caller waits for a reply.
const REPLY_GRACE: Duration = Duration::from_secs(5);

/// Sends queries through a connection pool and collects the replies.
#[derive(Debug)]
pub struct LoadDriver {
    pool: Arc<CallerPool>,
    started_at: Instant,
}

impl LoadDriver {
    /// Creates a driver; times are relative to this call.
    #[must_use]
    pub fn new(pool: CallerPool) -> Self {
        Self {
            pool: Arc::new(pool),
            started_at: Instant::now(),
        }
    }

    /// Returns the start of the run.
    #[must_use]
    pub const fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Sends each query when due; returns all queries with their replies in any order of
    /// completion.
    pub async fn run(
        &self,
        queries: impl Iterator<Item = LoadQuery>,
    ) -> Vec<(LoadQuery, QueryReply)> {
        let mut calls = JoinSet::new();
        for query in queries {
            time::sleep_until(self.started_at + query.due_at.as_duration()).await;
            let pool = Arc::clone(&self.pool);
            calls.spawn(send_query(pool, query, self.started_at));
        }
        calls.join_all().await
    }
}

async fn send_query(
    pool: Arc<CallerPool>,
    query: LoadQuery,
    started_at: Instant,
) -> (LoadQuery, QueryReply) {
    let sent_at = TimeSpan::from(started_at.elapsed());
    let path = format!("/v1/query/{}", query.workload_template.template.name);
    let body = json!({ "team": query.team, "parameters": query.parameters }).to_string();
    let limit = query.workload_template.template.deadline.as_duration() + REPLY_GRACE;
    let request = pool.post(query.entry_index, &path, Bytes::from(body));
    let content = time::timeout(limit, request)
        .await
        .unwrap_or(ReplyContent::TimedOut);
    let reply = QueryReply {
        sent_at,
        ended_at: TimeSpan::from(started_at.elapsed()),
        content,
    };
    (query, reply)
}
