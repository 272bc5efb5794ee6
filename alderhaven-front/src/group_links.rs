//! Links to fronts in other failure domains, and the group requests that are open on them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use alderhaven_core::ids::FailureDomain;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_node::node_group::NodeGroup;
use alderhaven_peer::connection::{self, FrameReader, FrameSender};
use alderhaven_peer::frames::PeerMessage;
use alderhaven_peer::group_messages::{GroupClose, GroupReply, GroupRequest};
use alderhaven_policy::membership::member_entry::MemberView;
use alderhaven_policy::membership::member_record::MemberState;
use log::Level;
use rand::RngExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time;

use crate::front_event::FrontEvent;

/// Timeout of the TCP connect to a front.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest round trip of the empty first request on a connection. The other front derives the
/// clock offset from it and uses that to detect late deliveries, so the round trip bounds the
/// error of the time left that is sent to targets.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a front is not used after an overdue reply or a failed connect. A frozen front would
/// cost each query its hedges, while direct requests to the targets only cost bandwidth.
const UNRESPONSIVE_PAUSE: TimeSpan = TimeSpan::from_millis(1_500);

/// How often an idle reader checks whether its connection was retired.
const RETIRED_CHECK_INTERVAL: Duration = Duration::from_secs(4);

/// All links of a process; clones share them.
#[derive(Clone, Debug)]
pub struct GroupLinks {
    group: NodeGroup,
    clock: ProcessClock,
    links: Arc<Mutex<BTreeMap<SocketAddr, Arc<GroupLink>>>>,
}

/// The link to one front, over successive connections.
#[derive(Debug)]
struct GroupLink {
    address: SocketAddr,
    clock: ProcessClock,
    next_number: AtomicU64,
    state: Mutex<LinkState>,
}

#[derive(Debug, Default)]
struct LinkState {
    sender: Option<FrameSender>,
    /// Number of the current connection; a pending request holds the number of its own.
    epoch: u64,
    is_connecting: bool,
    paused_until: TimePoint,
    pending: HashMap<u64, PendingRequest>,
}

/// A group request to which replies may still come.
#[derive(Debug)]
struct PendingRequest {
    /// Number of the connection that it was sent on.
    epoch: u64,
    sender: FrameSender,
    event_sender: mpsc::UnboundedSender<GroupEvent>,
}

/// Notification to the sender of a group request.
#[derive(Debug)]
pub enum GroupEvent {
    /// Some of the attempts have ended.
    Reply(GroupReply),
    /// The connection was lost. Attempts without a reply may have run.
    Lost,
}

/// An open group request. Dropping it closes the request at the other front, and aborts its
/// attempts unless [`Self::mark_answered`] was called.
#[derive(Debug)]
pub struct GroupCall {
    link: Arc<GroupLink>,
    number: u64,
    is_answered: bool,
    /// Replies to the request, and the loss of its connection.
    pub events: mpsc::UnboundedReceiver<GroupEvent>,
}

impl GroupLinks {
    /// Returns the node group whose fronts are linked.
    #[must_use]
    pub const fn group(&self) -> &NodeGroup {
        &self.group
    }

    /// Creates links without connections. They are opened by the first request to a failure
    /// domain.
    #[must_use]
    pub fn new(group: NodeGroup, clock: ProcessClock) -> Self {
        Self {
            group,
            clock,
            links: Arc::default(),
        }
    }

    /// Sends a group request to a front of a failure domain. Returns `None` if no link there is
    /// usable; connections are then opened in the background for later requests.
    #[must_use]
    pub fn send(&self, domain: &FailureDomain, request: GroupRequest) -> Option<GroupCall> {
        let now = self.clock.now();
        let fronts = self.largest_fronts(domain);
        let mut usable: Vec<Arc<GroupLink>> = Vec::new();
        for address in fronts {
            let link = self.link(address);
            if link.is_usable(now) {
                usable.push(link);
            } else {
                connect(link);
            }
        }
        if usable.is_empty() {
            return None;
        }
        let index = rand::rng().random_range(0..usable.len());
        usable.swap_remove(index).send(request)
    }

    /// Returns the fronts on the largest hosts of a failure domain. Small hosts would delay the
    /// replies.
    fn largest_fronts(&self, domain: &FailureDomain) -> Vec<SocketAddr> {
        let members = self.group.members();
        let others = members.iter().skip(1);
        let candidates: Vec<&MemberView> = others
            .filter(|member| member.state == MemberState::Alive && member.record.domain == *domain)
            .collect();
        let largest = candidates.iter().map(|member| member.record.capacity).max();
        candidates
            .into_iter()
            .filter(|member| Some(member.record.capacity) == largest)
            .filter_map(|member| member.record.peer_address)
            .collect()
    }

    fn link(&self, address: SocketAddr) -> Arc<GroupLink> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry(address).or_insert_with(|| {
            Arc::new(GroupLink {
                address,
                clock: self.clock,
                next_number: AtomicU64::new(0),
                state: Mutex::default(),
            })
        });
        Arc::clone(link)
    }
}

impl GroupLink {
    fn is_usable(&self, now: TimePoint) -> bool {
        let state = self.state();
        let is_connected = state
            .sender
            .as_ref()
            .is_some_and(|sender| !sender.is_closed());
        is_connected && now >= state.paused_until
    }

    fn send(self: Arc<Self>, mut request: GroupRequest) -> Option<GroupCall> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        request.number = number;
        request.sent_us = self.clock.now().as_micros();
        let (event_sender, events) = mpsc::unbounded_channel();
        {
            let mut state = self.state();
            let sender = state.sender.clone()?;
            sender.send(PeerMessage::GroupRequest(request)).ok()?;
            let pending = PendingRequest {
                epoch: state.epoch,
                sender,
                event_sender,
            };
            state.pending.insert(number, pending);
        }
        Some(GroupCall {
            link: self,
            number,
            is_answered: false,
            events,
        })
    }

    fn dispatch_reply(&self, reply: GroupReply) {
        let state = self.state();
        if let Some(pending) = state.pending.get(&reply.number) {
            // The receiver is gone if the query has been answered meanwhile.
            let _is_delivered = pending.event_sender.send(GroupEvent::Reply(reply));
        }
    }

    /// Installs an opened connection, or pauses the link if none could be opened.
    fn finish_connecting(
        &self,
        opened: Option<(FrameSender, FrameReader)>,
    ) -> Option<(u64, FrameReader)> {
        let mut state = self.state();
        state.is_connecting = false;
        let Some((sender, reader)) = opened else {
            state.paused_until = self.clock.now() + UNRESPONSIVE_PAUSE;
            return None;
        };
        state.sender = Some(sender);
        Some((state.epoch, reader))
    }

    /// Removes a connection that has ended, and reports the loss to every request that is open on
    /// it.
    fn fail_connection(&self, epoch: u64) {
        let mut state = self.state();
        let lost: Vec<PendingRequest> = state
            .pending
            .extract_if(|_, pending| pending.epoch == epoch)
            .map(|(_, pending)| pending)
            .collect();
        let was_current = state.epoch == epoch;
        if was_current {
            state.sender = None;
            state.epoch += 1;
        }
        drop(state);
        if was_current || !lost.is_empty() {
            self.report_loss(lost.len());
        }
        for pending in lost {
            let _is_delivered = pending.event_sender.send(GroupEvent::Lost);
        }
    }

    /// Stops using the connection of an overdue request, and pauses the link. Requests that are
    /// open on the connection can still be answered.
    fn retire(&self, number: u64) {
        let mut state = self.state();
        let epoch = state.pending.get(&number).map(|pending| pending.epoch);
        if epoch != Some(state.epoch) {
            return;
        }
        state.paused_until = self.clock.now() + UNRESPONSIVE_PAUSE;
        state.sender = None;
        state.epoch += 1;
        self.report_loss(state.pending.len());
    }

    /// Returns `true` if the connection is retired and no request is open on it.
    fn is_retired_and_drained(&self, epoch: u64) -> bool {
        let state = self.state();
        let is_open = state.pending.values().any(|pending| pending.epoch == epoch);
        state.epoch != epoch && !is_open
    }

    fn report_loss(&self, open: usize) {
        FrontEvent::LinkLost {
            front: self.address,
            open,
        }
        .emit(Level::Warn);
    }

    fn state(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GroupCall {
    /// Marks the query as answered: the attempts of the request may run to their end.
    pub const fn mark_answered(&mut self) {
        self.is_answered = true;
    }

    /// Retires the connection, because the first reply is overdue.
    ///
    /// A connection can go silent for good without a reset, so later requests use a new one. Open
    /// requests are kept: failing all of them at once would also lose those that were just sent to
    /// a front that is only late.
    pub fn mark_overdue(&self) {
        self.link.retire(self.number);
    }
}

impl Drop for GroupCall {
    fn drop(&mut self) {
        let Some(pending) = self.link.state().pending.remove(&self.number) else {
            return;
        };
        let close = GroupClose {
            number: self.number,
            is_abandoned: !self.is_answered,
        };
        // If the connection is lost, the other front aborts the attempts by itself.
        let _is_sent = pending.sender.send(PeerMessage::GroupClose(close));
    }
}

/// Connects in the background, unless a connection exists or is being opened, or the link is
/// paused.
fn connect(link: Arc<GroupLink>) {
    {
        let mut state = link.state();
        let is_connected = state
            .sender
            .as_ref()
            .is_some_and(|sender| !sender.is_closed());
        if is_connected || state.is_connecting || link.clock.now() < state.paused_until {
            return;
        }
        state.is_connecting = true;
    }
    tokio::spawn(async move {
        let opened = open(&link).await;
        if let Some((epoch, reader)) = link.finish_connecting(opened) {
            read_replies(&link, epoch, reader).await;
        }
    });
}

/// Opens a connection. Returns `None` if the front cannot be reached or does not answer in time.
///
/// The empty first request keeps real ones from a stalled front, which would process them late and
/// send targets the full time left of the caller.
async fn open(link: &GroupLink) -> Option<(FrameSender, FrameReader)> {
    let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(link.address));
    let (sender, mut reader) = connection::split(connecting.await.ok()?.ok()?).ok()?;
    let first = GroupRequest {
        number: link.next_number.fetch_add(1, Ordering::Relaxed),
        sent_us: link.clock.now().as_micros(),
        method: "GET".to_owned(),
        path: "/".to_owned(),
        ..GroupRequest::default()
    };
    sender.send(PeerMessage::GroupRequest(first)).ok()?;
    let replied = time::timeout(FIRST_REPLY_TIMEOUT, connection::next_message(&mut reader));
    replied.await.ok()??;
    Some((sender, reader))
}

/// Reads replies until the connection ends, or until it is retired and has no open requests.
async fn read_replies(link: &GroupLink, epoch: u64, mut reader: FrameReader) {
    while let Some(message) = next_message(link, epoch, &mut reader).await {
        if let PeerMessage::GroupReply(reply) = message {
            link.dispatch_reply(reply);
        }
    }
    link.fail_connection(epoch);
}

async fn next_message(
    link: &GroupLink,
    epoch: u64,
    reader: &mut FrameReader,
) -> Option<PeerMessage> {
    loop {
        let next = time::timeout(RETIRED_CHECK_INTERVAL, connection::next_message(reader)).await;
        match next {
            Ok(message) => return message,
            Err(_) if link.is_retired_and_drained(epoch) => return None,
            Err(_) => {}
        }
    }
}
