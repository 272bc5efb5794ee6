//! Whether a connection to a peer still carries messages.
//!
//! After a network failure an open connection may stay silent for good, without a reset, while new
//! ones work. What this process sends on it says nothing, so only what it receives counts: a peer
//! that does not reply in time is taken to be behind a silent connection.

use alderhaven_core::time::{TimePoint, TimeSpan};

/// Time limits of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LivenessOptions {
    /// The time within which a peer replies to a message.
    pub reply_timeout: TimeSpan,
    /// The time without any message after which a connection is closed.
    pub idle_timeout: TimeSpan,
}

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Messages may be sent.
    Usable,
    /// It has carried no message for a long time.
    Idle,
    /// The peer has not replied in time to a message that was sent at this point.
    Silent(TimePoint),
}

/// Tracks the messages of one connection.
#[derive(Clone, Copy, Debug)]
pub struct LinkLiveness {
    options: LivenessOptions,
    last_message_at: TimePoint,
    /// When the first message was sent to which nothing has been received since.
    unanswered_since: Option<TimePoint>,
}

impl LinkLiveness {
    /// Creates the state of a connection that was opened at `now`.
    #[must_use]
    pub const fn new(options: LivenessOptions, now: TimePoint) -> Self {
        Self {
            options,
            last_message_at: now,
            unanswered_since: None,
        }
    }

    /// Records a sent message. Returns true if the peer has to be asked for a reply with it, because
    /// none is due yet.
    pub const fn record_sent(&mut self, now: TimePoint) -> bool {
        self.last_message_at = now;
        let needs_reply = self.unanswered_since.is_none();
        if needs_reply {
            self.unanswered_since = Some(now);
        }
        needs_reply
    }

    /// Records a received message.
    pub const fn record_received(&mut self, now: TimePoint) {
        self.last_message_at = now;
        self.unanswered_since = None;
    }

    /// Returns when the state changes if no message is sent or received.
    #[must_use]
    pub fn next_check(&self) -> TimePoint {
        let idle_at = self.last_message_at + self.options.idle_timeout;
        let silent_at = self
            .unanswered_since
            .map(|since| since + self.options.reply_timeout);
        silent_at.map_or(idle_at, |silent_at| silent_at.min(idle_at))
    }

    /// Returns the state of the connection.
    #[must_use]
    pub fn state(&self, now: TimePoint) -> LinkState {
        match self.unanswered_since {
            Some(since) if now.since(since) >= self.options.reply_timeout => {
                LinkState::Silent(since)
            }
            _ if now.since(self.last_message_at) >= self.options.idle_timeout => LinkState::Idle,
            _ => LinkState::Usable,
        }
    }
}
