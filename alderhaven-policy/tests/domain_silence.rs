//! Tests of the detection of failure domains that no longer answer.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::domain_silence::{self, DomainSilence};

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

/// Guards against attempts being sent to the targets of a lost domain one after another.
#[test]
fn domain_without_answers_is_silent() {
    let mut silence = DomainSilence::default();
    silence.record_answer(at(100));
    assert!(!silence.record_overdue(at(101), at(170)));
    assert!(!silence.record_overdue(at(102), at(171)));
    assert!(!silence.is_silent(at(171)));
    assert!(
        silence.record_overdue(at(103), at(172)),
        "the third overdue source starts the silence"
    );
    assert!(
        !silence.record_overdue(at(104), at(173)),
        "a silence starts once"
    );
    assert!(silence.is_silent(at(173)));
}

/// Guards against leaving a domain because some of its targets pause while others answer.
#[test]
fn domain_with_some_answers_is_not_silent() {
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

/// Guards against a domain that answers again and is not used.
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

/// Guards against a silent domain never being tried again. After the silence expires, a single overdue
/// source renews it.
#[test]
fn silence_expires_and_is_renewed_by_one_source() {
    let mut silence = DomainSilence::default();
    silence.record_answer(at(0));
    for source in 0..3 {
        silence.record_overdue(at(1 + source), at(70));
    }
    assert!(!silence.is_silent(at(5_000)));
    assert!(silence.record_overdue(at(5_000), at(5_060)));
    assert!(silence.is_silent(at(5_061)));
}

/// Guards against slow kinds of requests being taken for silence.
#[test]
fn source_timeout_follows_the_typical_latency() {
    let quick = domain_silence::source_timeout(TimeSpan::from_millis(5));
    let slow = domain_silence::source_timeout(TimeSpan::from_millis(120));
    assert!(quick >= TimeSpan::from_millis(50));
    assert!(slow >= TimeSpan::from_millis(360));
}

/// Guards against a node that has just started, whose first attempts wait for connections, taking the
/// domain for silent and sending more attempts than its route allows.
#[test]
fn domain_without_any_answer_yet_is_not_silent() {
    let mut silence = DomainSilence::default();
    for source in 0..9 {
        assert!(!silence.record_overdue(at(1 + source), at(300)));
    }
    assert!(!silence.is_silent(at(300)));
}

/// Guards against a domain whose targets are all slow being taken for lost while it runs its requests.
#[test]
fn silent_domain_is_lost_only_after_a_delay() {
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
