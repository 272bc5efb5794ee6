//! Connection from an entry to one relay, and the replies pending on it.

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

/// Delay before reconnecting to a lost relay.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Time limit for the first pong on a connection that replaces a silent one: many times a round
/// trip between failure domains (1 to 2 ms).
const FIRST_PONG_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for connecting to a relay.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of one attempt, as received from a relay or as determined by the link.
#[derive(Clone, Debug)]
pub struct LinkReply {
    /// The second half of the attempt's id.
    pub sequence: u64,
    /// The result, not yet validated.
    pub result: AttemptResult,
    /// Time in the relay's queue.
    pub queue_wait: TimeSpan,
    /// Time at the target.
    pub service_time: TimeSpan,
    /// Estimated queue wait of a further attempt at the same target.
    pub estimated_wait: TimeSpan,
    /// Whether the target ran the attempt.
    pub ran: bool,
    /// Whether the reply was lost on the network, which isn't a failure of the target.
    pub path_lost: bool,
}

/// Options and state shared by all links of an entry.
#[derive(Clone, Debug)]
pub struct LinkParts {
    /// Ping settings.
    pub options: LinkOptions,
    /// Crashes attributed to requests, exchanged with the relays.
    pub strikes: Arc<StrikeTracker>,
    /// Counts links that were replaced because they were silent.
    pub silent_links: Counter,
}

/// Sender for the replies to one query.
pub type ReplySender = mpsc::UnboundedSender<LinkReply>;

/// Connection to one relay. It reconnects automatically.
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
    /// Starts connecting to the relay at `address`.
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

    /// Returns the relay's address for attempts.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns true if the relay is connected and accepts new attempts.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        let state = self.shared.lock();
        state.sender.is_some() && !state.is_leaving
    }

    /// Returns the number of attempts without a reply.
    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.shared.lock().pending.len()
    }

    /// Sends the attempts of a query. Each one gets exactly one reply on `reply_sender`, unless it
    /// is cancelled.
    ///
    /// Returns `false` if the link is down. Nothing was sent in that case, and no reply follows.
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

    /// Removes attempts, and tells the relay to cancel them.
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

    /// Replaces the connection, and answers every attempt pending on the former one with "unknown",
    /// since its message may have reached the relay.
    ///
    /// A silent connection is replaced in one step, so that retries of these attempts find the new
    /// one.
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
        // Otherwise the reply is late, duplicated, or meant for this entry before a restart.
        if let Some(reply_sender) = reply_sender {
            let _query_over = reply_sender.send(LinkReply::from(reply));
        }
    }
}

impl LinkReply {
    /// Creates the reply to an attempt whose message was certainly not sent.
    #[must_use]
    pub fn not_sent(sequence: u64) -> Self {
        Self::without_target(
            sequence,
            AttemptOutcome::NotRun(NotRunReason::NotSent),
            false,
        )
    }

    /// Creates the reply to an attempt that may have been sent before the relay was lost.
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
    /// No pong arrived on a connection that replaced a silent one.
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

/// Sends a ping on a new connection. Returns `false` if no reply arrives in time.
///
/// The operating system of a frozen relay still accepts connections. Without this check, retries
/// would go to the same relay until they are exhausted; with it they go to the target's next relay.
async fn answers_ping(sender: &FrameSender, reader: &mut FrameReader) -> bool {
    let ping = PeerMessage::Ping(PingProbe { number: 0 });
    let answer = connection::next_message(reader);
    sender.send(ping).is_ok()
        && matches!(time::timeout(FIRST_PONG_TIMEOUT, answer).await, Ok(Some(_)))
}

/// Handles messages from the relay until the connection ends or is silent.
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
            // Forwarded to all relays before the replies that follow it are handled.
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
