//! Options of listening sockets, which their connections inherit.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// The accept backlog. When it is full the kernel drops SYN packets, and a retransmission takes a
/// second, which exceeds most deadlines.
const ACCEPT_BACKLOG: u32 = 1_024;

/// The receive buffer of a caller's connection in bytes, of which the kernel reserves twice as much. A
/// process that doesn't read leaves as many bytes to the kernel.
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;

/// The send buffer of a caller's connection in bytes, of which the kernel reserves twice as much.
const SEND_BUFFER_BYTES: u32 = 32 << 10;

/// The receive buffer of a connection of another node in bytes, of which the kernel reserves twice as much.
const PEER_RECEIVE_BUFFER_BYTES: u32 = 128 << 10;

/// Opens a listener for other nodes.
///
/// # Errors
/// The address can't be bound.
pub fn listen_for_peers(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = open(address)?;
    socket.set_recv_buffer_size(PEER_RECEIVE_BUFFER_BYTES)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Opens a listener whose connections have small buffers, for callers that nobody controls.
///
/// # Errors
/// The address can't be bound.
pub fn listen_for_callers(address: SocketAddr) -> io::Result<TcpListener> {
    listen_with_backlog(address, ACCEPT_BACKLOG)
}

/// Opens a listener like [`listen_for_callers`] whose queue of connections has another length.
///
/// # Errors
/// The address can't be bound.
pub fn listen_with_backlog(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = open(address)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.listen(backlog)
}

fn open(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
