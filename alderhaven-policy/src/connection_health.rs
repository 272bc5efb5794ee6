//! Detection of connections that were lost without notice, as opposed to slow or failed targets.
//!
//! A network path may drop the state of an old connection, so that requests on it are lost without
//! an error. An attempt without a reply for several expected service times leads to a probe on a new
//! connection; meanwhile idle connections are not used. If the probe fails, the target is down. If it
//! is answered, older idle connections are replaced. A slow target answers the probe as well, so an
//! attempt is ended as lost only if its connection had been idle before
//! ([`HealthOptions::idle_suspect`]) or if attempts sent later have been answered.

use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};
use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::health_machine::{HealthMachine, HealthPhase};

/// Settings of [`ConnectionHealth`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HealthOptions {
    /// Whether silent connections are detected at all.
    pub enabled: bool,
    /// The multiple of the expected service time after which an attempt counts as silent. With
    /// exponentially distributed service times, one attempt in 3,000 takes 8 times the mean.
    #[serde(rename = "factor")]
    pub silence_factor: f64,
    /// The minimum time after which an attempt counts as silent. 200 ms is the shortest
    /// common pause for garbage collection, and two such waits fit into a deadline of one second.
    pub min_silence: TimeSpan,
    /// The time within which a probe must be answered; many times the few milliseconds that a new
    /// connection takes.
    pub probe_timeout: TimeSpan,
    /// The idle time after which a connection may have been lost without notice.
    pub idle_suspect: TimeSpan,
}

impl Default for HealthOptions {
    fn default() -> Self {
        Self {
            enabled: true,
            silence_factor: 8.0,
            min_silence: TimeSpan::from_millis(200),
            probe_timeout: TimeSpan::from_millis(150),
            idle_suspect: TimeSpan::from_millis(50),
        }
    }
}

/// An event on the connections to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthEvent {
    /// An attempt has had no reply for longer than the silence bound.
    Silent,
    /// An attempt on a reused connection was answered.
    Replied,
    /// The probe was answered.
    ProbeAnswered,
    /// The connection of the probe was refused.
    ProbeRefused,
    /// The probe was not answered in time.
    ProbeSilent,
}

/// The assumed state of the connections to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// Idle connections are reused.
    Trusted,
    /// A probe is in flight; idle connections are not reused.
    Probing,
    /// New connections are refused or silent: the target itself is down.
    Down,
}

/// The action to take after an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthAction {
    /// No action is needed.
    Nothing,
    /// Send a probe on a new connection.
    Probe,
    /// Close the connections that have been idle since before the probe.
    ReplaceIdle,
}

/// An attempt that has no reply although a probe was answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SilentAttempt {
    /// How long the connection had been idle when the attempt was sent.
    pub idle_before: TimeSpan,
    /// When the attempt was sent.
    pub sent: TimePoint,
    /// The send time of the latest attempt that has been answered, if any.
    pub last_answered_sent: Option<TimePoint>,
}

/// Tells lost connections from a target that is slow or down.
pub struct ConnectionHealth {
    options: HealthOptions,
    machine: StateMachine<HealthMachine>,
}

impl ConnectionHealth {
    /// Creates the health of a target whose connections are trusted.
    #[must_use]
    pub fn new(options: HealthOptions) -> Self {
        let mut machine = HealthMachine::new().state_machine();
        machine.init();
        Self { options, machine }
    }

    /// Returns the time without a reply after which an attempt leads to a probe, or `None` if disabled.
    #[must_use]
    pub fn silence_bound(&self, expected: TimeSpan) -> Option<TimeSpan> {
        let bound = expected.mul_f64(self.options.silence_factor);
        self.options
            .enabled
            .then(|| bound.max(self.options.min_silence))
    }

    /// Applies an event and returns the action to take.
    pub fn handle(&mut self, event: HealthEvent) -> HealthAction {
        self.machine.handle(&event);
        self.machine.inner().action()
    }

    /// Returns the assumed state of the connections.
    #[must_use]
    pub fn state(&self) -> HealthState {
        match self.machine.state() {
            HealthPhase::Trusted {} => HealthState::Trusted,
            HealthPhase::Probing {} => HealthState::Probing,
            HealthPhase::Down {} => HealthState::Down,
        }
    }

    /// Returns `true` if idle connections may be reused.
    #[must_use]
    pub fn may_reuse(&self) -> bool {
        self.state() == HealthState::Trusted
    }

    /// Decides about an attempt that has no reply after a probe was answered: `true` if its
    /// connection is lost, `false` if the target may only be slow.
    #[must_use]
    pub fn is_silent(&self, attempt: &SilentAttempt) -> bool {
        let overtaken = attempt
            .last_answered_sent
            .is_some_and(|answered| answered > attempt.sent);
        overtaken || attempt.idle_before >= self.options.idle_suspect
    }

    /// Returns the settings.
    #[must_use]
    pub const fn options(&self) -> &HealthOptions {
        &self.options
    }
}

impl std::fmt::Debug for ConnectionHealth {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("ConnectionHealth")
            .field("state", &self.state())
            .finish_non_exhaustive()
    }
}
