//! Reads HTTP/1.1 messages from blocking sockets.

use std::io::{self, Read};
use std::net::TcpStream;

/// A message with its first line, headers and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    /// Names are in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the word of the first line with this index.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads the next message; `None` if the connection ends before its first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(ended())
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        self.buffer.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first_line: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        let is_chunked = message.header("transfer-encoding").is_some();
        if is_chunked {
            message.body = self.read_chunks()?;
        } else {
            let length = message
                .header("content-length")
                .and_then(|text| text.parse().ok());
            message.body = self.take(length.unwrap_or(0))?;
        }
        Ok(Some(message))
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = find(&self.buffer, b"\r\n") {
                    break end;
                }
                if !self.fill()? {
                    return Err(ended());
                }
            };
            let size = String::from_utf8_lossy(&self.buffer[..end])
                .trim()
                .to_owned();
            let size = usize::from_str_radix(&size, 16).map_err(|_| ended())?;
            self.buffer.drain(..end + 2);
            body.extend(self.take(size)?);
            self.take(2)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(ended());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }
}

fn ended() -> io::Error {
    io::Error::new(
        io::ErrorKind::UnexpectedEof,
        "the connection ended within a message",
    )
}

fn find(bytes: &[u8], needle: &[u8]) -> Option<usize> {
    bytes
        .windows(needle.len())
        .position(|window| window == needle)
}
