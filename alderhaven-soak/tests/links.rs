//! Tests of the link proxy and of the fault plan.

use std::time::Duration;

use alderhaven_core::time::TimeSpan;
use alderhaven_soak::link_proxy::{LinkMode, LinkProxy};
use alderhaven_soak::soak_plan::{FAULT_FREE_END, SoakPlan};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The time without a byte after which a read counts as blocked.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(50);

/// Starts an echo server, and connects to it through a link.
async fn echo_link() -> (LinkProxy, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the address can be bound");
    let server = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                let _is_broken = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    let link = LinkProxy::start(server).await.expect("the link opens");
    let stream = TcpStream::connect(link.address())
        .await
        .expect("the link accepts the connection");
    (link, stream)
}

async fn read_byte(stream: &mut TcpStream) -> Option<u8> {
    stream.read_u8().await.ok()
}

#[tokio::test]
async fn link_open() {
    let (_link, mut stream) = echo_link().await;
    stream.write_u8(7).await.expect("the connection is open");
    assert_eq!(read_byte(&mut stream).await, Some(7));
}

/// A blocked link holds bytes back and delivers them once it is open again: none is lost.
#[tokio::test]
async fn link_blocked_and_reopened() {
    let (link, mut stream) = echo_link().await;
    for mode in [
        LinkMode::UpstreamBlocked,
        LinkMode::DownstreamBlocked,
        LinkMode::Blocked,
    ] {
        link.set_mode(mode);
        stream.write_u8(8).await.expect("the connection is open");
        let blocked_read = tokio::time::timeout(SILENCE_TIMEOUT, stream.read_u8()).await;
        assert!(blocked_read.is_err(), "{mode:?}");
        link.set_mode(LinkMode::Open);
        assert_eq!(read_byte(&mut stream).await, Some(8));
    }
}

/// A reset link closes open connections, and new ones as soon as they are accepted.
#[tokio::test]
async fn link_reset() {
    let (link, mut stream) = echo_link().await;
    stream.write_u8(9).await.expect("the connection is open");
    assert_eq!(read_byte(&mut stream).await, Some(9));
    link.set_mode(LinkMode::Reset);
    assert_eq!(read_byte(&mut stream).await, None);
    let mut next = TcpStream::connect(link.address())
        .await
        .expect("the link accepts the connection");
    assert_eq!(read_byte(&mut next).await, None);
}

#[test]
fn plan_of_a_seed() {
    let span = TimeSpan::from_secs(30);
    let plan = SoakPlan::new(7, span);
    assert_eq!(plan, SoakPlan::new(7, span));
    assert_ne!(plan, SoakPlan::new(8, span));
    assert!(plan.steps.len() > 20);
    let last = plan.steps.last().expect("the plan has a fault").at;
    assert!(
        last + FAULT_FREE_END <= span,
        "a fault starts in the fault-free end"
    );
}
