//! The connections to fronts in other failure domains, and the asks that are open on them.

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
use alderhaven_peer::group_messages::{GroupAsk, GroupClose, GroupReply};
use alderhaven_policy::membership::member_entry::MemberView;
use alderhaven_policy::membership::member_record::MemberState;
use log::Level;
use rand::RngExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time;

use crate::front_event::FrontEvent;

/// The time within which a connection to a front is made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest time that the first ask on a connection, which is an empty one, may take there and back.
/// By it the other front learns how the two clocks differ, as exactly as that time is short, and so
/// notices how long later asks were under way. Half a second too much is what targets may be told;
/// starting fronts take some tenths to answer.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a front that missed a flush is not asked: a frozen or silent one would cost each query
/// its hedges, and asking the targets directly costs only bytes.
const UNRESPONSIVE_PAUSE: TimeSpan = TimeSpan::from_millis(1_500);

/// How often a connection on which nothing comes is looked at, whether it was given up. It costs a wake
/// of the process, and a connection that stays open longer costs nothing.
const RETIRED_CHECK_INTERVAL: Duration = Duration::from_secs(4);

/// A `GroupLinks` is shared by all requests of a process.
#[derive(Clone, Debug)]
pub struct GroupLinks {
    group: NodeGroup,
    clock: ProcessClock,
    links: Arc<Mutex<BTreeMap<SocketAddr, Arc<GroupLink>>>>,
}

/// A `GroupLink` is the connection to one front.
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
    /// Counts the connections, so that each open ask knows its own.
    epoch: u64,
    is_connecting: bool,
    paused_until: TimePoint,
    pending: HashMap<u64, PendingRequest>,
}

/// An `AwaitedAsk` is an ask to which replies may come.
#[derive(Debug)]
struct PendingRequest {
    /// The connection that it was sent on.
    epoch: u64,
    sender: FrameSender,
    event_sender: mpsc::UnboundedSender<GroupEvent>,
}

/// A `GroupNews` is what is heard of an ask.
#[derive(Debug)]
pub enum GroupEvent {
    /// Ends of attempts.
    Reply(GroupReply),
    /// The connection is lost: the attempts may have run.
    Lost,
}

/// A `GroupTicket` is an open ask; dropping it tells the other front that its caller has left.
#[derive(Debug)]
pub struct GroupCall {
    link: Arc<GroupLink>,
    number: u64,
    is_answered: bool,
    /// What is heard.
    pub events: mpsc::UnboundedReceiver<GroupEvent>,
}

impl GroupLinks {
    /// Gets the group.
    #[must_use]
    pub const fn group(&self) -> &NodeGroup {
        &self.group
    }

    /// Returns links to the fronts of a group.
    #[must_use]
    pub fn new(group: NodeGroup, clock: ProcessClock) -> Self {
        Self {
            group,
            clock,
            links: Arc::default(),
        }
    }

    /// Sends an ask to a front of a failure domain; none where no connection to one stands. A
    /// connection is then opened for later asks.
    #[must_use]
    pub fn send(&self, domain: &FailureDomain, request: GroupAsk) -> Option<GroupCall> {
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

    /// Gets the largest hosts' fronts of a failure domain: a small one would hold its answer up.
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

    fn send(self: Arc<Self>, mut request: GroupAsk) -> Option<GroupCall> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        request.number = number;
        request.sent_us = self.clock.now().as_micros();
        let (event_sender, events) = mpsc::unbounded_channel();
        {
            let mut state = self.state();
            let sender = state.sender.clone()?;
            sender.send(PeerMessage::GroupAsk(request)).ok()?;
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
            // A query that was answered meanwhile no longer listens.
            let _is_delivered = pending.event_sender.send(GroupEvent::Reply(reply));
        }
    }

    /// Takes over a connection that was opened, or rests where none could be.
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

    /// Forgets a connection that has ended; every ask that is open on it hears that it is lost.
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

    /// Sends nothing more on the connection of an ask that heard nothing, and nothing to this front for
    /// a while; what is open on it may still be answered.
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

    /// Returns true where a connection was given up and nothing is open on it.
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
    /// Notes that the query was answered: the attempts may end by themselves.
    pub const fn mark_answered(&mut self) {
        self.is_answered = true;
    }

    /// Notes that nothing came when it was due: the connection or the front is silent, or slow. Later
    /// asks use another connection, since one may go silent for good without a reset. Those that are
    /// open stay so: of a front that is only late they would all be lost at once, and with them
    /// queries that had just been sent.
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
        // Where the connection is lost, the other front breaks the attempts off by itself.
        let _is_sent = pending.sender.send(PeerMessage::GroupClose(close));
    }
}

/// Connects in the background, unless that is under way or the link rests.
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

/// Opens a connection; none where the front can't be reached, or is slow to answer.
///
/// Guards against a front that stands still when the first ask reaches it: it would take the ask up
/// late, with all the time that its caller had at first, and pass that on to targets.
async fn open(link: &GroupLink) -> Option<(FrameSender, FrameReader)> {
    let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(link.address));
    let (sender, mut reader) = connection::split(connecting.await.ok()?.ok()?).ok()?;
    let first = GroupAsk {
        number: link.next_number.fetch_add(1, Ordering::Relaxed),
        sent_us: link.clock.now().as_micros(),
        method: "GET".to_owned(),
        path: "/".to_owned(),
        ..GroupAsk::default()
    };
    sender.send(PeerMessage::GroupAsk(first)).ok()?;
    let replied = time::timeout(FIRST_REPLY_TIMEOUT, connection::next_message(&mut reader));
    replied.await.ok()??;
    Some((sender, reader))
}

/// Hears replies until the connection ends, or until nothing is open on one that was given up.
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
