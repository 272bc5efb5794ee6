//! Links to fronts in other failure domains.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use alderhaven_core::ids::FailureDomain;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_front::group_links::{GroupCall, GroupEvent, GroupLinks};
use alderhaven_node::node_group::{GroupOptions, NodeGroup};
use alderhaven_peer::connection::{self, FrameReader, FrameSender};
use alderhaven_peer::frames::PeerMessage;
use alderhaven_peer::group_messages::{GroupReply, GroupRequest};
use alderhaven_peer::peer_options::ConfigAccess;
use alderhaven_policy::membership::member_record::MemberRole;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How long a condition may take to become true before a test fails.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Starts a member of the node group, in a failure domain of its own name, that serves group
/// requests at `peer_address`.
async fn member(name: &str, peer_address: SocketAddr, seeds: Vec<SocketAddr>) -> NodeGroup {
    let options = GroupOptions::builder()
        .node(name.parse().expect("invalid name"))
        .role(MemberRole::Entry)
        .host(name.parse().expect("invalid name"))
        .domain(name.parse().expect("invalid name"))
        .gossip_listen(LOOPBACK)
        .seeds(seeds)
        .peer_address(peer_address)
        .build();
    let access = ConfigAccess::builder()
        .stamps(Vec::new)
        .look_up(|_| None)
        .accept(|_| {})
        .is_fully_listed(|| true)
        .changes(watch::Sender::new(0).subscribe())
        .build();
    let group = NodeGroup::start_with(options, access).await;
    group.expect("the node group did not start")
}

/// The remote front of a link, driven by the test.
struct RemoteFront {
    sender: FrameSender,
    reader: FrameReader,
}

impl RemoteFront {
    async fn accept(listener: &TcpListener) -> Self {
        let (stream, _) = listener.accept().await.expect("accept failed");
        let (sender, reader) = connection::split(stream).expect("failed to split the connection");
        let mut remote = Self { sender, reader };
        // The first request is empty and serves to measure the clock offset.
        let first = remote.next_request().await;
        remote.reply(&first);
        remote
    }

    async fn next_request(&mut self) -> GroupRequest {
        loop {
            match connection::next_message(&mut self.reader).await {
                Some(PeerMessage::GroupRequest(request)) => return request,
                Some(_) => {}
                None => panic!("the connection ended before a group request"),
            }
        }
    }

    fn reply(&self, request: &GroupRequest) {
        let reply = GroupReply {
            number: request.number,
            ..GroupReply::default()
        };
        let sent = self.sender.send(PeerMessage::GroupReply(reply));
        sent.expect("the connection is closed");
    }
}

/// A link to a front of another failure domain, with the first request open on it.
struct LinkFixture {
    links: GroupLinks,
    domain: FailureDomain,
    first_call: GroupCall,
    remote: RemoteFront,
    _other: NodeGroup,
}

impl LinkFixture {
    async fn start() -> Self {
        let listener = TcpListener::bind(LOOPBACK)
            .await
            .expect("failed to bind the listener");
        let address = listener.local_addr().expect("the listener has no address");
        let own = member("a", LOOPBACK, Vec::new()).await;
        let seeds = own.gossip_address().into_iter().collect();
        let other = member("b", address, seeds).await;
        let links = GroupLinks::new(own, ProcessClock::default());
        let domain: FailureDomain = "b".parse().expect("invalid failure domain name");
        let (first_call, remote) = open_link(&links, &domain, &listener).await;
        Self {
            links,
            domain,
            first_call,
            remote,
            _other: other,
        }
    }
}

/// Sends requests and accepts connections until one is usable. On a busy machine the first
/// connection may time out.
async fn open_link(
    links: &GroupLinks,
    domain: &FailureDomain,
    listener: &TcpListener,
) -> (GroupCall, RemoteFront) {
    let mut remote = None;
    let mut sending = std::pin::pin!(send_until_connected(links, domain));
    loop {
        tokio::select! {
            first = sending.as_mut() => return (first, remote.expect("no connection was accepted")),
            accepted = RemoteFront::accept(listener) => remote = Some(accepted),
        }
    }
}

/// Sends requests until one finds a usable connection.
async fn send_until_connected(links: &GroupLinks, domain: &FailureDomain) -> GroupCall {
    let sending = async {
        loop {
            if let Some(call) = links.send(domain, GroupRequest::default()) {
                return call;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let connected = tokio::time::timeout(CONDITION_TIMEOUT, sending).await;
    connected.expect("no usable connection in time")
}

/// Guards against dropping every open request when one is overdue: a front that is only late still
/// replies to requests that were sent a moment ago.
#[tokio::test]
async fn late_front_still_answers_open_requests() {
    let LinkFixture {
        links,
        domain,
        first_call: late,
        mut remote,
        _other,
    } = LinkFixture::start().await;
    let mut recent = links
        .send(&domain, GroupRequest::default())
        .expect("the link is not usable");
    let _late_request = remote.next_request().await;
    let recent_request = remote.next_request().await;
    late.mark_overdue();
    assert!(links.send(&domain, GroupRequest::default()).is_none());
    remote.reply(&recent_request);
    let event = tokio::time::timeout(CONDITION_TIMEOUT, recent.events.recv()).await;
    assert!(matches!(event, Ok(Some(GroupEvent::Reply(_)))), "{event:?}");
}

/// Guards against calls that wait for replies on a lost connection.
#[tokio::test]
async fn lost_link_is_reported_to_all_open_calls() {
    let LinkFixture {
        links,
        domain,
        mut first_call,
        remote,
        _other,
    } = LinkFixture::start().await;
    let mut second = links
        .send(&domain, GroupRequest::default())
        .expect("the link is not usable");
    drop(remote);
    for call in [&mut first_call, &mut second] {
        let event = tokio::time::timeout(CONDITION_TIMEOUT, call.events.recv()).await;
        assert!(matches!(event, Ok(Some(GroupEvent::Lost))), "{event:?}");
    }
}

/// Guards against requests to a front that stalls while the connection is opened: it would process
/// them late, with the full time left of the caller.
#[tokio::test]
async fn stalled_front_gets_no_requests() {
    let listener = TcpListener::bind(LOOPBACK)
        .await
        .expect("failed to bind the listener");
    let address = listener.local_addr().expect("the listener has no address");
    let own = member("a", LOOPBACK, Vec::new()).await;
    let seeds = own.gossip_address().into_iter().collect();
    let _other = member("b", address, seeds).await;
    let links = GroupLinks::new(own, ProcessClock::default());
    let domain: FailureDomain = "b".parse().expect("invalid failure domain name");
    let accepting = async {
        let (stream, _) = listener.accept().await.expect("accept failed");
        let (_sender, mut reader) =
            connection::split(stream).expect("failed to split the connection");
        let mut requests = Vec::new();
        while let Some(message) = connection::next_message(&mut reader).await {
            requests.push(message);
        }
        requests
    };
    let sending = async {
        loop {
            assert!(links.send(&domain, GroupRequest::default()).is_none());
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let received = tokio::select! {
        received = accepting => received,
        () = sending => Vec::new(),
    };
    assert_eq!(received.len(), 1, "expected the empty first request only");
}
