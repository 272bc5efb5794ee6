//! The race between an attempt and the end of its request.

use std::sync::{Arc, Barrier};
use std::thread;

use alderhaven_front::attempt_phase::AttemptPhase;

/// A caller's time is over at the moment at which a connection for its booking is ready. Either the booking is
/// sent and the caller hears that it may have run, or it is never sent and the caller may book again: both
/// together would book twice.
#[test]
fn call_off_and_begin_send_never_both_succeed() {
    for _ in 0..500 {
        let phase = AttemptPhase::default();
        let start = Arc::new(Barrier::new(2));
        let (sender, sending) = (phase.clone(), Arc::clone(&start));
        let sending = thread::spawn(move || {
            sending.wait();
            sender.begin_send()
        });
        start.wait();
        let is_called_off = phase.cancel();
        let is_sent = sending.join().expect("the thread ends");
        assert_ne!(is_sent, is_called_off);
    }
}

#[test]
fn call_off_after_begin_send_says_that_it_may_have_run() {
    let phase = AttemptPhase::default();
    assert!(phase.begin_send());
    assert!(!phase.cancel());
}
