//! Startup of membership and exchange in one process.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use alderhaven_core::ids::IncarnationNumber;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_intake::socket_options;
use alderhaven_policy::exchange::object_exchange::ObjectExchange;
use alderhaven_policy::membership::group_membership::GroupMembership;
use alderhaven_policy::membership::member_record::{MemberRecord, MemberVersion};
use arc_swap::ArcSwap;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};

use crate::exchange_links::ExchangeLinks;
use crate::frames::{Hello, PROTOCOL_VERSION};
use crate::peer_driver::PeerDriver;
use crate::peer_handle::{PeerHandle, PeerSnapshot, SharedPeers};
use crate::peer_options::{ConfigAccess, PeerOptions};

/// Maximum number of attempts to find a port that is free for both UDP and TCP.
const MAX_PORT_TRIES: usize = 16;

/// Capacity of the link event queue; when it is full, connections are read more slowly.
const MAX_QUEUED_EVENTS: usize = 256;

/// Entry point for a process that takes part in membership and exchange.
#[derive(Debug)]
pub struct PeerNode;

impl PeerNode {
    /// Binds UDP and TCP on the gossip address and spawns the task that runs membership and
    /// exchange.
    ///
    /// # Errors
    /// Returns the operating system's error if the address can't be bound.
    pub async fn start(options: PeerOptions, config: ConfigAccess) -> io::Result<PeerHandle> {
        let (socket, listener) = bind_sockets(options.gossip_address).await?;
        let gossip_address = socket.local_addr()?;
        let record = MemberRecord {
            node: options.node,
            role: options.role,
            host: options.host,
            domain: options.domain,
            gossip_address,
            peer_address: options.peer_address,
            caller_address: options.caller_address,
            capacity: options.capacity,
        };
        let hello = build_hello(&record, options.incarnation);
        let version = MemberVersion {
            incarnation: options.incarnation,
            refutation: 0,
        };
        let (command_sender, commands) = mpsc::unbounded_channel();
        let (event_sender, events) = mpsc::channel(MAX_QUEUED_EVENTS);
        let shared = Arc::new(SharedPeers {
            snapshot: ArcSwap::from_pointee(PeerSnapshot::default()),
            snapshot_changes: watch::Sender::new(0),
            commands: command_sender,
            gossip_address,
            clock: ProcessClock::default(),
            other_store_answer_us: AtomicU64::new(0),
        });
        let driver = PeerDriver::builder()
            .membership(GroupMembership::new(record, version, options.membership))
            .exchange(ObjectExchange::new(options.exchange))
            .links(ExchangeLinks::new(hello, event_sender, shared.clock))
            .socket(socket)
            .config(config)
            .shared(Arc::clone(&shared))
            .clock(shared.clock)
            .build();
        tokio::spawn(driver.run(listener, events, commands));
        Ok(PeerHandle { shared })
    }
}

fn build_hello(record: &MemberRecord, incarnation: IncarnationNumber) -> Hello {
    Hello {
        protocol: PROTOCOL_VERSION,
        node: record.node.to_string(),
        incarnation: incarnation.0,
    }
}

async fn bind_sockets(address: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let mut tries_left = MAX_PORT_TRIES;
    loop {
        let socket = UdpSocket::bind(address).await?;
        tries_left -= 1;
        match socket_options::listen_for_peers(socket.local_addr()?) {
            Ok(listener) => return Ok((socket, listener)),
            // With port 0, the port that UDP got may be taken for TCP: the next iteration gets
            // another one.
            Err(error) if address.port() != 0 || tries_left == 0 => return Err(error),
            Err(_) => {}
        }
    }
}
