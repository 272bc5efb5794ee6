//! Detects a relay connection that has gone silent.
//!
//! When a network path drops the state of a connection, nothing arrives in either direction and no
//! error is reported; every attempt would wait for its deadline. Pings make the relay send
//! regularly, so that silence means a lost connection.

use alderhaven_peer::connection::FrameSender;
use alderhaven_peer::frames::{PeerMessage, PingProbe};
use tokio::time;
use tokio::time::{Instant, Interval, MissedTickBehavior};

use crate::link_options::LinkOptions;

/// Sends pings on one connection and detects silence.
#[derive(Debug)]
pub struct LinkMonitor {
    sender: FrameSender,
    options: LinkOptions,
    ping_interval: Interval,
    last_ping_number: u64,
    last_message_at: Instant,
    /// Send time of the oldest ping since the last message.
    unanswered_ping_at: Option<Instant>,
    /// Whether the relay has answered a ping. Silence of a relay that doesn't support pings is
    /// ignored.
    answers_pings: bool,
}

impl LinkMonitor {
    /// Creates the monitor of a new connection.
    #[must_use]
    pub fn new(sender: FrameSender, options: LinkOptions) -> Self {
        let mut ticks = time::interval(options.ping_every.as_duration());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self {
            sender,
            options,
            ping_interval: ticks,
            last_ping_number: 0,
            last_message_at: Instant::now(),
            unanswered_ping_at: None,
            answers_pings: false,
        }
    }

    /// Records a received message. Any message shows that the connection works.
    pub fn record_message(&mut self, message: Option<&PeerMessage>) {
        self.last_message_at = Instant::now();
        self.unanswered_ping_at = None;
        self.answers_pings |= matches!(message, Some(PeerMessage::Pong(_)));
    }

    /// Sends pings until the connection is silent. Cancel safe.
    pub async fn wait_for_silence(&mut self) {
        loop {
            self.ping_interval.tick().await;
            if self.is_silent() {
                return;
            }
            self.last_ping_number += 1;
            let ping = PingProbe {
                number: self.last_ping_number,
            };
            if self.sender.send(PeerMessage::Ping(ping)).is_ok() {
                self.unanswered_ping_at.get_or_insert_with(Instant::now);
            }
        }
    }

    /// Returns true if a ping has been unanswered for `max_silence`.
    ///
    /// Measured from the ping and not from the last message, since this process may have been
    /// paused.
    fn is_silent(&self) -> bool {
        let limit = self.options.max_silence.as_duration();
        let is_ping_overdue = self
            .unanswered_ping_at
            .is_some_and(|at| at.elapsed() >= limit);
        !limit.is_zero() && self.answers_pings && is_ping_overdue
    }
}
