//! Fetches the outcome of a request from the entry that claimed its key.
//!
//! A caller often sends its request again to another entry. The ledger names the entry that claimed
//! the key, and that entry may still hold the answer. If it can't be reached or does not hold it,
//! the outcome is "unknown".

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::TimeSpan;
use alderhaven_peer::claim_messages::{ClaimAnswer, ClaimQuery};
use alderhaven_peer::connection;
use alderhaven_peer::frames::PeerMessage;
use alderhaven_policy::claim_fingerprint::ClaimFingerprint;
use alderhaven_policy::claim_key::ClaimKey;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time;

use crate::held_answers::{HeldAnswers, RunOutcome};

/// Limit on concurrent outcome queries, separately for sent and received ones.
const MAX_CONCURRENT_QUERIES: usize = 256;
/// Longest time that a received query waits for an outcome, whatever time it requests.
const MAX_WAIT: TimeSpan = TimeSpan::from_secs(30);
/// Time limit for connecting to another entry.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Client for the outcome queries to other entries.
#[derive(Debug)]
pub struct ClaimPeers {
    address: SocketAddr,
    permits: Semaphore,
}

impl ClaimPeers {
    /// Creates the client of the entry whose own peer address is `address`.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            permits: Semaphore::const_new(MAX_CONCURRENT_QUERIES),
        }
    }

    /// Returns the address at which other entries query this one.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Fetches an outcome from the entry at `holder`. Returns `None` if it isn't available within
    /// `remaining`, or if `holder` is this entry.
    pub async fn fetch_outcome(
        &self,
        holder: SocketAddr,
        key: ClaimKey,
        fingerprint: ClaimFingerprint,
        remaining: TimeSpan,
    ) -> Option<RunOutcome> {
        if holder == self.address {
            return None;
        }
        let _permit = self.permits.try_acquire().ok()?;
        let query = ClaimQuery {
            key: key.to_string(),
            fingerprint: fingerprint.to_string(),
            remaining_us: remaining.as_micros(),
        };
        let fetch = send_query(holder, query);
        time::timeout(remaining.as_duration(), fetch).await.ok()?
    }
}

async fn send_query(holder: SocketAddr, query: ClaimQuery) -> Option<RunOutcome> {
    let connecting = TcpStream::connect(holder);
    let stream = time::timeout(CONNECT_TIMEOUT.as_duration(), connecting)
        .await
        .ok()?
        .ok()?;
    let (sender, mut reader) = connection::split(stream).ok()?;
    sender.send(PeerMessage::ClaimQuery(query)).ok()?;
    while let Some(message) = connection::next_message(&mut reader).await {
        if let PeerMessage::ClaimAnswer(answer) = message {
            return serde_json::from_slice(&answer.outcome).ok();
        }
    }
    None
}

/// Answers the outcome queries of other entries until the process ends.
pub async fn serve(listener: TcpListener, held: Arc<HeldAnswers>, clock: ProcessClock) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_QUERIES));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            // Usually out of file descriptors, which may become free.
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let held = Arc::clone(&held);
        tokio::spawn(async move {
            let answering = answer_queries(stream, &held, clock);
            let _late = time::timeout(MAX_WAIT.as_duration(), answering).await;
            drop(permit);
        });
    }
}

async fn answer_queries(stream: TcpStream, held: &HeldAnswers, clock: ProcessClock) {
    let Ok((sender, mut reader)) = connection::split(stream) else {
        return;
    };
    while let Some(message) = connection::next_message(&mut reader).await {
        let PeerMessage::ClaimQuery(query) = message else {
            continue;
        };
        let outcome = find_outcome(&query, held, clock).await.unwrap_or_default();
        let answer = ClaimAnswer {
            outcome: outcome.into(),
        };
        let _asker_gone = sender.send(PeerMessage::ClaimAnswer(answer));
    }
}

/// Waits for the outcome and encodes it as JSON. Returns `None` if it isn't held.
async fn find_outcome(
    query: &ClaimQuery,
    held: &HeldAnswers,
    clock: ProcessClock,
) -> Option<Vec<u8>> {
    let key = query.key.parse().ok()?;
    let fingerprint = query.fingerprint.parse().ok()?;
    let mut outcome = held.find(key, fingerprint, clock.now())?;
    let remaining = TimeSpan::from_micros(query.remaining_us).min(MAX_WAIT);
    let waiting = outcome.wait_for(Option::is_some);
    let outcome = time::timeout(remaining.as_duration(), waiting)
        .await
        .ok()?
        .ok()?;
    serde_json::to_vec(outcome.as_deref()?).ok()
}
