//! Who asks a store that does not answer.

use std::time::Duration;

use alderhaven_core::config_object::ObjectKind;
use alderhaven_front::store_availability::StoreAvailability;
use tokio::time;
use tokio::time::Instant;

async fn wait_duration(reach: &StoreAvailability, kind: ObjectKind) -> Duration {
    let started = Instant::now();
    reach.wait_while_probed(kind).await;
    started.elapsed()
}

/// Guards against one call for each kind of object in every try while the store is down.
#[tokio::test(start_paused = true)]
async fn follower_waits_while_another_one_asks() {
    let reach = StoreAvailability::default();
    assert_eq!(
        wait_duration(&reach, ObjectKind::Target).await,
        Duration::ZERO
    );
    reach.record_failure(ObjectKind::Routing);
    reach.record_failure(ObjectKind::Target);
    assert_eq!(
        wait_duration(&reach, ObjectKind::Routing).await,
        Duration::ZERO
    );
    let answered = async {
        time::sleep(Duration::from_millis(300)).await;
        reach.record_success();
    };
    let (waited, ()) = tokio::join!(wait_duration(&reach, ObjectKind::Target), answered);
    assert_eq!(waited, Duration::from_millis(300));
}

/// Guards against a store that refuses one kind alone and stops the others with it.
#[tokio::test(start_paused = true)]
async fn follower_goes_on_where_the_other_stays_unanswered() {
    let reach = StoreAvailability::default();
    reach.record_failure(ObjectKind::Evacuation);
    let waited = wait_duration(&reach, ObjectKind::Routing).await;
    assert!(waited > Duration::ZERO && waited <= Duration::from_secs(2));
}
