//! HTTP/1.1 client over a single keep-alive connection, for tools and tests.

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::{Result, WrapErr};
use http::header::HOST;
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Sends one request at a time.
#[derive(Debug)]
pub struct HttpConnection {
    host_header: HeaderValue,
    sender: SendRequest<Full<Bytes>>,
}

impl HttpConnection {
    /// Opens the connection.
    ///
    /// # Errors
    /// Where the server can't be reached.
    pub async fn connect(server: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(server).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        // An error of the connection is reported by the next request.
        tokio::spawn(connection);
        Ok(Self {
            host_header: HeaderValue::from_str(&server.to_string())?,
            sender,
        })
    }

    /// Sends a request and reads the complete response; sets the `Host` header.
    ///
    /// # Errors
    /// Where the connection ends before the response does.
    pub async fn send(&mut self, mut request: Request<Full<Bytes>>) -> Result<Response<Bytes>> {
        request.headers_mut().insert(HOST, self.host_header.clone());
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let (parts, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .wrap_err("the connection ended within the response")?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }
}
