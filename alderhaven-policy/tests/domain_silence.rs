//! When a failure domain counts as silent.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::domain_silence::{self, DomainSilence};

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

/// Guards against attempts that are sent to a lost domain one target after the other.
#[test]
fn domain_that_answers_nobody_is_silent() {
    let mut silence = DomainSilence::default();
    silence.record_answer(at(100));
    assert!(!silence.record_overdue(at(101), at(170)));
    assert!(!silence.record_overdue(at(102), at(171)));
    assert!(!silence.is_silent(at(171)));
    assert!(silence.record_overdue(at(103), at(172)), "it begins here");
    assert!(
        !silence.record_overdue(at(104), at(173)),
        "and is told once"
    );
    assert!(silence.is_silent(at(173)));
}

/// Guards against a domain that is left because some of its targets pause while others answer.
#[test]
fn domain_of_which_something_is_heard_is_not_silent() {
    let mut silence = DomainSilence::default();
    for round in 0..50 {
        let sent = at(round * 100 + 1);
        silence.record_answer(at(round * 100 + 60));
        silence.record_overdue(sent, at(round * 100 + 61));
        silence.record_overdue(sent, at(round * 100 + 62));
        silence.record_overdue(sent, at(round * 100 + 63));
        assert!(!silence.is_silent(at(round * 100 + 63)));
    }
}

/// Guards against a domain that is back and not used.
#[test]
fn silence_ends_with_the_first_answer() {
    let mut silence = DomainSilence::default();
    silence.record_answer(at(0));
    for source in 0..3 {
        silence.record_overdue(at(1 + source), at(70));
    }
    assert!(silence.is_silent(at(80)));
    assert!(silence.record_answer(at(90)));
    assert!(!silence.is_silent(at(90)));
    assert!(!silence.record_answer(at(91)));
}

/// Nobody asks a silent domain while others answer: it is tried again after a while, and one source that
/// still says nothing is enough then.
#[test]
fn silence_ends_by_itself_and_returns_quickly() {
    let mut silence = DomainSilence::default();
    silence.record_answer(at(0));
    for source in 0..3 {
        silence.record_overdue(at(1 + source), at(70));
    }
    assert!(!silence.is_silent(at(5_000)));
    assert!(silence.record_overdue(at(5_000), at(5_060)));
    assert!(silence.is_silent(at(5_061)));
}

/// A source that works long by nature is waited for longer.
#[test]
fn wait_follows_the_usual_time() {
    let quick = domain_silence::source_timeout(TimeSpan::from_millis(5));
    let slow = domain_silence::source_timeout(TimeSpan::from_millis(120));
    assert!(quick >= TimeSpan::from_millis(50));
    assert!(slow >= TimeSpan::from_millis(360));
}

/// Guards against a node that has just started, whose first attempts all wait for their connections, and that
/// asks more replicas than a route allows.
#[test]
fn domain_that_was_never_heard_is_not_silent() {
    let mut silence = DomainSilence::default();
    for source in 0..9 {
        assert!(!silence.record_overdue(at(1 + source), at(300)));
    }
    assert!(!silence.is_silent(at(300)));
}

/// Guards against targets that are slow all together and run what was taken for cut off.
#[test]
fn silent_domain_is_lost_only_after_a_while() {
    let mut silence = DomainSilence::default();
    silence.record_answer(at(0));
    for source in 0..3 {
        silence.record_overdue(at(1 + source), at(70));
    }
    assert!(silence.is_silent(at(100)) && !silence.is_lost(at(100)));
    assert!(silence.is_lost(at(500)));
    silence.record_answer(at(510));
    assert!(!silence.is_lost(at(511)));
}
