//! The look-out for a link to a relay that has fallen silent.
//!
//! A path that lost track of a connection shows as silence: frames that are sent arrive nowhere and
//! none comes back, while nothing ends. Each attempt sent on it would wait for its deadline. Pings
//! make the relay speak, so that silence means that the link is lost, not that there is no work.

use alderhaven_peer::connection::FrameSender;
use alderhaven_peer::frames::{PeerMessage, PingProbe};
use tokio::time;
use tokio::time::{Instant, Interval, MissedTickBehavior};

use crate::link_options::LinkOptions;

/// A `LinkWatch` sends pings on one connection and says when it is silent.
#[derive(Debug)]
pub struct LinkMonitor {
    sender: FrameSender,
    options: LinkOptions,
    ping_interval: Interval,
    last_ping_number: u64,
    last_message_at: Instant,
    /// When the oldest ping since then was sent.
    unanswered_ping_at: Option<Instant>,
    /// A relay of an earlier release does not know pings; its silence means nothing.
    answers_pings: bool,
}

impl LinkMonitor {
    /// Returns the watch of a new connection.
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

    /// Notes what was heard: any frame shows that the link works.
    pub fn record_message(&mut self, message: Option<&PeerMessage>) {
        self.last_message_at = Instant::now();
        self.unanswered_ping_at = None;
        self.answers_pings |= matches!(message, Some(PeerMessage::Pong(_)));
    }

    /// Sends pings until the link is silent; it may be dropped and called again.
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

    /// Returns true where a ping and all that came after it were not answered for too long.
    ///
    /// The time counts from the ping, not from the last frame: this process may have been paused.
    fn is_silent(&self) -> bool {
        let limit = self.options.max_silence.as_duration();
        let is_ping_overdue = self
            .unanswered_ping_at
            .is_some_and(|at| at.elapsed() >= limit);
        !limit.is_zero() && self.answers_pings && is_ping_overdue
    }
}
