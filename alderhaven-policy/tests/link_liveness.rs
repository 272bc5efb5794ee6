//! Tests of the decision whether a connection to a peer still carries messages.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::link_liveness::{LinkLiveness, LinkState, LivenessOptions};

const OPTIONS: LivenessOptions = LivenessOptions {
    reply_timeout: TimeSpan::from_millis(600),
    idle_timeout: TimeSpan::from_secs(10),
};

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

/// Guards against silent connections that this process's own messages keep in use.
#[test]
fn state_of_a_silent_link_ignores_sent_messages() {
    let mut liveness = LinkLiveness::new(OPTIONS, at(0));
    for millis in (1_000..2_000).step_by(100) {
        liveness.record_sent(at(millis));
        let is_silent = liveness.state(at(millis)) == LinkState::Silent(at(1_000));
        assert_eq!(is_silent, millis >= 1_600);
    }
}

#[test]
fn state_of_a_link_with_replies_is_usable() {
    let mut liveness = LinkLiveness::new(OPTIONS, at(0));
    for millis in (0..60_000).step_by(700) {
        assert!(liveness.record_sent(at(millis)));
        assert!(!liveness.record_sent(at(millis + 1)));
        liveness.record_received(at(millis + 100));
        assert_eq!(liveness.state(at(millis + 650)), LinkState::Usable);
    }
}

#[test]
fn state_of_an_unused_link_is_idle() {
    let liveness = LinkLiveness::new(OPTIONS, at(0));
    assert_eq!(liveness.next_check(), at(10_000));
    assert_eq!(liveness.state(at(9_999)), LinkState::Usable);
    assert_eq!(liveness.state(at(10_000)), LinkState::Idle);
}

#[test]
fn next_check_is_the_earliest_change() {
    let mut liveness = LinkLiveness::new(OPTIONS, at(0));
    liveness.record_sent(at(1_000));
    assert_eq!(liveness.next_check(), at(1_600));
    liveness.record_received(at(1_100));
    assert_eq!(liveness.next_check(), at(11_100));
}
