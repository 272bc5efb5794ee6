//! The listening sockets of a front. They are bound before any address is announced, so that port
//! 0 can be configured and the bound ports are announced.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;

use crate::caller_server;
use crate::front_options::FrontOptions;

/// Bound sockets that aren't served yet.
#[derive(Debug)]
pub struct FrontListeners {
    /// For callers' requests.
    pub callers: TcpListener,
    /// For directory queries.
    pub directory: TcpListener,
    /// For readiness probes.
    pub ready: TcpListener,
    /// For group requests of fronts in other failure domains.
    pub groups: TcpListener,
    /// For metrics and status, if configured.
    pub metrics: Option<TcpListener>,
}

/// The bound addresses of a front.
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
    /// Binds all configured addresses.
    ///
    /// # Errors
    /// An address can't be bound.
    pub fn open(options: &FrontOptions) -> io::Result<Self> {
        Ok(Self {
            callers: caller_server::listen(options.caller_address)?,
            directory: caller_server::listen(options.directory_address)?,
            ready: caller_server::listen(options.ready_address)?,
            groups: caller_server::listen(options.group_address)?,
            metrics: options
                .metrics_address
                .map(caller_server::listen)
                .transpose()?,
        })
    }

    /// Gets the bound addresses.
    ///
    /// # Errors
    /// The operating system can't tell a socket's address.
    pub fn addresses(&self) -> io::Result<FrontAddresses> {
        Ok(FrontAddresses {
            callers: self.callers.local_addr()?,
            directory: self.directory.local_addr()?,
            ready: self.ready.local_addr()?,
            groups: self.groups.local_addr()?,
            metrics: self
                .metrics
                .as_ref()
                .map(TcpListener::local_addr)
                .transpose()?,
        })
    }
}
