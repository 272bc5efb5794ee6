//! Which follower calls a store that doesn't answer.

use std::time::Duration;

use alderhaven_core::config_object::ObjectKind;
use alderhaven_front::store_availability::StoreAvailability;
use tokio::time;
use tokio::time::Instant;

async fn wait_duration(availability: &StoreAvailability, kind: ObjectKind) -> Duration {
    let started = Instant::now();
    availability.wait_while_probed(kind).await;
    started.elapsed()
}

/// Guards against every follower retrying while the store is down.
#[tokio::test(start_paused = true)]
async fn follower_waits_while_another_probes() {
    let availability = StoreAvailability::default();
    assert_eq!(
        wait_duration(&availability, ObjectKind::Target).await,
        Duration::ZERO
    );
    availability.record_failure(ObjectKind::Routing);
    availability.record_failure(ObjectKind::Target);
    assert_eq!(
        wait_duration(&availability, ObjectKind::Routing).await,
        Duration::ZERO
    );
    let answered = async {
        time::sleep(Duration::from_millis(300)).await;
        availability.record_success();
    };
    let (wait, ()) = tokio::join!(wait_duration(&availability, ObjectKind::Target), answered);
    assert_eq!(wait, Duration::from_millis(300));
}

/// Guards against one kind that the store refuses blocking the followers of all others.
#[tokio::test(start_paused = true)]
async fn follower_continues_when_the_probe_stays_unanswered() {
    let availability = StoreAvailability::default();
    availability.record_failure(ObjectKind::Evacuation);
    let wait = wait_duration(&availability, ObjectKind::Routing).await;
    assert!(wait > Duration::ZERO && wait <= Duration::from_secs(2));
}
