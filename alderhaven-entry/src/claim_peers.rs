//! How entries learn the outcome of a request from the entry that claimed it.
//!
//! A resend often comes to another entry, since callers keep several addresses. The ledger tells
//! which entry claimed the key; while that entry is up and holds the outcome, the caller gets the
//! same answer from either. Nothing rests on it: where the entry can't be reached, or does not
//! know, the answer is "unknown".

use std::net::SocketAddr;
use std::sync::Arc;

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

/// The most queries under way in each direction; resends to another entry are rare.
const MAX_CONCURRENT_QUERIES: usize = 256;
/// The longest that a query waits, whatever the other side asks for.
const MAX_WAIT: TimeSpan = TimeSpan::from_secs(30);
/// The time in which a connection is made; entries are a few milliseconds apart.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

/// A `ClaimPeers` asks other entries.
#[derive(Debug)]
pub struct ClaimPeers {
    address: SocketAddr,
    permits: Semaphore,
}

impl ClaimPeers {
    /// Returns the asker of the entry that others ask at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            permits: Semaphore::const_new(MAX_CONCURRENT_QUERIES),
        }
    }

    /// Gets the address at which other entries ask this one.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks the entry at `holder` for an outcome; none where it can't be had in time.
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

/// Answers the queries of other entries until the process ends.
pub async fn serve(listener: TcpListener, held: Arc<HeldAnswers>, clock: ProcessClock) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_QUERIES));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
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

/// Gets the outcome as JSON, once it is there; none where it is not held.
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
