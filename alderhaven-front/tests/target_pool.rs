//! The kept connections to one target.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_front::target_pool::TargetPool;
use tokio::net::TcpListener;

/// Targets are full, and a request waits for a connection until its time is over. The connection that
/// was opened for it meanwhile is sound and goes to the next request: a new one each time takes the
/// target's slots from the requests that it could still answer.
#[tokio::test]
async fn give_back_unused_keeps_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&accepted);
    let accepting = tokio::spawn(async move {
        let mut streams = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::SeqCst);
            streams.push(stream);
        }
    });
    let pool = TargetPool::new(address, 2, ProcessClock::default());
    let mut unused = pool.take(false).await.expect("a connection");
    unused.sender().ready().await.expect("it is open");
    pool.give_back_unused(unused);
    let next = pool.take(false).await.expect("a connection");
    assert!(!next.is_new());
    assert_eq!(accepted.load(Ordering::SeqCst), 1);
    accepting.abort();
}
