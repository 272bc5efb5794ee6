//! Pool of connections to one target, with the detection of silent ones and of crashes.

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::connection_health::{
    ConnectionHealth, HealthAction, HealthEvent, HealthOptions, HealthState, SilentAttempt,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time;

use crate::connection_probe;

/// Largest number of probes to a target that closes each new connection.
const MAX_CRASH_PROBES: usize = 20;
/// Delay between two of those probes; a process that exits closes its sockets within milliseconds.
const CRASH_PROBE_INTERVAL: Duration = Duration::from_millis(5);

/// HTTP/1 connection that carries one request at a time.
pub type TargetSender = SendRequest<Full<Bytes>>;

/// A connection that was taken from the pool for one request.
#[derive(Debug)]
pub struct TakenConnection {
    /// Sends the request on the connection.
    pub sender: TargetSender,
    /// Time for which the connection was idle; `None` if it is new.
    pub idle_for: Option<TimeSpan>,
}

/// Connections to one target that are kept open between attempts.
///
/// Opening a connection can take longer than a query, so a connection is reused after a complete
/// reply. One whose attempt got no reply is dropped: a late reply would be read as the reply to the
/// next attempt.
///
/// A network path that loses the state of old connections makes all idle ones silent. While a probe
/// is in flight, no idle connection is used. Once the probe is answered, those idle since before it
/// are closed, so that no further attempt waits on them.
#[derive(Debug)]
pub struct TargetConnections {
    address: SocketAddr,
    connect_timeout: TimeSpan,
    clock: ProcessClock,
    idle: Mutex<Vec<IdleConnection>>,
    path_health: Mutex<PathHealth>,
    /// Locked while a probe is in flight, so that there is one at a time.
    last_probe: tokio::sync::Mutex<Option<ProbeResult>>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: TargetSender,
    idle_since: TimePoint,
}

#[derive(Debug)]
struct PathHealth {
    health: ConnectionHealth,
    /// Send time of the latest attempt that was answered.
    last_answered_sent: Option<TimePoint>,
    probe_started_at: TimePoint,
    replaced_count: u64,
    probe_count: u64,
}

/// State of a target's connections, for the dump.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct PathReport {
    /// Assumed state of the connections.
    pub state: HealthState,
    /// Number of probes that were sent.
    pub probes: u64,
    /// Number of idle connections that were closed as silent.
    pub replaced: u64,
}

#[derive(Clone, Copy, Debug)]
struct ProbeResult {
    ended_at: TimePoint,
    is_answered: bool,
}

/// Ends a probe as silent if its future is dropped before the probe ends.
struct ProbeGuard<'a> {
    connections: &'a TargetConnections,
    is_finished: bool,
}

impl TargetConnections {
    /// Creates an empty pool for the target at `address`.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        connect_timeout: TimeSpan,
        options: HealthOptions,
        clock: ProcessClock,
    ) -> Self {
        Self {
            address,
            connect_timeout,
            clock,
            idle: Mutex::new(Vec::new()),
            path_health: Mutex::new(PathHealth {
                health: ConnectionHealth::new(options),
                last_answered_sent: None,
                probe_started_at: TimePoint::START,
                replaced_count: 0,
                probe_count: 0,
            }),
            last_probe: tokio::sync::Mutex::new(None),
        }
    }

    /// Returns the target's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the clock of idle times and send times.
    #[must_use]
    pub const fn clock(&self) -> ProcessClock {
        self.clock
    }

    /// Returns the number of idle connections.
    #[must_use]
    pub fn idle_count(&self) -> usize {
        self.lock_idle().len()
    }

    /// Returns the state of the connections for the dump.
    #[must_use]
    pub fn report(&self) -> PathReport {
        let path = self.lock_path();
        PathReport {
            state: path.health.state(),
            probes: path.probe_count,
            replaced: path.replaced_count,
        }
    }

    /// Takes an idle connection if they are trusted, or opens a new one.
    ///
    /// # Errors
    /// Returns an I/O error if no connection can be opened in time; no byte of a request was sent.
    pub async fn take(&self) -> io::Result<TakenConnection> {
        while self.lock_path().health.may_reuse() {
            let Some(connection) = self.lock_idle().pop() else {
                break;
            };
            if connection.sender.is_ready() {
                return Ok(TakenConnection {
                    sender: connection.sender,
                    idle_for: Some(self.clock.now().since(connection.idle_since)),
                });
            }
        }
        // Boxed because it is rare: the future of an attempt is moved and allocated each time, and
        // it is as large as its largest branch.
        Box::pin(self.connect()).await
    }

    /// Returns a connection to the pool after a complete reply.
    pub fn give_back(&self, sender: TargetSender) {
        if !sender.is_closed() {
            let idle_since = self.clock.now();
            self.lock_idle().push(IdleConnection { sender, idle_since });
        }
    }

    /// Opens a new connection.
    ///
    /// # Errors
    /// Returns an I/O error if the connection can't be opened within the connect timeout.
    pub async fn connect(&self) -> io::Result<TakenConnection> {
        let connecting = TcpStream::connect(self.address);
        let stream = time::timeout(self.connect_timeout.as_duration(), connecting).await??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(async move {
            // An error reaches the attempt on this connection through its sender.
            let _ended = connection.await;
        });
        Ok(TakenConnection {
            sender,
            idle_for: None,
        })
    }

    /// Records that an attempt sent at `sent_at` was answered.
    pub fn record_reply(&self, is_reused: bool, sent_at: TimePoint) {
        let mut path = self.lock_path();
        path.last_answered_sent = path.last_answered_sent.max(Some(sent_at));
        if !path.health.may_reuse() {
            drop(path);
            // A reply on a new connection proves the same as an answered probe.
            self.apply_event(if is_reused {
                HealthEvent::Replied
            } else {
                HealthEvent::ProbeAnswered
            });
        }
    }

    /// Returns the time without a reply after which an attempt leads to a probe, or `None` if
    /// disabled.
    #[must_use]
    pub fn silence_bound(&self, expected_service_time: TimeSpan) -> Option<TimeSpan> {
        self.lock_path().health.silence_bound(expected_service_time)
    }

    /// Probes the target for an attempt without a reply; returns true if the attempt's connection
    /// is lost and the target is not at fault.
    pub async fn probe_for_silence(&self, idle_before: TimeSpan, sent_at: TimePoint) -> bool {
        if !self.probe().await {
            return false;
        }
        let path = self.lock_path();
        path.health.is_silent(&SilentAttempt {
            idle_before,
            sent: sent_at,
            last_answered_sent: path.last_answered_sent,
        })
    }

    /// Probes, after a connection was lost, whether the target's process has crashed.
    ///
    /// It has if a new connection is refused, or if one works while all older idle ones are closed:
    /// then the process was restarted. If only the network path failed, a new connection works
    /// beside the older ones or gets no reply. A process that is exiting may accept a connection
    /// and close it, so the probe is repeated after such a result.
    pub async fn is_process_dead(&self) -> bool {
        let started_at = self.clock.now();
        let timeout = self
            .lock_path()
            .health
            .options()
            .probe_timeout
            .as_duration();
        for _ in 0..MAX_CRASH_PROBES {
            match time::timeout(timeout, connection_probe::send(self)).await {
                Ok(Ok(())) => return self.are_all_closed(started_at),
                Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => return true,
                Ok(Err(_)) => time::sleep(CRASH_PROBE_INTERVAL).await,
                Err(_) => return false,
            }
        }
        false
    }

    /// Returns true if there are idle connections from `opened_by` or before, and all of them are
    /// closed.
    fn are_all_closed(&self, opened_by: TimePoint) -> bool {
        let idle = self.lock_idle();
        let mut others = idle
            .iter()
            .filter(|connection| connection.idle_since <= opened_by)
            .peekable();
        others.peek().is_some() && others.all(|connection| connection.sender.is_closed())
    }

    /// Sends a probe, or waits for the one in flight; returns true if it is answered.
    async fn probe(&self) -> bool {
        let started_at = self.clock.now();
        let mut last_result = self.last_probe.lock().await;
        if let Some(result) = *last_result
            && result.ended_at >= started_at
        {
            return result.is_answered;
        }
        self.apply_event(HealthEvent::Silent);
        let mut guard = ProbeGuard {
            connections: self,
            is_finished: false,
        };
        let timeout = self.lock_path().health.options().probe_timeout;
        let result = time::timeout(timeout.as_duration(), connection_probe::send(self)).await;
        let event = match result {
            Ok(Ok(())) => HealthEvent::ProbeAnswered,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                HealthEvent::ProbeRefused
            }
            Ok(Err(_)) | Err(_) => HealthEvent::ProbeSilent,
        };
        guard.is_finished = true;
        self.apply_event(event);
        let is_answered = event == HealthEvent::ProbeAnswered;
        *last_result = Some(ProbeResult {
            ended_at: self.clock.now(),
            is_answered,
        });
        is_answered
    }

    /// Applies an event and takes the action that follows from it.
    fn apply_event(&self, event: HealthEvent) {
        let mut path = self.lock_path();
        match path.health.handle(event) {
            HealthAction::Nothing => {}
            HealthAction::Probe => {
                path.probe_started_at = self.clock.now();
                path.probe_count += 1;
            }
            HealthAction::ReplaceIdle => {
                let probe_started_at = path.probe_started_at;
                let mut idle = self.lock_idle();
                let count_before = idle.len();
                idle.retain(|connection| connection.idle_since >= probe_started_at);
                path.replaced_count += (count_before - idle.len()) as u64;
            }
        }
    }

    fn lock_idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_path(&self) -> MutexGuard<'_, PathHealth> {
        self.path_health
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ProbeGuard<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.connections.apply_event(HealthEvent::ProbeSilent);
        }
    }
}
