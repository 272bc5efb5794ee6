//! The socket for control messages between fronts.

use std::io;
use std::net::SocketAddr;

use alderhaven_peer::control_messages::{self, ControlMessage};
use tokio::net::UdpSocket;

/// Size of the largest datagram that is received, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Datagram socket of a front, bound to the address and port of its group requests.
#[derive(Debug)]
pub struct ControlSocket {
    socket: UdpSocket,
}

impl ControlSocket {
    /// Takes over a bound socket.
    #[must_use]
    pub const fn new(socket: UdpSocket) -> Self {
        Self { socket }
    }

    /// Sends a message. A message that can't be sent is lost like one that the network drops;
    /// senders repeat what is not answered.
    pub fn send(&self, receiver: SocketAddr, message: ControlMessage) {
        let bytes = control_messages::encode(message);
        let _is_sent = self.socket.try_send_to(&bytes, receiver);
    }

    /// Receives the next message that can be decoded.
    ///
    /// # Errors
    /// The socket failed.
    pub async fn receive(&self) -> io::Result<(ControlMessage, SocketAddr)> {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, sender) = self.socket.recv_from(&mut buffer).await?;
            if let Ok(Some(message)) = control_messages::decode(&buffer[..length]) {
                return Ok((message, sender));
            }
        }
    }
}
