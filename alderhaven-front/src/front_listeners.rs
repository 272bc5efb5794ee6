//! The listening sockets of a front. They are bound before any address is announced, so that port
//! 0 can be configured and the bound ports are announced.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use alderhaven_intake::socket_options;
use tokio::net::{TcpListener, UdpSocket};

use crate::front_options::FrontOptions;

/// Maximum number of attempts to find a port that is free for both UDP and TCP.
const MAX_PORT_TRIES: usize = 16;

/// Bound sockets that aren't served yet.
#[derive(Debug)]
pub struct FrontListeners {
    /// For callers' requests, if configured.
    pub callers: Option<TcpListener>,
    /// For directory queries, if configured.
    pub directory: Option<TcpListener>,
    /// For readiness probes, if configured.
    pub ready: Option<TcpListener>,
    /// For group requests of fronts in other failure domains.
    pub groups: TcpListener,
    /// For metrics and status, if configured.
    pub metrics: Option<TcpListener>,
}

/// The address of what a front doesn't serve.
const NOT_SERVED: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// The bound addresses of a front; the unspecified address stands for what it doesn't serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontAddresses {
    /// Serves callers' requests.
    pub callers: SocketAddr,
    /// Serves directory queries.
    pub directory: SocketAddr,
    /// Serves readiness probes.
    pub ready: SocketAddr,
    /// Serves group requests of other fronts.
    pub groups: SocketAddr,
    /// Serves metrics and status, if configured.
    pub metrics: Option<SocketAddr>,
}

impl FrontListeners {
    /// Binds all configured addresses. The socket is for control messages of other fronts, at the
    /// address and port of their group requests.
    ///
    /// # Errors
    /// An address can't be bound.
    pub fn open(options: &FrontOptions) -> io::Result<(Self, UdpSocket)> {
        let (control, groups) = bind_group_sockets(options.group_address)?;
        let listeners = Self {
            callers: listen(options.caller_address)?,
            directory: listen(options.directory_address)?,
            ready: listen(options.ready_address)?,
            groups,
            metrics: listen(options.metrics_address)?,
        };
        Ok((listeners, control))
    }

    /// Gets the bound addresses.
    ///
    /// # Errors
    /// The operating system can't tell a socket's address.
    pub fn addresses(&self) -> io::Result<FrontAddresses> {
        Ok(FrontAddresses {
            callers: bound_address(self.callers.as_ref())?.unwrap_or(NOT_SERVED),
            directory: bound_address(self.directory.as_ref())?.unwrap_or(NOT_SERVED),
            ready: bound_address(self.ready.as_ref())?.unwrap_or(NOT_SERVED),
            groups: self.groups.local_addr()?,
            metrics: bound_address(self.metrics.as_ref())?,
        })
    }
}

fn listen(address: Option<SocketAddr>) -> io::Result<Option<TcpListener>> {
    address.map(socket_options::listen_for_callers).transpose()
}

fn bound_address(listener: Option<&TcpListener>) -> io::Result<Option<SocketAddr>> {
    listener.map(TcpListener::local_addr).transpose()
}

fn bind_group_sockets(address: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let mut tries_left = MAX_PORT_TRIES;
    loop {
        let socket = std::net::UdpSocket::bind(address)?;
        tries_left -= 1;
        match socket_options::listen_for_peers(socket.local_addr()?) {
            Ok(listener) => {
                socket.set_nonblocking(true)?;
                return Ok((UdpSocket::from_std(socket)?, listener));
            }
            // With port 0, the port that UDP got may be taken for TCP: the next iteration gets
            // another one.
            Err(error) if address.port() != 0 || tries_left == 0 => return Err(error),
            Err(_) => {}
        }
    }
}
