//! Stand-in of a consumer: one request on a connection, and questions to the directory.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Message, Reader};

/// How long a consumer waits for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How a request ended for its consumer.
#[derive(Clone, Debug)]
pub enum End {
    /// A whole response.
    Response(Message),
    /// No connection could be established; nothing was sent.
    NoConnection(String),
    /// The connection ended after the request was sent, without a complete response.
    Cut(String),
}

impl End {
    /// Describes the end for the record.
    pub fn describe(&self) -> String {
        match self {
            Self::Response(response) => response.first_line.clone(),
            Self::NoConnection(reason) => format!("no connection ({reason})"),
            Self::Cut(reason) => format!("no complete response ({reason})"),
        }
    }
}

/// A request of a consumer.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    pub id: String,
    pub deadline: Duration,
    pub body: Vec<u8>,
}

impl Request {
    /// Sends the request on a new connection, and waits for the response up to the deadline.
    pub fn send(&self, address: SocketAddr) -> End {
        let stream = match TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
            Ok(stream) => stream,
            Err(error) => return End::NoConnection(error.to_string()),
        };
        match self.exchange(stream) {
            Ok(Some(response)) => End::Response(response),
            Ok(None) => End::Cut("the connection was closed without a response".to_owned()),
            Err(error) => End::Cut(error.to_string()),
        }
    }

    fn exchange(&self, stream: TcpStream) -> io::Result<Option<Message>> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.deadline))?;
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Alderhaven-Request-Id: {}\r\n\
             X-Alderhaven-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
            self.method,
            self.path,
            self.host,
            self.id,
            self.deadline.as_millis(),
            self.body.len()
        );
        let mut reader = Reader::new(stream);
        reader
            .stream
            .write_all(&[head.as_bytes(), &self.body].concat())?;
        reader.read()
    }
}

/// Sends a GET without a body, as the platform does for readiness and consumers do for the directory.
pub fn get(address: SocketAddr, path: &str) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(CONNECT_TIMEOUT))?;
    let mut reader = Reader::new(stream);
    let head = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    reader.stream.write_all(head.as_bytes())?;
    reader
        .read()?
        .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
