//! Fronts that keep the limit of a team together over real sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use alderhaven_core::ids::{NodeId, TeamId};
use alderhaven_core::quantities::RatePerSecond;
use alderhaven_core::time::TimeSpan;
use alderhaven_front::control_socket::ControlSocket;
use alderhaven_front::credit_group::{self, CreditGroup, PoolPeer};
use alderhaven_front::credit_keeper::{CreditKeeper, CreditOptions, CreditRefusal};
use alderhaven_front::credit_limits::CreditLimits;
use alderhaven_front::credit_metrics::CreditMetrics;
use alderhaven_peer::control_messages::ControlMessage;
use alderhaven_policy::pool_order::{self, PoolCandidate};
use alderhaven_policy::quota_bound::QuotaBound;
use alderhaven_policy::team_limit::TeamLimit;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{self, Instant};

const BOUND: QuotaBound = QuotaBound {
    window: TimeSpan::from_secs(5),
    overshoot: 0.1,
    slack: 20.0,
};
const RATE: f64 = 40.0;
const MAX_WAIT: TimeSpan = TimeSpan::from_millis(40);

/// Time until all fronts have delegated their shares.
const START_TIME: Duration = Duration::from_millis(3_500);

struct TestFront {
    node: NodeId,
    keeper: Arc<CreditKeeper>,
    /// Whether messages of other fronts are dropped.
    is_cut: Arc<AtomicBool>,
}

fn limit() -> TeamLimit {
    TeamLimit {
        rate: RatePerSecond::new(RATE).expect("valid rate"),
        burst: 10.0,
    }
}

fn team() -> TeamId {
    "atlas".parse().expect("valid team")
}

fn limited() -> CreditLimits {
    CreditLimits::new(|_| Some(limit()), || true, watch::channel(0).1)
}

fn peer(node: &NodeId, address: SocketAddr) -> PoolPeer {
    PoolPeer {
        candidate: PoolCandidate {
            node: node.clone(),
            is_large: true,
        },
        address,
    }
}

async fn bind() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("bound");
    let address = socket.local_addr().expect("bound address");
    (socket, address)
}

fn start_keeper(
    node: &NodeId,
    socket: Arc<ControlSocket>,
    share: f64,
    peers: Vec<PoolPeer>,
    limits: CreditLimits,
) -> Arc<CreditKeeper> {
    let options = CreditOptions::builder()
        .node(node.clone())
        .bound(BOUND)
        .socket(socket)
        .group(CreditGroup::new(move || share, move || peers.clone()))
        .limits(limits)
        .metrics(CreditMetrics::default())
        .build();
    let keeper = Arc::new(CreditKeeper::new(options));
    tokio::spawn(Arc::clone(&keeper).run());
    keeper
}

/// Starts fronts with equal shares, in the order in which they are chosen as the pool.
async fn start_fronts(count: usize) -> Vec<TestFront> {
    let mut bound = Vec::new();
    for number in 0..count {
        let node: NodeId = format!("front-{number}").parse().expect("valid node");
        let (socket, address) = bind().await;
        bound.push((node, socket, address));
    }
    let peers: Vec<PoolPeer> = bound
        .iter()
        .map(|(node, _, address)| peer(node, *address))
        .collect();
    let mut order: Vec<PoolCandidate> = peers.iter().map(|peer| peer.candidate.clone()).collect();
    pool_order::sort_candidates(&mut order);
    let mut fronts = Vec::new();
    for (node, socket, _) in bound {
        let socket = Arc::new(ControlSocket::new(socket));
        let share = 1.0 / count as f64;
        let keeper = start_keeper(&node, Arc::clone(&socket), share, peers.clone(), limited());
        let is_cut = Arc::new(AtomicBool::new(false));
        tokio::spawn(serve(socket, Arc::clone(&keeper), Arc::clone(&is_cut)));
        fronts.push(TestFront {
            node,
            keeper,
            is_cut,
        });
    }
    fronts.sort_by_key(|front| {
        order
            .iter()
            .position(|candidate| candidate.node == front.node)
    });
    fronts
}

async fn serve(socket: Arc<ControlSocket>, keeper: Arc<CreditKeeper>, is_cut: Arc<AtomicBool>) {
    loop {
        let Ok((message, sender)) = socket.receive().await else {
            continue;
        };
        if is_cut.load(Ordering::Relaxed) {
            continue;
        }
        match message {
            ControlMessage::CreditQuery(query) => keeper.handle_query(&query, sender),
            ControlMessage::CreditReply(reply) => keeper.handle_reply(&reply, sender),
            _ => {}
        }
    }
}

/// Sends requests at several times the limit through some fronts, and returns how many got credit.
async fn run_hot_team(fronts: &[TestFront], duration: Duration) -> usize {
    let granted = Arc::new(AtomicUsize::new(0));
    let pause = Duration::from_secs(1).div_f64(RATE * 6.0 / fronts.len() as f64);
    let started_at = Instant::now();
    let senders = fronts.iter().map(|front| {
        let (keeper, granted) = (Arc::clone(&front.keeper), Arc::clone(&granted));
        async move {
            let mut ticks = time::interval(pause);
            while started_at.elapsed() < duration {
                ticks.tick().await;
                let (keeper, granted) = (Arc::clone(&keeper), Arc::clone(&granted));
                tokio::spawn(async move {
                    if keeper.acquire(&team(), limit(), MAX_WAIT).await.is_ok() {
                        granted.fetch_add(1, Ordering::Relaxed);
                    }
                });
            }
        }
    });
    futures::future::join_all(senders).await;
    time::sleep(MAX_WAIT.as_duration() * 2).await;
    granted.load(Ordering::Relaxed)
}

fn assert_granted(granted: usize, seconds: f64, part: f64) {
    let allowed = RATE * seconds;
    assert!(granted as f64 >= part * allowed, "{granted} of {allowed}");
    let most = (allowed + limit().burst) * (1.0 + BOUND.overshoot) + BOUND.slack;
    assert!(granted as f64 <= most, "{granted} of at most {most}");
}

/// Guards against equal shares and against independent counters.
#[tokio::test]
async fn acquire_hot_team() {
    let fronts = start_fronts(5).await;
    time::sleep(START_TIME).await;
    let one = run_hot_team(&fronts[3..4], Duration::from_secs(3)).await;
    assert_granted(one, 3.0, 0.95);
    let all = run_hot_team(&fronts, Duration::from_secs(3)).await;
    assert_granted(all, 3.0, 0.95);
    let refusal = fronts[3].keeper.acquire(&team(), limit(), MAX_WAIT).await;
    if let Err(refusal) = refusal {
        assert!(matches!(refusal, CreditRefusal::OverLimit { .. }));
    }
}

/// Guards against a group that serves nothing after its pool stops answering.
#[tokio::test]
async fn acquire_pool_cut_off() {
    let fronts = start_fronts(5).await;
    time::sleep(START_TIME).await;
    fronts[0].is_cut.store(true, Ordering::Relaxed);
    time::sleep(Duration::from_secs(2)).await;
    let status = fronts[2].keeper.status().expect("limits are in force");
    assert_eq!(status.pool, Some(fronts[1].node.to_string()));
    let granted = run_hot_team(&fronts[1..], Duration::from_secs(3)).await;
    assert_granted(granted, 3.0 * 0.8, 0.9);
    fronts[0].is_cut.store(false, Ordering::Relaxed);
    time::sleep(Duration::from_secs(2)).await;
    let status = fronts[2].keeper.status().expect("limits are in force");
    assert_eq!(status.pool, Some(fronts[0].node.to_string()), "returned");
    let granted = run_hot_team(&fronts, Duration::from_secs(3)).await;
    assert_granted(granted, 3.0, 0.95);
}

/// Guards against an isolated front that uses nothing or more than its share.
#[tokio::test]
async fn acquire_isolated() {
    let fronts = start_fronts(4).await;
    time::sleep(START_TIME).await;
    for front in &fronts {
        front.is_cut.store(true, Ordering::Relaxed);
    }
    time::sleep(Duration::from_secs(3)).await;
    let granted = run_hot_team(&fronts[2..3], Duration::from_secs(3)).await;
    assert_granted(granted, 3.0 / 4.0, 0.9);
}

/// Guards against credit of refused requests that is lost.
#[tokio::test]
async fn refund_all() {
    let fronts = start_fronts(2).await;
    time::sleep(START_TIME).await;
    for _ in 0..200 {
        let keeper = &fronts[1].keeper;
        let permit = keeper.acquire(&team(), limit(), MAX_WAIT).await;
        permit.expect("all credit was returned").refund();
    }
}

/// Guards against a front that starts cut off from all others and uses the whole limit.
#[test]
fn known_share_starts_isolated() {
    let cases = [
        (1.0, true, 0.0),
        (1.0, false, 1.0),
        (0.25, true, 0.25),
        (0.25, false, 0.25),
    ];
    for (share, has_seeds, known) in cases {
        assert!((credit_group::known_share(share, has_seeds) - known).abs() < 1e-9);
    }
}

/// Guards against messages of a deployment without limits.
#[tokio::test]
async fn run_without_limits() {
    let (socket, _) = bind().await;
    let (other, address) = bind().await;
    let node: NodeId = "front-0".parse().expect("valid node");
    let peers = vec![peer(&"front-1".parse().expect("valid node"), address)];
    let socket = Arc::new(ControlSocket::new(socket));
    let keeper = start_keeper(
        &node,
        socket,
        0.5,
        peers,
        CreditLimits::new(|_| None, || false, watch::channel(0).1),
    );
    let mut buffer = [0; 1_500];
    let received = time::timeout(Duration::from_secs(1), other.recv_from(&mut buffer)).await;
    assert!(received.is_err(), "nothing is sent");
    assert_eq!(keeper.status(), None);
}

/// Guards against a front without limits that looks for them again and again, and against one that
/// misses the first.
#[tokio::test]
async fn run_sleeps_until_the_first_limit() {
    let (socket, _) = bind().await;
    let (other, address) = bind().await;
    let node: NodeId = "front-0".parse().expect("valid node");
    let peers = vec![peer(&"front-1".parse().expect("valid node"), address)];
    let socket = Arc::new(ControlSocket::new(socket));
    let (has_limits, checks) = (
        Arc::new(AtomicBool::new(false)),
        Arc::<AtomicUsize>::default(),
    );
    let (limit_changes, changes) = watch::channel(0);
    let (has_any, check_count) = (Arc::clone(&has_limits), Arc::clone(&checks));
    let limits = CreditLimits::new(
        |_| Some(limit()),
        move || {
            check_count.fetch_add(1, Ordering::SeqCst);
            has_any.load(Ordering::SeqCst)
        },
        changes,
    );
    let _keeper = start_keeper(&node, socket, 0.5, peers, limits);
    time::sleep(Duration::from_millis(1_500)).await;
    assert!(checks.load(Ordering::SeqCst) <= 1);
    has_limits.store(true, Ordering::SeqCst);
    limit_changes.send_replace(1);
    let mut buffer = [0; 1_500];
    let received = time::timeout(Duration::from_secs(20), other.recv_from(&mut buffer)).await;
    assert!(received.is_ok(), "the first limit wakes the keeper");
}

/// Guards against a query for each request, and against requests that wait for a silent pool for
/// longer than they may.
#[tokio::test]
async fn acquire_silent_pool() {
    let (socket, _) = bind().await;
    let (pool, address) = bind().await;
    let node: NodeId = "front-0".parse().expect("valid node");
    let peers = vec![peer(&"front-1".parse().expect("valid node"), address)];
    let socket = Arc::new(ControlSocket::new(socket));
    let keeper = start_keeper(&node, socket, 0.5, peers, limited());
    time::sleep(Duration::from_millis(30)).await;
    let started_at = Instant::now();
    let (team, limit) = (team(), limit());
    let requests = (0..50).map(|_| keeper.acquire(&team, limit, MAX_WAIT));
    let ended = futures::future::join_all(requests).await;
    let took = started_at.elapsed();
    assert!(took < Duration::from_millis(150), "{took:?}");
    for refusal in ended {
        let refusal = refusal.expect_err("no credit");
        assert!(matches!(refusal, CreditRefusal::Unavailable { .. }));
    }
    let mut queries = 0;
    let mut buffer = [0; 1_500];
    while pool.try_recv_from(&mut buffer).is_ok() {
        queries += 1;
    }
    assert!((2..=5).contains(&queries), "{queries} queries");
}
