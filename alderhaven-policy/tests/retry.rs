//! Tests of retries, judged by what runs twice and by the added load.

mod common;

use alderhaven_core::outcome::{AttemptOutcome, NotRunReason};
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_policy::retry::{EndedAttempt, GiveUpReason, RetryDecision, decide};
use alderhaven_policy::retry_budget::{RetryBudget, RetryOptions};
use common::{at, ms, proptest_config};
use proptest::prelude::{any, prop_assert, proptest};
use proptest::{collection, sample};

fn budget() -> RetryBudget {
    RetryBudget::new(PolicyKind::Current, RetryOptions::default())
}

fn attempt(outcome: AttemptOutcome) -> EndedAttempt {
    EndedAttempt {
        outcome,
        is_idempotent: true,
        retries: 0,
        untried_replicas: 1,
        expected_service_time: ms(10),
        deadline: at(1000),
    }
}

const NOT_RUN_REASONS: [NotRunReason; 8] = [
    NotRunReason::NotSent,
    NotRunReason::Shed,
    NotRunReason::Draining,
    NotRunReason::Expired,
    NotRunReason::QueueFull,
    NotRunReason::Cancelled,
    NotRunReason::NoRoute,
    NotRunReason::Quarantined,
];

fn outcomes() -> Vec<AttemptOutcome> {
    let not_run = NOT_RUN_REASONS.into_iter().map(AttemptOutcome::NotRun);
    [
        AttemptOutcome::Answered,
        AttemptOutcome::Failed,
        AttemptOutcome::VersionGone,
        AttemptOutcome::Unknown,
    ]
    .into_iter()
    .chain(not_run)
    .collect()
}

/// Guards against a non-idempotent request that runs twice after its connection broke.
#[test]
fn attempt_that_may_have_run_is_retried_only_if_idempotent() {
    for outcome in [AttemptOutcome::Unknown, AttemptOutcome::Failed] {
        let mut ended = attempt(outcome);
        assert_eq!(decide(ended, &mut budget(), at(0)), RetryDecision::Retry);
        ended.is_idempotent = false;
        let given_up = RetryDecision::GiveUp(GiveUpReason::MayHaveRun);
        assert_eq!(decide(ended, &mut budget(), at(0)), given_up);
    }
}

#[test]
fn quarantined_request_is_not_retried() {
    let ended = attempt(AttemptOutcome::NotRun(NotRunReason::Quarantined));
    let given_up = RetryDecision::GiveUp(GiveUpReason::Final);
    assert_eq!(decide(ended, &mut budget(), at(0)), given_up);
}

/// Guards against retries that double the load of a service which sheds everything.
#[test]
fn retries_do_not_amplify_overload() {
    let mut budget = budget();
    let mut retries = 0;
    for step in 0..100_u64 {
        budget.record_sent(100);
        for _ in 0..100 {
            let mut ended = attempt(AttemptOutcome::NotRun(NotRunReason::Shed));
            ended.deadline = at(step * 10 + 1000);
            let decision = decide(ended, &mut budget, at(step * 10));
            retries += u32::from(decision == RetryDecision::Retry);
        }
    }
    // A tenth of the 10,000 attempts, a bucket of 64, and two per second.
    assert!(retries <= 1000 + 64 + 3, "{retries} retries");
    assert!(retries >= 1000, "{retries} retries");
}

proptest! {
    #![proptest_config(proptest_config(256))]

    /// An attempt is retried only if it can't run twice or is idempotent, and if there is time.
    #[test]
    fn retry_is_safe_and_timely(
        outcome in sample::select(outcomes()),
        is_idempotent in any::<bool>(),
        retries in 0_u32..4,
        untried_replicas in 0_usize..3,
        expected_service_time in 0_u64..100,
        left in 0_u64..200,
    ) {
        let ended = EndedAttempt {
            outcome,
            is_idempotent,
            retries,
            untried_replicas,
            expected_service_time: ms(expected_service_time),
            deadline: at(500 + left),
        };
        if decide(ended, &mut budget(), at(500)) == RetryDecision::Retry {
            let has_not_run = matches!(outcome, AttemptOutcome::NotRun(_));
            prop_assert!(has_not_run || is_idempotent);
            prop_assert!(outcome != AttemptOutcome::Answered);
            prop_assert!(untried_replicas > 0 && left >= expected_service_time && left > 0);
        }
    }

    #[test]
    fn retries_stay_within_the_budget(
        steps in collection::vec((0_u32..50, 0_u32..50, 0_u64..500), 1..80),
    ) {
        let mut budget = budget();
        let options = RetryOptions::default();
        let (mut sent, mut taken, mut now) = (0.0, 0.0, at(0));
        for (attempts, wanted, time) in steps {
            now = now + ms(time);
            budget.record_sent(attempts);
            sent += f64::from(attempts);
            for _ in 0..wanted {
                taken += f64::from(u8::from(budget.take(now)));
            }
            let free = now.since(at(0)).as_secs_f64() * options.free_per_second;
            let max_taken = options.burst + sent * options.retries_per_attempt + free;
            prop_assert!(taken <= max_taken + 1e-6);
        }
    }
}

/// Guards against a lost failure domain whose refused connections use up the budget, so that shards
/// stay uncovered which other replicas can answer.
#[test]
fn lost_domain_does_not_consume_the_budget() {
    let mut budget = budget();
    let not_sent = attempt(AttemptOutcome::NotRun(NotRunReason::NotSent));
    for _ in 0..10_000 {
        assert_eq!(decide(not_sent, &mut budget, at(0)), RetryDecision::Retry);
    }
    let shed = attempt(AttemptOutcome::NotRun(NotRunReason::Shed));
    let retries = (0..10_000)
        .filter(|_| decide(shed, &mut budget, at(0)) == RetryDecision::Retry)
        .count();
    assert_eq!(retries, 64);
}
