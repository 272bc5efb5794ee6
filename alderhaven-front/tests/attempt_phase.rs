//! Race between sending an attempt and cancelling it.

use std::sync::{Arc, Barrier};
use std::thread;

use alderhaven_front::attempt_phase::AttemptPhase;

/// If both sides won, the caller would be told that a request was never sent although it was, and
/// a resend would run it twice.
#[test]
fn cancel_and_begin_send_never_both_succeed() {
    for _ in 0..500 {
        let phase = AttemptPhase::default();
        let start = Arc::new(Barrier::new(2));
        let (sender, sending) = (phase.clone(), Arc::clone(&start));
        let sending = thread::spawn(move || {
            sending.wait();
            sender.begin_send()
        });
        start.wait();
        let is_cancelled = phase.cancel();
        let is_sent = sending.join().expect("the sending thread panicked");
        assert_ne!(is_sent, is_cancelled);
    }
}

#[test]
fn cancel_after_begin_send_fails() {
    let phase = AttemptPhase::default();
    assert!(phase.begin_send());
    assert!(!phase.cancel());
}
