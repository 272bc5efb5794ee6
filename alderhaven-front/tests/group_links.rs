//! The connections to fronts in other failure domains.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use alderhaven_core::ids::FailureDomain;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_front::group_links::{GroupLinks, GroupNews, GroupTicket};
use alderhaven_node::node_group::{GroupOptions, NodeGroup};
use alderhaven_peer::connection::{self, FrameReader, FrameSender};
use alderhaven_peer::frames::PeerMessage;
use alderhaven_peer::group_messages::{GroupAsk, GroupReply};
use alderhaven_peer::peer_options::ConfigAccess;
use alderhaven_policy::membership::member_record::MemberRole;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How long a condition may take to become true before a test fails: far above what a busy machine
/// needs.
const PATIENCE: Duration = Duration::from_secs(20);

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A member of the group in a failure domain, that other fronts ask at `peer_address`.
async fn member(name: &str, peer_address: SocketAddr, seeds: Vec<SocketAddr>) -> NodeGroup {
    let options = GroupOptions::builder()
        .node(name.parse().expect("a name"))
        .role(MemberRole::Entry)
        .host(name.parse().expect("a name"))
        .domain(name.parse().expect("a name"))
        .gossip_listen(LOOPBACK)
        .seeds(seeds)
        .peer_address(peer_address)
        .build();
    let access = ConfigAccess::builder()
        .stamps(Vec::new)
        .look_up(|_| None)
        .accept(|_| {})
        .is_listed(|| true)
        .changed(watch::Sender::new(0).subscribe())
        .build();
    let group = NodeGroup::start_with(options, access).await;
    group.expect("a group")
}

/// The other front's end of a link.
struct OtherEnd {
    sender: FrameSender,
    reader: FrameReader,
}

impl OtherEnd {
    async fn accept(listener: &TcpListener) -> Self {
        let (stream, _) = listener.accept().await.expect("a connection");
        let (sender, reader) = connection::split(stream).expect("its halves");
        let mut end = Self { sender, reader };
        // The first ask is empty: by it the two find out how their clocks differ.
        let first = end.next_ask().await;
        end.reply(&first);
        end
    }

    async fn next_ask(&mut self) -> GroupAsk {
        loop {
            match connection::next_message(&mut self.reader).await {
                Some(PeerMessage::GroupAsk(ask)) => return ask,
                Some(_) => {}
                None => panic!("the link has ended"),
            }
        }
    }

    fn reply(&self, ask: &GroupAsk) {
        let reply = GroupReply {
            number: ask.number,
            ..GroupReply::default()
        };
        let sent = self.sender.send(PeerMessage::GroupReply(reply));
        sent.expect("the link is open");
    }
}

/// An `OpenLink` is a link to a front of another failure domain, with the first ask on it.
struct OpenLink {
    links: GroupLinks,
    domain: FailureDomain,
    first: GroupTicket,
    end: OtherEnd,
    _other: NodeGroup,
}

impl OpenLink {
    async fn start() -> Self {
        let listener = TcpListener::bind(LOOPBACK).await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let own = member("a", LOOPBACK, Vec::new()).await;
        let seeds = own.gossip_address().into_iter().collect();
        let other = member("b", address, seeds).await;
        let links = GroupLinks::new(own, ProcessClock::default());
        let domain: FailureDomain = "b".parse().expect("a domain");
        let (first, end) = open(&links, &domain, &listener).await;
        Self {
            links,
            domain,
            first,
            end,
            _other: other,
        }
    }
}

/// Asks until a connection stands; where the machine is busy it may be the second one.
async fn open(
    links: &GroupLinks,
    domain: &FailureDomain,
    listener: &TcpListener,
) -> (GroupTicket, OtherEnd) {
    let mut end = None;
    let mut asking = std::pin::pin!(first_ask(links, domain));
    loop {
        tokio::select! {
            first = asking.as_mut() => return (first, end.expect("an open connection")),
            accepted = OtherEnd::accept(listener) => end = Some(accepted),
        }
    }
}

/// Asks until a connection stands.
async fn first_ask(links: &GroupLinks, domain: &FailureDomain) -> GroupTicket {
    let asking = async {
        loop {
            if let Some(ticket) = links.ask(domain, GroupAsk::default()) {
                return ticket;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let asked = tokio::time::timeout(PATIENCE, asking).await;
    asked.expect("a connection in time")
}

/// After a restart of all hosts another front is late with its reply. The query that noticed it asks
/// elsewhere; one that was sent a moment ago on the same connection still gets its reply, where a
/// link that is given up as a whole would have lost it with all its shards.
#[tokio::test]
async fn late_front_still_answers_what_is_open() {
    let OpenLink {
        links,
        domain,
        first: late,
        mut end,
        _other,
    } = OpenLink::start().await;
    let mut recent = links.ask(&domain, GroupAsk::default()).expect("it is open");
    let _late_ask = end.next_ask().await;
    let recent_ask = end.next_ask().await;
    late.missed();
    assert!(links.ask(&domain, GroupAsk::default()).is_none());
    end.reply(&recent_ask);
    let news = tokio::time::timeout(PATIENCE, recent.news.recv()).await;
    assert!(matches!(news, Ok(Some(GroupNews::Reply(_)))), "{news:?}");
}

/// The connection to another front ends. Every query that waits for it hears so.
#[tokio::test]
async fn lost_link_is_told_to_all_who_wait() {
    let OpenLink {
        links,
        domain,
        mut first,
        end,
        _other,
    } = OpenLink::start().await;
    let mut second = links.ask(&domain, GroupAsk::default()).expect("it is open");
    drop(end);
    for ticket in [&mut first, &mut second] {
        let news = tokio::time::timeout(PATIENCE, ticket.news.recv()).await;
        assert!(matches!(news, Ok(Some(GroupNews::Lost))), "{news:?}");
    }
}

/// Another front stands still while the connection to it is made. Its first ask would be taken up late,
/// with all the time that the caller had at first; it is sent nothing before it has answered.
#[tokio::test]
async fn front_that_stands_still_is_not_asked() {
    let listener = TcpListener::bind(LOOPBACK).await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let own = member("a", LOOPBACK, Vec::new()).await;
    let seeds = own.gossip_address().into_iter().collect();
    let _other = member("b", address, seeds).await;
    let links = GroupLinks::new(own, ProcessClock::default());
    let domain: FailureDomain = "b".parse().expect("a domain");
    let accepting = async {
        let (stream, _) = listener.accept().await.expect("a connection");
        let (_sender, mut reader) = connection::split(stream).expect("its halves");
        let mut asks = Vec::new();
        while let Some(message) = connection::next_message(&mut reader).await {
            asks.push(message);
        }
        asks
    };
    let asking = async {
        loop {
            assert!(links.ask(&domain, GroupAsk::default()).is_none());
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let heard = tokio::select! {
        heard = accepting => heard,
        () = asking => Vec::new(),
    };
    assert_eq!(heard.len(), 1, "the empty ask alone, and then the end");
}
