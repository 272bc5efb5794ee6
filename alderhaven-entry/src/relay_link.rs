//! The connection from an entry to one relay, and the replies that are awaited on it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use alderhaven_core::ids::{IndexVersion, SnapshotId};
use alderhaven_core::outcome::{AttemptOutcome, NotRunReason};
use alderhaven_core::time::TimeSpan;
use alderhaven_peer::connection;
use alderhaven_peer::connection::{FrameReader, FrameSender};
use alderhaven_peer::frames::{
    AttemptReply, CancelAttempts, CancelledAttempt, PeerMessage, PingProbe, ScatterRequest,
};
use alderhaven_peer::strike_tracker::StrikeTracker;
use alderhaven_policy::query_gather::AttemptResult;
use prometheus_client::metrics::counter::Counter;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time;
use tokio_util::task::AbortOnDropHandle;

use crate::link_monitor::LinkMonitor;
use crate::link_options::LinkOptions;

/// The pause before a lost relay is tried again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// The time within which a relay that was silent answers a ping on a new connection: many times a
/// round trip between failure domains (1 to 2 ms), and a quarter of the silence that led to it.
const FIRST_PONG_TIMEOUT: Duration = Duration::from_millis(250);
/// The time within which a connection to a relay is made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A `LinkReply` is what was heard of one attempt.
#[derive(Clone, Debug)]
pub struct LinkReply {
    /// The counting half of the attempt's id.
    pub sequence: u64,
    /// The result, not yet verified.
    pub result: AttemptResult,
    /// The time in the relay's queue.
    pub queue_wait: TimeSpan,
    /// The time at the target.
    pub service_time: TimeSpan,
    /// The wait that a new attempt would have at the target.
    pub estimated_wait: TimeSpan,
    /// Whether the target ran the attempt.
    pub ran: bool,
    /// Whether the reply was lost on the way, which says nothing of the target.
    pub path_lost: bool,
}

/// A `LinkParts` is what all links of an entry share.
#[derive(Clone, Debug)]
pub struct LinkParts {
    /// The settings.
    pub options: LinkOptions,
    /// What is known of requests that crash targets.
    pub strikes: Arc<StrikeTracker>,
    /// The links that were replaced because they were silent.
    pub silent_links: Counter,
}

/// A `ReplySink` takes the replies of one query.
pub type ReplySender = mpsc::UnboundedSender<LinkReply>;

/// A `RelayLink` is the connection to one relay; it connects again by itself.
#[derive(Debug)]
pub struct RelayLink {
    address: SocketAddr,
    shared: Arc<LinkShared>,
    _task: AbortOnDropHandle<()>,
}

#[derive(Debug, Default)]
struct LinkShared {
    state: Mutex<LinkState>,
}

#[derive(Debug, Default)]
struct LinkState {
    sender: Option<FrameSender>,
    is_leaving: bool,
    pending: HashMap<u64, ReplySender>,
}

impl RelayLink {
    /// Starts a link to the relay at `address`.
    #[must_use]
    pub fn start(address: SocketAddr, parts: LinkParts) -> Self {
        let shared = Arc::new(LinkShared::default());
        let task = tokio::spawn(keep_connected(address, Arc::clone(&shared), parts));
        Self {
            address,
            shared,
            _task: AbortOnDropHandle::new(task),
        }
    }

    /// Gets the relay's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns true where the relay is connected and takes new attempts.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        let state = self.shared.lock();
        state.sender.is_some() && !state.is_leaving
    }

    /// Gets the number of attempts whose reply is awaited.
    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.shared.lock().pending.len()
    }

    /// Sends the attempts of a query; each gets exactly one reply on `reply_sender` unless it is forgotten.
    ///
    /// Returns false where the link is down: then no byte was sent and no reply comes.
    #[must_use]
    pub fn scatter(&self, request: ScatterRequest, reply_sender: &ReplySender) -> bool {
        let mut state = self.shared.lock();
        let Some(sender) = state.sender.clone() else {
            return false;
        };
        for attempt in &request.attempts {
            state.pending.insert(attempt.sequence, reply_sender.clone());
        }
        let sequences: Vec<u64> = request
            .attempts
            .iter()
            .map(|attempt| attempt.sequence)
            .collect();
        if sender.send(PeerMessage::Scatter(request)).is_ok() {
            return true;
        }
        for sequence in sequences {
            state.pending.remove(&sequence);
        }
        false
    }

    /// Forgets attempts and tells the relay that their answers are no longer wanted.
    pub fn cancel(&self, origin: u64, attempts: Vec<CancelledAttempt>) {
        let mut state = self.shared.lock();
        for attempt in &attempts {
            state.pending.remove(&attempt.sequence);
        }
        if let Some(sender) = &state.sender {
            let cancel = CancelAttempts { origin, attempts };
            let _relay_gone = sender.send(PeerMessage::Cancel(cancel));
        }
    }
}

impl LinkShared {
    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_connected(&self, sender: FrameSender) {
        self.replace_connection(Some(sender));
    }

    fn set_disconnected(&self) {
        self.replace_connection(None);
    }

    /// Takes over a new connection, or none, and answers every attempt that was awaited on the
    /// former one with "unknown": its frame may have reached the relay.
    ///
    /// A silent connection is replaced in one step, so that the retries of these attempts find the
    /// new one.
    fn replace_connection(&self, sender: Option<FrameSender>) {
        let mut state = self.lock();
        state.sender = sender;
        state.is_leaving = false;
        let pending = std::mem::take(&mut state.pending);
        drop(state);
        for (sequence, reply_sender) in pending {
            let _query_over = reply_sender.send(LinkReply::relay_lost(sequence));
        }
    }

    fn deliver(&self, reply: AttemptReply) {
        let reply_sender = self.lock().pending.remove(&reply.sequence);
        // A reply that nobody awaits is late, doubled or of another life of this entry.
        if let Some(reply_sender) = reply_sender {
            let _query_over = reply_sender.send(LinkReply::from(reply));
        }
    }
}

impl LinkReply {
    /// Returns the reply of an attempt whose frame was certainly not sent.
    #[must_use]
    pub fn not_sent(sequence: u64) -> Self {
        Self::without_target(
            sequence,
            AttemptOutcome::NotRun(NotRunReason::NotSent),
            false,
        )
    }

    /// Returns the reply of an attempt whose relay was lost after its frame may have been sent.
    #[must_use]
    pub fn relay_lost(sequence: u64) -> Self {
        Self::without_target(sequence, AttemptOutcome::Unknown, true)
    }

    fn without_target(sequence: u64, outcome: AttemptOutcome, ran: bool) -> Self {
        Self {
            sequence,
            result: AttemptResult::without_rows(outcome),
            queue_wait: TimeSpan::ZERO,
            service_time: TimeSpan::ZERO,
            estimated_wait: TimeSpan::ZERO,
            ran,
            path_lost: true,
        }
    }
}

impl From<AttemptReply> for LinkReply {
    fn from(reply: AttemptReply) -> Self {
        Self {
            sequence: reply.sequence,
            result: AttemptResult {
                outcome: AttemptOutcome::from(reply.status()),
                snapshot: SnapshotId(reply.snapshot),
                version: IndexVersion(reply.version),
                rows: reply.rows,
            },
            queue_wait: TimeSpan::from_micros(reply.queued_us),
            service_time: TimeSpan::from_micros(reply.service_us),
            estimated_wait: TimeSpan::from_micros(reply.wait_us),
            ran: reply.ran,
            path_lost: reply.path_lost,
        }
    }
}

/// How a connection to a relay ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkEnd {
    Closed,
    Silent,
    /// A connection made after a silent one did not prove that the relay is there.
    Unresponsive,
}

async fn keep_connected(address: SocketAddr, shared: Arc<LinkShared>, parts: LinkParts) {
    let mut end = LinkEnd::Closed;
    loop {
        let is_suspect = end != LinkEnd::Closed;
        let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        end = match connecting.await {
            Ok(Ok(stream)) => read_replies(stream, &shared, &parts, is_suspect).await,
            Ok(Err(_)) | Err(_) => LinkEnd::Closed,
        };
        if end != LinkEnd::Silent {
            shared.set_disconnected();
            time::sleep(RECONNECT_PAUSE).await;
        }
    }
}

/// Waits for the answer to a ping on a new connection; returns false where none comes.
///
/// A frozen relay shows as silence, like a lost path, and yet its operating system takes new
/// connections. Without the proof the retries of what was lost would go to it again, until the
/// retries of their shards are used up; with it they go to the next relay of their target.
async fn answers_ping(sender: &FrameSender, reader: &mut FrameReader) -> bool {
    let ping = PeerMessage::Ping(PingProbe { number: 0 });
    let answer = connection::next_message(reader);
    sender.send(ping).is_ok()
        && matches!(time::timeout(FIRST_PONG_TIMEOUT, answer).await, Ok(Some(_)))
}

/// Takes what the relay sends until the connection ends or is silent.
async fn read_replies(
    stream: TcpStream,
    shared: &LinkShared,
    parts: &LinkParts,
    is_suspect: bool,
) -> LinkEnd {
    let Ok((sender, mut reader)) = connection::split(stream) else {
        return LinkEnd::Closed;
    };
    if is_suspect && !answers_ping(&sender, &mut reader).await {
        return LinkEnd::Unresponsive;
    }
    let _strike_subscription = parts.strikes.subscribe(sender.clone());
    shared.set_connected(sender.clone());
    let mut monitor = LinkMonitor::new(sender, parts.options);
    loop {
        let message = tokio::select! {
            message = connection::next_message(&mut reader) => message,
            () = monitor.wait_for_silence() => {
                parts.silent_links.inc();
                return LinkEnd::Silent;
            }
        };
        monitor.record_message(message.as_ref());
        match message {
            Some(PeerMessage::Reply(reply)) => shared.deliver(reply),
            // It is passed on to all relays before the replies that come after it are taken.
            Some(PeerMessage::Strikes(notice)) => parts.strikes.merge(&notice),
            Some(PeerMessage::Leaving(_)) => shared.lock().is_leaving = true,
            Some(
                PeerMessage::Hello(_)
                | PeerMessage::Scatter(_)
                | PeerMessage::Cancel(_)
                | PeerMessage::Ping(_)
                | PeerMessage::Pong(_)
                | PeerMessage::Exchange(_)
                | PeerMessage::ClaimQuery(_)
                | PeerMessage::ClaimAnswer(_)
                | PeerMessage::GroupRequest(_)
                | PeerMessage::GroupReply(_)
                | PeerMessage::GroupClose(_),
            ) => {}
            None => return LinkEnd::Closed,
        }
    }
}
