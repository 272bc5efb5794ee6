//! Failures that must not break "at most once" or "not run", one for each test.

use alderhaven_standin::http_connection::HttpConnection;
use alderhaven_standin::platform_faults::PlatformFaults;
use alderhaven_standin::target_state::TargetFaults;
use futures::future;
use http::StatusCode;

use crate::small_system::{
    Answer, SmallSystem, build_request, fresh_key, key_with_time_offset, wait_until,
};

const ISBN: &str = "9780000000002";
const OTHER_ISBN: &str = "9780000000019";

fn assert_replayed(answer: &Answer) {
    assert!(answer.is_complete() && answer.is_replayed(), "{answer:?}");
}

fn assert_unknown(answer: &Answer) {
    assert_eq!(answer.error_code(), "unknown", "{answer:?}");
    assert!(!answer.is_not_run(), "{answer:?}");
}

/// A resend to the same entry after a lost connection receives the same answer, and the request
/// doesn't run again.
#[tokio::test]
async fn at_most_once_resend_same_entry() {
    let system = SmallSystem::start().await;
    let key = fresh_key();
    let first = system.assign(0, &key, ISBN).await;
    let second = system.assign(0, &key, ISBN).await;
    assert!(first.is_complete() && !first.is_replayed(), "{first:?}");
    assert_replayed(&second);
    assert_eq!(first.body["rows"], second.body["rows"]);
    assert_eq!(system.run_count(), 1);
    system.stop().await;
}

/// A resend to another entry doesn't run the request. That entry fetches the answer from the one
/// that ran it.
#[tokio::test]
async fn at_most_once_resend_other_entry() {
    let system = SmallSystem::start().await;
    let key = fresh_key();
    let first = system.assign(0, &key, ISBN).await;
    assert!(first.is_complete() && !first.is_replayed(), "{first:?}");
    for entry in [1, 1, 0] {
        let again = system.assign(entry, &key, ISBN).await;
        assert_replayed(&again);
        assert_eq!(first.body["rows"], again.body["rows"]);
    }
    assert_eq!(system.run_count(), 1);
    system.stop().await;
}

/// Concurrent sends to all entries run the request once, and all receive that answer.
#[tokio::test]
async fn at_most_once_sent_everywhere_at_once() {
    let system = SmallSystem::start().await;
    let key = fresh_key();
    let sends = (0..12).map(|number| system.assign(number % 2, &key, ISBN));
    let answers = future::join_all(sends).await;
    assert!(answers.iter().all(Answer::is_complete), "{answers:?}");
    let first = answers.iter().filter(|answer| !answer.is_replayed());
    assert_eq!(first.count(), 1, "{answers:?}");
    assert_eq!(system.run_count(), 1);
    system.stop().await;
}

/// A key that is reused for other parameters is refused, both by the entry that ran the request and
/// by one that finds the claim in the ledger.
#[tokio::test]
async fn at_most_once_other_parameters() {
    let system = SmallSystem::start().await;
    let key = fresh_key();
    assert!(system.assign(0, &key, ISBN).await.is_complete());
    for entry in 0..2 {
        let answer = system.assign(entry, &key, OTHER_ISBN).await;
        assert_eq!(answer.status, StatusCode::CONFLICT);
        assert_eq!(answer.error_code(), "key_conflict");
        assert!(answer.is_not_run());
    }
    assert_eq!(system.run_count(), 1);
    system.stop().await;
}

/// The reply to the claim's write is lost. The entry must find its claim and run the request, and a
/// resend elsewhere must not run it again.
#[tokio::test]
async fn at_most_once_reply_lost_after_the_write() {
    let system = SmallSystem::start().await;
    let key = fresh_key();
    system.set_platform_faults(PlatformFaults {
        lose_write_replies: 1,
        ..PlatformFaults::default()
    });
    let first = system.assign(0, &key, ISBN).await;
    assert!(first.is_complete() && !first.is_replayed(), "{first:?}");
    assert_replayed(&system.assign(1, &key, ISBN).await);
    assert_eq!(system.run_count(), 1);
    system.stop().await;
}

/// The claim's write takes effect only after another entry has run the request. The first entry
/// must not run it as well.
#[tokio::test]
async fn at_most_once_write_late() {
    let system = SmallSystem::start().await;
    let key = fresh_key();
    system.set_platform_faults(PlatformFaults {
        hold_writes: 1,
        ..PlatformFaults::default()
    });
    let (first, second) =
        future::join(system.assign(0, &key, ISBN), system.assign(1, &key, ISBN)).await;
    system.store.release_held_writes();
    let third = system.assign(0, &key, ISBN).await;
    let fourth = system.assign(1, &key, ISBN).await;
    let answers = [first, second, third, fourth];
    assert!(answers.iter().any(Answer::is_complete), "{answers:?}");
    assert_eq!(system.run_count(), 1);
    system.stop().await;
}

/// The caller disconnects while the request runs. The run continues, and a resend receives its
/// answer.
#[tokio::test]
async fn at_most_once_caller_hangs_up() {
    let system = SmallSystem::start().await;
    system.set_target_faults(TargetFaults {
        slow_factor: 1_000.0,
        ..TargetFaults::default()
    });
    let key = fresh_key();
    let mut connection = HttpConnection::connect(system.address(0)).await.unwrap();
    let mut call = Box::pin(connection.send(build_request("assign", Some(&key), ISBN)));
    tokio::select! {
        biased;
        () = wait_until("the request is running", || system.run_count() == 1) => {}
        _ = &mut call => panic!("the request ended before its caller disconnected"),
    }
    drop(call);
    drop(connection);
    let answer = system.assign(0, &key, ISBN).await;
    assert_replayed(&answer);
    assert_eq!(system.run_count(), 1);
    system.stop().await;
}

/// The entry that ran the request restarts without its state. A resend must be answered with
/// "unknown" and must not run.
#[tokio::test]
async fn at_most_once_entry_restarted() {
    let mut system = SmallSystem::start().await;
    let key = fresh_key();
    assert!(system.assign(0, &key, ISBN).await.is_complete());
    system.restart(0).await;
    for entry in 0..2 {
        assert_unknown(&system.assign(entry, &key, ISBN).await);
    }
    assert_eq!(system.run_count(), 1);
    system.stop().await;
}

/// The store is restored from a copy that lacks a claim. The entry that saw the later version must
/// refuse new claims, and still replays its own answer.
#[tokio::test]
async fn at_most_once_store_restored_from_an_older_copy() {
    let system = SmallSystem::start().await;
    let older = system.store.table();
    let key = fresh_key();
    assert!(system.assign(0, &key, ISBN).await.is_complete());
    system.store.restore(older);
    let refused = system.assign(0, &fresh_key(), OTHER_ISBN).await;
    assert_eq!(refused.error_code(), "unavailable", "{refused:?}");
    assert!(refused.is_not_run(), "{refused:?}");
    assert_replayed(&system.assign(0, &key, ISBN).await);
    assert_eq!(system.run_count(), 1);
    system.stop().await;
}

/// During a store outage a non-idempotent request is refused as not run, with a retry time, and
/// runs once afterwards. Idempotent queries are still answered.
#[tokio::test]
async fn not_run_store_outage() {
    let system = SmallSystem::start().await;
    system.set_platform_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    let key = fresh_key();
    let refused = system.assign(0, &key, ISBN).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.is_not_run(), "{refused:?}");
    assert!(refused.body["error"]["retry_after_ms"].as_u64().is_some());
    assert_eq!(system.run_count(), 0);
    assert!(system.send(0, "look-up", None, ISBN).await.is_complete());
    assert_eq!(system.run_count(), 1);
    system.set_platform_faults(PlatformFaults::default());
    let answer = system.assign(1, &key, ISBN).await;
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(system.run_count(), 2);
    system.stop().await;
}

/// All replicas shed a claimed request. It is reported as not run, and a resend to another entry
/// runs it once.
#[tokio::test]
async fn not_run_shed_gives_the_key_back() {
    let system = SmallSystem::start().await;
    system.set_target_faults(TargetFaults {
        shedding: true,
        ..TargetFaults::default()
    });
    let key = fresh_key();
    let refused = system.assign(0, &key, ISBN).await;
    assert!(refused.is_not_run(), "{refused:?}");
    assert_eq!(system.run_count(), 0);
    system.set_target_faults(TargetFaults::default());
    system.wait_for_releases(0).await;
    let answer = system.assign(1, &key, ISBN).await;
    assert!(answer.is_complete() && !answer.is_replayed(), "{answer:?}");
    assert_replayed(&system.assign(0, &key, ISBN).await);
    assert_eq!(system.run_count(), 1);
    system.stop().await;
}

/// A missing key, a key that isn't a `UUIDv7` and a key from the future are refused as not run. For
/// a key that is too old, it is unknown whether the request ran.
#[tokio::test]
async fn not_run_keys_that_are_refused() {
    let system = SmallSystem::start().await;
    let random = uuid::Uuid::new_v4().to_string();
    let ahead = key_with_time_offset(10 * 60 * 1_000);
    for key in [None, Some(random.as_str()), Some(ahead.as_str())] {
        let answer = system.send(0, "assign", key, ISBN).await;
        assert_eq!(answer.status, StatusCode::BAD_REQUEST);
        assert!(answer.is_not_run(), "{answer:?}");
    }
    assert_unknown(
        &system
            .assign(0, &key_with_time_offset(-60 * 60 * 1_000), ISBN)
            .await,
    );
    assert_eq!(system.run_count(), 0);
    system.stop().await;
}
