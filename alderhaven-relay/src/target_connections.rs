//! The kept connections to one target, and how far they are trusted.

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

/// How often a target that closes new connections is asked whether its process still runs.
const MAX_CRASH_PROBES: usize = 20;
/// The pause between two of those; a process that ends closes all it has within milliseconds.
const CRASH_PROBE_INTERVAL: Duration = Duration::from_millis(5);

/// A `TargetSender` is one connection that can carry one request at a time.
pub type TargetSender = SendRequest<Full<Bytes>>;

/// A `TakenConnection` is a connection that was taken for one request.
#[derive(Debug)]
pub struct TakenConnection {
    /// The connection.
    pub sender: TargetSender,
    /// How long it had been idle; none where it is new.
    pub idle_for: Option<TimeSpan>,
}

/// A `TargetConnections` keeps connections to one target open between attempts.
///
/// A new connection costs up to 6 ms (the brief's table), more than many a query takes at the
/// target, so a connection that has answered is kept. One whose attempt was not answered is never
/// given back: a late answer on it would be read as the answer to the next attempt.
///
/// A path that lost track of old connections shows as silence on all that were idle then. While a
/// probe looks into a silence no kept connection is taken, and once it is answered the ones that
/// were idle before it are closed, so that no further attempt waits on them.
#[derive(Debug)]
pub struct TargetConnections {
    address: SocketAddr,
    connect_timeout: TimeSpan,
    clock: ProcessClock,
    idle: Mutex<Vec<IdleConnection>>,
    path_health: Mutex<PathHealth>,
    /// Held while a probe is under way, so that there is one at a time.
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
    /// When the latest attempt of those that were answered had been sent.
    last_answered_sent: Option<TimePoint>,
    probe_started_at: TimePoint,
    replaced_count: u64,
    probe_count: u64,
}

/// A `PathReport` is what is believed of a target's connections, for the dump.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct PathReport {
    /// The state.
    pub state: HealthState,
    /// The probes that were sent.
    pub probes: u64,
    /// The connections that were closed as silent.
    pub replaced: u64,
}

#[derive(Clone, Copy, Debug)]
struct ProbeResult {
    ended_at: TimePoint,
    is_answered: bool,
}

/// Ends a probe as silent where its attempt no longer waits for it.
struct ProbeGuard<'a> {
    connections: &'a TargetConnections,
    is_finished: bool,
}

impl TargetConnections {
    /// Returns an empty set of connections to `address`.
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

    /// Gets the target's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gets the clock by which idle times are counted.
    #[must_use]
    pub const fn clock(&self) -> ProcessClock {
        self.clock
    }

    /// Gets the number of idle connections.
    #[must_use]
    pub fn idle_count(&self) -> usize {
        self.lock_idle().len()
    }

    /// Gets what is believed of the connections.
    #[must_use]
    pub fn report(&self) -> PathReport {
        let path = self.lock_path();
        PathReport {
            state: path.health.state(),
            probes: path.probe_count,
            replaced: path.replaced_count,
        }
    }

    /// Takes an idle connection that is trusted, or makes a new one.
    ///
    /// # Errors
    /// An error of the operating system, or a time-out: no byte of a request was sent.
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
        // Boxed, as all that is rare in an attempt: the attempt's own future is moved and allocated
        // for each one, and its size is that of its largest branch.
        Box::pin(self.connect()).await
    }

    /// Gives back a connection whose last request was answered in full.
    pub fn give_back(&self, sender: TargetSender) {
        if !sender.is_closed() {
            let idle_since = self.clock.now();
            self.lock_idle().push(IdleConnection { sender, idle_since });
        }
    }

    /// Makes a new connection.
    ///
    /// # Errors
    /// An error of the operating system, or a time-out.
    pub async fn connect(&self) -> io::Result<TakenConnection> {
        let connecting = TcpStream::connect(self.address);
        let stream = time::timeout(self.connect_timeout.as_duration(), connecting).await??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(async move {
            // An error of the connection reaches the attempt on it through its sender.
            let _ended = connection.await;
        });
        Ok(TakenConnection {
            sender,
            idle_for: None,
        })
    }

    /// Notes that an attempt that was sent at `sent` was answered.
    pub fn record_reply(&self, is_reused: bool, sent_at: TimePoint) {
        let mut path = self.lock_path();
        path.last_answered_sent = path.last_answered_sent.max(Some(sent_at));
        if !path.health.may_reuse() {
            drop(path);
            // A reply on a new connection says of the old ones what a probe's reply says.
            self.apply_event(if is_reused {
                HealthEvent::Replied
            } else {
                HealthEvent::ProbeAnswered
            });
        }
    }

    /// Gets the silence after which an attempt should lead to a probe.
    #[must_use]
    pub fn silence_bound(&self, expected_service_time: TimeSpan) -> Option<TimeSpan> {
        self.lock_path().health.silence_bound(expected_service_time)
    }

    /// Looks into the silence of an attempt; returns true where its connection is silent and the
    /// target is not to blame.
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

    /// Returns true where the target's process has died, seen after a connection to it was lost.
    ///
    /// A path that is cut leaves the process alive: a new connection works, or gets no answer at
    /// all. Where a new one works, the process may have been started anew at once; then all other
    /// connections went with the old one. A dying process may accept a connection and close it, so
    /// that counts as no answer yet.
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

    /// Returns true where there were other connections at `point` and all are closed now.
    fn are_all_closed(&self, opened_by: TimePoint) -> bool {
        let idle = self.lock_idle();
        let mut others = idle
            .iter()
            .filter(|connection| connection.idle_since <= opened_by)
            .peekable();
        others.peek().is_some() && others.all(|connection| connection.sender.is_closed())
    }

    /// Sends a probe, or waits for the one under way; returns true where it is answered.
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

    /// Applies an event and does what follows from it.
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
