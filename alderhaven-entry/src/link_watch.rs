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
pub struct LinkWatch {
    sender: FrameSender,
    options: LinkOptions,
    ticks: Interval,
    number: u64,
    heard_at: Instant,
    /// When the oldest ping since then was sent.
    asked_at: Option<Instant>,
    /// A relay of an earlier release does not know pings; its silence means nothing.
    answers_pings: bool,
}

impl LinkWatch {
    /// Returns the watch of a new connection.
    #[must_use]
    pub fn new(sender: FrameSender, options: LinkOptions) -> Self {
        let mut ticks = time::interval(options.ping_every.as_duration());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self {
            sender,
            options,
            ticks,
            number: 0,
            heard_at: Instant::now(),
            asked_at: None,
            answers_pings: false,
        }
    }

    /// Notes what was heard: any frame shows that the link works.
    pub fn heard(&mut self, message: Option<&PeerMessage>) {
        self.heard_at = Instant::now();
        self.asked_at = None;
        self.answers_pings |= matches!(message, Some(PeerMessage::Pong(_)));
    }

    /// Sends pings until the link is silent; it may be dropped and called again.
    pub async fn silence(&mut self) {
        loop {
            self.ticks.tick().await;
            if self.is_silent() {
                return;
            }
            self.number += 1;
            let ping = PingProbe {
                number: self.number,
            };
            if self.sender.send(PeerMessage::Ping(ping)).is_ok() {
                self.asked_at.get_or_insert_with(Instant::now);
            }
        }
    }

    /// Returns true where a ping and all that came after it were not answered for too long.
    ///
    /// The time counts from the ping, not from the last frame: this process may have been paused.
    fn is_silent(&self) -> bool {
        let limit = self.options.max_silence.as_duration();
        let asked_long_ago = self.asked_at.is_some_and(|at| at.elapsed() >= limit);
        !limit.is_zero() && self.answers_pings && asked_long_ago
    }
}
