//! Connection health: silence is not slowness.
//!
//! Load pattern: the network path between two processes loses track of old connections. Bytes that
//! are sent on one arrive nowhere and nothing says so, while a new connection to the same target
//! works at once.
//!
//! Without it: each attempt on such a connection waits for its deadline, the target looks slow or
//! dead, and replica choice takes a healthy target out of use.
//!
//! The rules: an attempt that is silent for several times what its kind takes at this target leads
//! to a probe: a new connection with a cheap request. While the probe is under way the idle
//! connections are not used. Where the probe is answered, the connections that are older than it
//! and silent are replaced, their attempts end as unknown, in time for a retry elsewhere, and the
//! target is not blamed. Where it is refused or silent too, the target itself is down. A reply on
//! an old connection at any moment shows that the path is whole.
//!
//! A slow target answers the probe as well. So the silence must exceed [`HealthOptions::factor`]
//! times the mean that was learnt from this very target, and the attempt is ended only where its
//! connection had been idle before ([`HealthOptions::idle_suspect`]) or other attempts that were
//! sent later were answered meanwhile. A target that is slow as a whole answers none of them.
//!
//! Grounds for the figures: with service times spread exponentially about their mean, one attempt
//! in 3,000 takes eight times the mean; 200 ms is the shortest pause of a target's process that is
//! common under collection of garbage, and two such waits fit into the deadline of a second; a
//! probe costs one connection of 6 ms at most, so 150 ms without an answer is silence.

use alderhaven_core::time::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};
use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::health_machine::{HealthMachine, HealthPhase};

/// A `HealthOptions` holds the settings of connection health.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HealthOptions {
    /// Whether silent connections are looked for at all.
    pub enabled: bool,
    /// How many times the expected service time an attempt may be silent.
    #[serde(rename = "factor")]
    pub silence_factor: f64,
    /// The least silence that leads to a probe.
    pub min_silence: TimeSpan,
    /// The time within which a probe is answered.
    pub probe_timeout: TimeSpan,
    /// The idle time after which a connection may have been lost unnoticed.
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

/// A `HealthEvent` is what happened on the connections to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthEvent {
    /// An attempt has been silent for longer than it should.
    Silent,
    /// An attempt on a kept connection was answered.
    Replied,
    /// The probe on a new connection was answered.
    ProbeAnswered,
    /// The probe's connection was refused.
    ProbeRefused,
    /// The probe was not answered in time.
    ProbeSilent,
}

/// A `HealthState` is what is believed of the connections to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// Kept connections are used.
    Trusted,
    /// A probe is under way; kept connections are not used.
    Probing,
    /// New connections are refused or silent: the target itself is down.
    Down,
}

/// A `HealthAction` is what is to be done after an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthAction {
    /// Nothing.
    Nothing,
    /// Send a probe on a new connection.
    Probe,
    /// Close the connections that were idle since before the probe.
    ReplaceIdle,
}

/// A `SilentAttempt` is an attempt that waits for its reply while a probe was answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SilentAttempt {
    /// How long its connection had been idle when it was sent.
    pub idle_before: TimeSpan,
    /// When it was sent.
    pub sent: TimePoint,
    /// When the latest attempt of those that were answered had been sent, if any was.
    pub last_answered_sent: Option<TimePoint>,
}

/// A `ConnectionHealth` tells silent connections from a target that is slow or down.
pub struct ConnectionHealth {
    options: HealthOptions,
    machine: StateMachine<HealthMachine>,
}

impl ConnectionHealth {
    /// Returns the health of a target whose connections are trusted.
    #[must_use]
    pub fn new(options: HealthOptions) -> Self {
        let mut machine = HealthMachine::new().state_machine();
        machine.init();
        Self { options, machine }
    }

    /// Gets the silence after which an attempt leads to a probe, or none where it never does.
    #[must_use]
    pub fn silence_bound(&self, expected: TimeSpan) -> Option<TimeSpan> {
        let bound = expected.mul_f64(self.options.silence_factor);
        self.options
            .enabled
            .then(|| bound.max(self.options.min_silence))
    }

    /// Applies an event and gets what is to be done.
    pub fn handle(&mut self, event: HealthEvent) -> HealthAction {
        self.machine.handle(&event);
        self.machine.inner().action()
    }

    /// Gets the state.
    #[must_use]
    pub fn state(&self) -> HealthState {
        match self.machine.state() {
            HealthPhase::Trusted {} => HealthState::Trusted,
            HealthPhase::Probing {} => HealthState::Probing,
            HealthPhase::Down {} => HealthState::Down,
        }
    }

    /// Returns true where kept connections may be used.
    #[must_use]
    pub fn may_reuse(&self) -> bool {
        self.state() == HealthState::Trusted
    }

    /// Judges an attempt that still waits after a probe was answered: true where its connection is
    /// silent, false where the target may only be slow.
    #[must_use]
    pub fn is_silent(&self, attempt: &SilentAttempt) -> bool {
        let overtaken = attempt
            .last_answered_sent
            .is_some_and(|answered| answered > attempt.sent);
        overtaken || attempt.idle_before >= self.options.idle_suspect
    }

    /// Gets the settings.
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
