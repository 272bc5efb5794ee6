//! Tests of processes that join a group over loopback.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::ids::IncarnationNumber;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_peer::connection::{self, FrameReader, FrameSender};
use alderhaven_peer::frames::{Hello, PROTOCOL_VERSION, PeerMessage};
use alderhaven_peer::gossip_messages;
use alderhaven_peer::peer_handle::{PeerHandle, PeerSnapshot};
use alderhaven_peer::peer_node::PeerNode;
use alderhaven_peer::peer_options::{ConfigAccess, PeerOptions};
use alderhaven_policy::exchange::exchange_message::{ExchangeMessage, ObjectStamp};
use alderhaven_policy::membership::gossip_message::OutgoingMessage;
use alderhaven_policy::membership::group_membership::GroupMembership;
use alderhaven_policy::membership::member_record::{
    MemberRecord, MemberRole, MemberState, MemberVersion,
};
use alderhaven_policy::membership::membership_options::MembershipOptions;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::time;
use tokio_util::task::AbortOnDropHandle;

/// Time limit of each wait, so that a failing test doesn't hang.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Configuration held in memory.
#[derive(Clone)]
struct FakeConfig {
    objects: Arc<Mutex<BTreeMap<ObjectKey, StoredObject>>>,
    is_fully_listed: bool,
    changes: watch::Sender<u64>,
}

impl FakeConfig {
    fn new(is_fully_listed: bool) -> Self {
        Self {
            objects: Arc::default(),
            is_fully_listed,
            changes: watch::Sender::new(0),
        }
    }

    fn accept(&self, objects: Vec<StoredObject>) {
        let mut held = self
            .objects
            .lock()
            .expect("no thread panicked with the lock held");
        held.extend(
            objects
                .into_iter()
                .map(|object| (object.key.clone(), object)),
        );
        drop(held);
        self.changes.send_modify(|count| *count += 1);
    }

    fn access(&self) -> ConfigAccess {
        let (stamps, objects) = (self.clone(), self.clone());
        let (writer, is_fully_listed) = (self.clone(), self.is_fully_listed);
        ConfigAccess::builder()
            .stamps(move || {
                stamps
                    .held_objects()
                    .iter()
                    .map(ObjectStamp::from)
                    .collect()
            })
            .look_up(move |key| {
                objects
                    .held_objects()
                    .into_iter()
                    .find(|held| held.key == *key)
            })
            .accept(move |objects| writer.accept(objects))
            .is_fully_listed(move || is_fully_listed)
            .changes(self.changes.subscribe())
            .build()
    }

    fn held_objects(&self) -> Vec<StoredObject> {
        let held = self
            .objects
            .lock()
            .expect("no thread panicked with the lock held");
        held.values().cloned().collect()
    }
}

fn drain_object(index: usize, version: u64) -> StoredObject {
    StoredObject {
        key: ObjectKey {
            kind: ObjectKind::Drain,
            name: format!("target-{index}"),
        },
        version: StoreVersion::of_revision(version),
        write_id: version.to_string(),
        body: Some("x".repeat(10_000)),
    }
}

async fn start_node(index: usize, seed: Option<&PeerHandle>, config: &FakeConfig) -> PeerHandle {
    let options = PeerOptions::builder()
        .node(
            format!("node-{index}")
                .parse()
                .expect("the text is a valid id"),
        )
        .role(MemberRole::Relay)
        .host(
            format!("host-{index}")
                .parse()
                .expect("the text is a valid id"),
        )
        .domain("domain-0".parse().expect("the text is a valid id"))
        .gossip_address("127.0.0.1:0".parse().expect("the text is a valid address"))
        .incarnation(IncarnationNumber(1))
        .membership(MembershipOptions {
            seeds: seed.map(PeerHandle::gossip_address).into_iter().collect(),
            ..MembershipOptions::default()
        })
        .build();
    PeerNode::start(options, config.access())
        .await
        .expect("the loopback address can be bound")
}

async fn wait_for(handle: &PeerHandle, is_met: impl Fn(&PeerSnapshot) -> bool) {
    let mut changes = handle.subscribe();
    let waiting = async {
        while !is_met(&handle.snapshot()) {
            changes.changed().await.expect("the peer driver is running");
        }
    };
    time::timeout(WAIT_LIMIT, waiting)
        .await
        .expect("the expected snapshot appears in time");
}

fn count_members(snapshot: &PeerSnapshot, state: MemberState) -> usize {
    snapshot
        .members
        .iter()
        .filter(|member| member.state == state)
        .count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn start_joins_the_group() {
    let config = FakeConfig::new(true);
    let first = start_node(0, None, &config).await;
    let mut handles = vec![first];
    for index in 1..5 {
        let handle = start_node(index, handles.first(), &config).await;
        handles.push(handle);
    }
    for handle in &handles {
        wait_for(handle, |snapshot| {
            count_members(snapshot, MemberState::Alive) == 5
        })
        .await;
    }
    handles[3].announce_leaving().await;
    for handle in &handles {
        wait_for(handle, |snapshot| {
            count_members(snapshot, MemberState::Leaving) == 1
        })
        .await;
    }
    handles[3].shut_down().await;
    for handle in &handles {
        wait_for(handle, |snapshot| {
            count_members(snapshot, MemberState::Dead) == 1
        })
        .await;
    }
    assert!(
        serde_json::to_string(&*handles[0].snapshot()).is_ok(),
        "the snapshot can't be serialized as JSON"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn start_fetches_the_configuration_from_peers() {
    // A process that starts while the store is down must fetch all objects of its peers, here more
    // than fit one message, must not report a complete configuration before, and must receive later
    // changes.
    let (listed, unlisted) = (FakeConfig::new(true), FakeConfig::new(false));
    listed.accept((0..100).map(|index| drain_object(index, 1)).collect());
    let first = start_node(0, None, &listed).await;
    let second = start_node(1, Some(&first), &unlisted).await;
    wait_for(&second, |snapshot| snapshot.is_complete).await;
    assert_eq!(unlisted.held_objects(), listed.held_objects());
    listed.accept(vec![drain_object(7, 2)]);
    wait_for(&second, |snapshot| {
        snapshot.config.highest == StoreVersion::of_revision(2)
    })
    .await;
    wait_for(&second, |snapshot| {
        let (lagging, compared) = snapshot.lagging_members();
        lagging.is_empty() && compared == 2
    })
    .await;
    assert_eq!(unlisted.held_objects(), listed.held_objects());
}

/// Guards against replies being dropped for peers that connect beyond the limit of open
/// connections.
#[tokio::test]
async fn exchange_answers_more_peers_than_it_keeps() {
    const PEERS: usize = 80;
    let config = FakeConfig::new(true);
    let held = drain_object(1, 5);
    config.accept(vec![held.clone()]);
    let node = start_node(0, None, &config).await;
    let mut connections = Vec::new();
    for index in 1..=PEERS {
        let stream = TcpStream::connect(node.gossip_address()).await;
        let (sender, mut reader) =
            connection::split(stream.expect("the node accepts the connection"))
                .expect("the socket's options can be set");
        let hello = Hello {
            protocol: PROTOCOL_VERSION,
            node: format!("node-{index}"),
            incarnation: 1,
        };
        sender
            .send(PeerMessage::Hello(hello))
            .expect("the connection is open");
        let keys = vec![held.key.clone()];
        let fetch = PeerMessage::Exchange(ExchangeMessage::Fetch { keys }.into());
        sender.send(fetch).expect("the connection is open");
        let answer = time::timeout(WAIT_LIMIT, connection::next_message(&mut reader)).await;
        let answer = answer.expect("a reply arrives in time");
        assert!(
            matches!(answer, Some(PeerMessage::Exchange(_))),
            "peer {index} got no exchange message"
        );
        connections.push((sender, reader));
    }
}

/// A member whose exchange connections are accepted by the test.
struct ScriptedMember {
    listener: TcpListener,
    _gossip: AbortOnDropHandle<()>,
}

impl ScriptedMember {
    /// Joins the group of `node`.
    async fn join(node: &PeerHandle) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port can be bound");
        let address = listener.local_addr().expect("the address is known");
        let socket = UdpSocket::bind(address).await.expect("the port is free");
        let record = MemberRecord::builder()
            .node("node-9".parse().expect("a valid id"))
            .role(MemberRole::Relay)
            .host("host-9".parse().expect("a valid id"))
            .domain("domain-0".parse().expect("a valid id"))
            .gossip_address(address)
            .build();
        let version = MemberVersion {
            incarnation: IncarnationNumber(1),
            refutation: 0,
        };
        let options = MembershipOptions {
            seeds: vec![node.gossip_address()],
            ..MembershipOptions::default()
        };
        let membership = GroupMembership::new(record, version, options);
        Self {
            listener,
            _gossip: AbortOnDropHandle::new(tokio::spawn(gossip(membership, socket))),
        }
    }

    /// Starts a node and joins its group.
    async fn join_new_node(config: &FakeConfig) -> (PeerHandle, Self) {
        let node = start_node(0, None, config).await;
        let member = Self::join(&node).await;
        wait_for(&node, |snapshot| {
            count_members(snapshot, MemberState::Alive) == 2
        })
        .await;
        (node, member)
    }

    /// Accepts a connection.
    async fn accept(&self) -> (FrameSender, FrameReader) {
        let (stream, _) = self.listener.accept().await.expect("a connection");
        connection::split(stream).expect("the socket's options can be set")
    }
}

async fn gossip(mut membership: GroupMembership, socket: UdpSocket) {
    let clock = ProcessClock::default();
    let mut rng = StdRng::seed_from_u64(9);
    let mut datagram = [0; 2_048];
    loop {
        let outgoing = tokio::select! {
            () = time::sleep(Duration::from_millis(50)) => membership.tick(clock.now(), &mut rng),
            received = socket.recv_from(&mut datagram) => {
                let (length, from) = received.expect("a datagram");
                let message = gossip_messages::decode(&datagram[..length]).expect("a gossip message");
                membership.receive(from, message, clock.now(), &mut rng)
            }
        };
        for OutgoingMessage { to, message } in outgoing {
            let bytes = gossip_messages::encode(message);
            socket.send_to(&bytes, to).await.expect("a sent datagram");
        }
    }
}

/// Changes an object five times a second until the handle is dropped.
fn change_often(config: &FakeConfig) -> AbortOnDropHandle<()> {
    let config = config.clone();
    AbortOnDropHandle::new(tokio::spawn(async move {
        for version in 1.. {
            config.accept(vec![drain_object(1, version)]);
            time::sleep(Duration::from_millis(200)).await;
        }
    }))
}

/// Guards against a silent connection that is used for as long as the node itself sends on it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn exchange_replaces_a_silent_connection_that_it_sends_on() {
    let config = FakeConfig::new(true);
    let (node, member) = ScriptedMember::join_new_node(&config).await;
    let _changes = change_often(&config);
    // Neither read nor closed, like a connection whose path has lost its state.
    let _silent = member.accept().await;
    let replaced = time::timeout(WAIT_LIMIT, member.accept()).await;
    let (_sender, mut reader) = replaced.expect("another connection is opened");
    let hello = connection::next_message(&mut reader).await;
    assert!(matches!(hello, Some(PeerMessage::Hello(_))));
    let announcement = connection::next_message(&mut reader).await;
    assert!(matches!(announcement, Some(PeerMessage::Exchange(_))));
    wait_for(&node, |snapshot| snapshot.traffic.silent_links >= 1).await;
}

/// Guards against connections that are closed although their peer replies.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn exchange_keeps_a_connection_with_replies() {
    let config = FakeConfig::new(true);
    let (node, member) = ScriptedMember::join_new_node(&config).await;
    let _changes = change_often(&config);
    let (sender, mut reader) = member.accept().await;
    let mut pings = 0;
    while pings < 10 {
        let message = time::timeout(WAIT_LIMIT, connection::next_message(&mut reader)).await;
        let message = message.expect("the node asks for replies");
        if let PeerMessage::Ping(ping) = message.expect("the connection stays open") {
            pings += 1;
            let pong = PeerMessage::Pong(ping);
            sender.send(pong).expect("the connection is open");
        }
    }
    assert_eq!(node.snapshot().traffic.silent_links, 0);
}
