//! The listeners of a front. They are opened before anything is told to others, so that port 0 can
//! be given and what is told is what was bound.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;

use crate::caller_server;
use crate::front_options::FrontOptions;

/// A `FrontListeners` holds the listeners before they are served.
#[derive(Debug)]
pub struct FrontListeners {
    /// Towards callers.
    pub callers: TcpListener,
    /// Towards callers that ask for fronts.
    pub directory: TcpListener,
    /// Towards those who ask whether the front is ready.
    pub ready: TcpListener,
    /// Towards fronts of other failure domains.
    pub groups: TcpListener,
    /// Towards those who read the metrics, where that is asked for.
    pub metrics: Option<TcpListener>,
}

/// A `FrontAddresses` says where a front is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontAddresses {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where callers ask for fronts.
    pub directory: SocketAddr,
    /// Where the front says whether it is ready.
    pub ready: SocketAddr,
    /// Where fronts of other failure domains ask for attempts.
    pub groups: SocketAddr,
    /// Where the metrics are read.
    pub metrics: Option<SocketAddr>,
}

impl FrontListeners {
    /// Opens the listeners.
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

    /// Gets what was bound.
    ///
    /// # Errors
    /// An error of the operating system.
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
