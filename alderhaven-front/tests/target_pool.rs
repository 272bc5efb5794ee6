//! Reuse of pooled connections to one target.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_front::target_pool::TargetPool;
use tokio::net::TcpListener;

/// Guards against closing a connection whose request ended while it waited: at a full target each
/// new connection takes a slot from other requests.
#[tokio::test]
async fn give_back_unused_keeps_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("failed to bind the listener");
    let address = listener.local_addr().expect("the listener has no address");
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
    let mut unused = pool.take(false).await.expect("failed to open a connection");
    unused
        .sender()
        .ready()
        .await
        .expect("the connection is closed");
    pool.give_back_unused(unused);
    let next = pool
        .take(false)
        .await
        .expect("failed to take the idle connection");
    assert!(!next.is_new());
    assert_eq!(accepted.load(Ordering::SeqCst), 1);
    accepting.abort();
}
