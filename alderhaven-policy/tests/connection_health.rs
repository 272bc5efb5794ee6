//! Tests of the connection health's state machine, and of which attempts count as lost.

mod common;

use alderhaven_core::time::TimeSpan;
use alderhaven_policy::connection_health::HealthAction::{Nothing, Probe, ReplaceIdle};
use alderhaven_policy::connection_health::HealthEvent::{
    ProbeAnswered, ProbeRefused, ProbeSilent, Replied, Silent,
};
use alderhaven_policy::connection_health::HealthState::{Down, Probing, Trusted};
use alderhaven_policy::connection_health::{
    ConnectionHealth, HealthEvent, HealthOptions, HealthState, SilentAttempt,
};
use common::{at, ms};

fn health() -> ConnectionHealth {
    ConnectionHealth::new(HealthOptions::default())
}

fn health_in(state: HealthState) -> ConnectionHealth {
    let mut health = health();
    let path: &[HealthEvent] = match state {
        Trusted => &[],
        Probing => &[Silent],
        Down => &[Silent, ProbeRefused],
    };
    for event in path {
        health.handle(*event);
    }
    assert_eq!(health.state(), state);
    health
}

#[test]
fn health_every_transition() {
    let transitions = [
        (Trusted, Silent, Probing, Probe),
        (Trusted, Replied, Trusted, Nothing),
        (Trusted, ProbeAnswered, Trusted, Nothing),
        (Trusted, ProbeRefused, Down, Nothing),
        (Trusted, ProbeSilent, Trusted, Nothing),
        (Probing, Silent, Probing, Nothing),
        (Probing, Replied, Trusted, Nothing),
        (Probing, ProbeAnswered, Trusted, ReplaceIdle),
        (Probing, ProbeRefused, Down, Nothing),
        (Probing, ProbeSilent, Down, Nothing),
        (Down, Silent, Probing, Probe),
        (Down, Replied, Trusted, Nothing),
        (Down, ProbeAnswered, Trusted, ReplaceIdle),
        (Down, ProbeRefused, Down, Nothing),
        (Down, ProbeSilent, Down, Nothing),
    ];
    for (from, event, to, action) in transitions {
        let mut health = health_in(from);
        assert_eq!(health.handle(event), action, "{from:?} on {event:?}");
        assert_eq!(health.state(), to, "{from:?} on {event:?}");
        assert_eq!(health.may_reuse(), to == Trusted);
    }
}

/// Guards against attempts at a slow target being ended as lost: the target answers the probe, and
/// retries would only add load to it.
#[test]
fn health_slow_target_is_not_silent() {
    let attempt = SilentAttempt {
        idle_before: ms(1),
        sent: at(100),
        last_answered_sent: Some(at(90)),
    };
    assert!(!health().is_silent(&attempt));
}

/// Guards against waiting on a connection that was lost while idle, or that attempts sent later on
/// other connections have overtaken.
#[test]
fn health_overtaken_or_idle_connection_is_silent() {
    let overtaken = SilentAttempt {
        idle_before: ms(1),
        sent: at(100),
        last_answered_sent: Some(at(101)),
    };
    assert!(health().is_silent(&overtaken));
    let idle = SilentAttempt {
        idle_before: ms(60_000),
        sent: at(100),
        last_answered_sent: None,
    };
    assert!(health().is_silent(&idle));
}

#[test]
fn silence_bound_follows_the_expected_time() {
    assert_eq!(health().silence_bound(ms(1)), Some(ms(200)));
    assert_eq!(health().silence_bound(ms(100)), Some(ms(800)));
    let options = HealthOptions {
        enabled: false,
        ..HealthOptions::default()
    };
    let disabled = ConnectionHealth::new(options);
    assert_eq!(disabled.silence_bound(TimeSpan::ZERO), None);
}
