//! Tests of a relay's queue, judged by which attempts run and when.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use alderhaven_core::class::QueryClass;
use alderhaven_core::ids::{AttemptId, TemplateName};
use alderhaven_core::outcome::NotRunReason;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_policy::relay_queue::{OfferOutcome, QueueJob, RelayQueue, RelayQueueOptions};
use common::{EventQueue, at, ms, proptest_config, quantile};
use proptest::prelude::{Just, Strategy, any, prop_assert, prop_oneof, proptest};
use proptest::{collection, prop_assert_eq};

fn id(sequence: u64) -> AttemptId {
    AttemptId {
        origin: 1,
        sequence,
    }
}

fn template(name: &str) -> TemplateName {
    name.parse().expect("valid template name")
}

fn job(sequence: u64, class: QueryClass, name: &str, deadline: TimePoint) -> QueueJob {
    QueueJob {
        id: id(sequence),
        class,
        order: sequence,
        template: template(name),
        deadline,
        is_hedge: false,
    }
}

fn queue() -> RelayQueue {
    RelayQueue::new(PolicyKind::Current, RelayQueueOptions::default())
}

/// An arriving job with the time that the target needs for it.
struct Arrival {
    time: TimePoint,
    job: QueueJob,
    service: TimeSpan,
}

/// Ends of jobs by the sequence numbers of their attempts.
#[derive(Default)]
struct RunResult {
    finished_at: BTreeMap<u64, TimePoint>,
    dropped: BTreeMap<u64, (NotRunReason, TimePoint)>,
}

enum Step {
    Arrive(usize),
    End(AttemptId, TimeSpan),
    Expire,
}

/// Runs the arrivals through a queue in front of a target with `slots` slots.
fn run(mut queue: RelayQueue, slots: u32, arrivals: &[Arrival]) -> RunResult {
    let mut events = EventQueue::new();
    let mut result = RunResult::default();
    let mut wake = None;
    for (index, arrival) in arrivals.iter().enumerate() {
        events.add(arrival.time, Step::Arrive(index));
    }
    while let Some((now, step)) = events.next() {
        match step {
            Step::Arrive(index) => {
                let job = arrivals[index].job.clone();
                let sequence = job.id.sequence;
                if let OfferOutcome::Refused(reason) = queue.offer(job, now, slots) {
                    result.dropped.insert(sequence, (reason, now));
                }
            }
            Step::End(id, service) => {
                queue.record_finished(id, Some(service), now);
                result.finished_at.insert(id.sequence, now);
            }
            Step::Expire => queue.drop_expired(now),
        }
        while let Some(started) = queue.start_next(now, slots) {
            assert!(
                queue.running_count() <= slots as usize,
                "more attempts run than the target has slots"
            );
            let service = arrivals
                .iter()
                .find(|arrival| arrival.job.id == started.job.id)
                .expect("known arrival")
                .service;
            events.add(now + service, Step::End(started.job.id, service));
        }
        for dropped in queue.take_dropped() {
            result
                .dropped
                .insert(dropped.id.sequence, (dropped.reason, now));
        }
        if let Some(expiry) = queue.next_expiry()
            && wake != Some(expiry)
        {
            wake = Some(expiry);
            events.add(expiry.max(now + TimeSpan::from_micros(1)), Step::Expire);
        }
    }
    result
}

fn steady_arrivals(
    count: u64,
    first: u64,
    gap: TimeSpan,
    service: TimeSpan,
    build: impl Fn(u64, TimePoint) -> QueueJob,
) -> Vec<Arrival> {
    (0..count)
        .map(|number| {
            let time = TimePoint::START + gap.mul_f64(number as f64);
            let job = build(first + number, time);
            Arrival { time, job, service }
        })
        .collect()
}

/// Guards against urgent attempts that time out behind the backlog of twice the capacity.
#[test]
fn overload_serves_urgent_in_time_and_refuses_the_rest_at_once() {
    // 2 slots run 200 attempts of 10 ms per second; 400 arrive.
    let arrivals = steady_arrivals(
        2000,
        0,
        TimeSpan::from_micros(2500),
        ms(10),
        |number, time| {
            let class = if number.is_multiple_of(3) {
                QueryClass::Urgent
            } else {
                QueryClass::Ordinary
            };
            job(number, class, "lookup", time + ms(100))
        },
    );
    let result = run(queue(), 2, &arrivals);
    let mut urgent = 0;
    let mut urgent_in_time = 0;
    let mut finished_late = 0;
    for arrival in &arrivals {
        let number = arrival.job.id.sequence;
        let finished = result.finished_at.get(&number);
        let in_time = finished.is_some_and(|end| *end <= arrival.job.deadline);
        if finished.is_some() && !in_time {
            finished_late += 1;
        }
        if arrival.job.class == QueryClass::Urgent {
            urgent += 1;
            urgent_in_time += usize::from(in_time);
        }
    }
    assert!(
        urgent_in_time * 100 >= urgent * 99,
        "{urgent_in_time} of {urgent} urgent jobs in time"
    );
    assert!(
        finished_late * 100 <= arrivals.len(),
        "{finished_late} jobs finished late"
    );
    // 5 s at 200/s; 1% may be lost at the edges.
    assert!(
        result.finished_at.len() >= 990,
        "{} jobs ran",
        result.finished_at.len()
    );
    let mut waits: Vec<TimeSpan> = result
        .dropped
        .iter()
        .map(|(number, (_, time))| {
            time.since(TimePoint::START + TimeSpan::from_micros(number * 2500))
        })
        .collect();
    assert!(
        quantile(&mut waits, 0.5) <= ms(5),
        "median time until a refusal exceeds 5 ms"
    );
}

#[test]
fn baseline_misses_urgent_deadlines_under_overload() {
    let arrivals = steady_arrivals(
        2000,
        0,
        TimeSpan::from_micros(2500),
        ms(10),
        |number, time| {
            let class = if number.is_multiple_of(3) {
                QueryClass::Urgent
            } else {
                QueryClass::Ordinary
            };
            job(number, class, "lookup", time + ms(100))
        },
    );
    let baseline = RelayQueue::new(PolicyKind::Baseline, RelayQueueOptions::default());
    let result = run(baseline, 2, &arrivals);
    let urgent_in_time = arrivals
        .iter()
        .filter(|arrival| arrival.job.class == QueryClass::Urgent)
        .filter(|arrival| {
            let finished = result.finished_at.get(&arrival.job.id.sequence);
            finished.is_some_and(|end| *end <= arrival.job.deadline)
        })
        .count();
    assert!(
        urgent_in_time < 300,
        "{urgent_in_time} of 667 urgent jobs in time"
    );
}

/// Guards against reports of 200 ms that occupy all slots and delay lookups of 5 ms.
#[test]
fn long_jobs_leave_a_slot_for_short_ones() {
    let mut arrivals = steady_arrivals(400, 0, ms(10), ms(5), |number, time| {
        job(number, QueryClass::Urgent, "lookup", time + ms(300))
    });
    // Three reports arrive together every 600 ms, which is more than the target has slots.
    arrivals.extend((0..21).map(|number| {
        let time = at(number / 3 * 600);
        let job = job(
            1000 + number,
            QueryClass::Ordinary,
            "report",
            time + ms(20_000),
        );
        let service = ms(200);
        Arrival { time, job, service }
    }));
    arrivals.sort_by_key(|arrival| arrival.time);
    let result = run(queue(), 2, &arrivals);
    let mut short: Vec<TimeSpan> = arrivals
        .iter()
        .filter(|arrival| arrival.job.id.sequence < 1000)
        .filter_map(|arrival| {
            let end = result.finished_at.get(&arrival.job.id.sequence)?;
            Some(end.since(arrival.time))
        })
        .collect();
    assert_eq!(short.len(), 400, "every lookup ran");
    // Without reports, lookups take 5 ms; the bound is 1.5 times that.
    assert!(quantile(&mut short, 0.99) <= TimeSpan::from_micros(7500));
    let long = result
        .finished_at
        .keys()
        .filter(|number| **number >= 1000)
        .count();
    assert_eq!(long, 21, "long jobs still finish");
}

/// Guards against bulk work that never runs while urgent work fills the target.
#[test]
fn bulk_is_not_starved_by_urgent_work() {
    let mut arrivals = steady_arrivals(2000, 0, ms(5), ms(10), |number, time| {
        job(number, QueryClass::Urgent, "lookup", time + ms(100))
    });
    arrivals.extend(steady_arrivals(
        10,
        5000,
        ms(100),
        ms(10),
        |number, time| job(number, QueryClass::Bulk, "report", time + ms(5000)),
    ));
    arrivals.sort_by_key(|arrival| arrival.time);
    let result = run(queue(), 2, &arrivals);
    let bulk = result
        .finished_at
        .keys()
        .filter(|number| **number >= 5000)
        .count();
    assert_eq!(bulk, 10);
}

/// Guards against a backlog that outlasts a burst, and against runs of jobs that were dropped.
#[test]
fn burst_leaves_no_backlog() {
    let mut arrivals = steady_arrivals(500, 0, ms(2), ms(10), |number, time| {
        job(number, QueryClass::Ordinary, "lookup", time + ms(150))
    });
    arrivals.extend((0..200).map(|number| {
        let time = at(1200 + number * 10);
        let job = job(
            1000 + number,
            QueryClass::Ordinary,
            "lookup",
            time + ms(150),
        );
        Arrival {
            time,
            job,
            service: ms(10),
        }
    }));
    let result = run(queue(), 2, &arrivals);
    for arrival in arrivals.iter().filter(|arrival| arrival.time >= at(1200)) {
        let end = result.finished_at.get(&arrival.job.id.sequence);
        let end = end.expect("job after the burst runs");
        assert!(end.since(arrival.time) <= ms(20));
    }
    for number in result.finished_at.keys() {
        assert!(
            !result.dropped.contains_key(number),
            "job {number} ran and was dropped"
        );
    }
}

/// Guards against overloaded relays that serve different queries, so that few are complete.
#[test]
fn overloaded_relays_serve_the_same_queries() {
    let served = |reversed: bool| -> BTreeSet<u64> {
        let mut numbers: Vec<u64> = (0..40).collect();
        if reversed {
            numbers.reverse();
        }
        let mut queue = queue();
        queue.offer(job(900, QueryClass::Ordinary, "lookup", at(1000)), at(0), 1);
        queue.start_next(at(0), 1).expect("first job starts");
        queue.record_finished(id(900), Some(ms(10)), at(0));
        queue.offer(job(901, QueryClass::Ordinary, "lookup", at(1000)), at(0), 1);
        queue
            .start_next(at(0), 1)
            .expect("second job takes the slot");
        for number in numbers {
            queue.offer(
                job(number, QueryClass::Ordinary, "lookup", at(205)),
                at(0),
                1,
            );
        }
        let mut now = at(10);
        queue.record_finished(id(901), Some(ms(10)), now);
        let mut served = BTreeSet::new();
        while let Some(started) = queue.start_next(now, 1) {
            served.insert(started.job.id.sequence);
            now = now + ms(10);
            queue.record_finished(started.job.id, Some(ms(10)), now);
        }
        served
    };
    let (forward, backward) = (served(false), served(true));
    assert!(forward.len() >= 18, "served {forward:?}");
    assert!(
        forward.intersection(&backward).count() >= 17,
        "served {forward:?} and {backward:?}"
    );
}

/// Guards against an outdated service time that keeps a recovered target from being tried again.
#[test]
fn slow_target_is_tried_again_when_idle() {
    let mut queue = queue();
    for number in 0..20 {
        let now = at(number * 500);
        queue.offer(
            job(number, QueryClass::Urgent, "lookup", now + ms(900)),
            now,
            2,
        );
        queue.start_next(now, 2).expect("idle target is tried");
        queue.record_finished(id(number), Some(ms(400)), now + ms(400));
    }
    let now = at(20_000);
    let urgent = job(50, QueryClass::Urgent, "lookup", now + ms(100));
    assert_eq!(queue.offer(urgent, now, 2), OfferOutcome::Queued);
    assert!(queue.start_next(now, 2).is_some());
    // While that one runs, the next is refused rather than started too late.
    let too_late = job(51, QueryClass::Urgent, "lookup", now + ms(100));
    assert_eq!(
        queue.offer(too_late, now, 2),
        OfferOutcome::Refused(NotRunReason::Expired)
    );
}

#[test]
fn hedge_is_taken_only_where_a_slot_is_free() {
    let mut queue = queue();
    let mut hedge = job(1, QueryClass::Urgent, "lookup", at(100));
    hedge.is_hedge = true;
    assert_eq!(queue.offer(hedge.clone(), at(0), 1), OfferOutcome::Queued);
    assert!(queue.start_next(at(0), 1).is_some());
    hedge.id = id(2);
    assert_eq!(
        queue.offer(hedge, at(0), 1),
        OfferOutcome::Refused(NotRunReason::QueueFull)
    );
}

/// Guards against displaced jobs that are held until they expire rather than refused at once.
#[test]
fn displaced_job_is_refused_at_once() {
    let mut queue = queue();
    queue.offer(job(1, QueryClass::Urgent, "lookup", at(900)), at(0), 1);
    queue.start_next(at(0), 1).expect("first job starts");
    queue.record_finished(id(1), Some(ms(10)), at(10));
    queue.offer(job(2, QueryClass::Urgent, "lookup", at(900)), at(10), 1);
    queue
        .start_next(at(10), 1)
        .expect("second job takes the slot");
    for number in 10..30 {
        let ordinary = job(number, QueryClass::Ordinary, "lookup", at(310));
        assert_eq!(queue.offer(ordinary, at(10), 1), OfferOutcome::Queued);
    }
    for number in 40..55 {
        queue.offer(
            job(number, QueryClass::Urgent, "lookup", at(310)),
            at(10),
            1,
        );
    }
    let dropped = queue.take_dropped();
    assert!(!dropped.is_empty());
    for job in &dropped {
        assert_eq!(job.reason, NotRunReason::QueueFull);
        assert!(
            (10..30).contains(&job.id.sequence),
            "only ordinary jobs are displaced"
        );
    }
    assert!(
        dropped.iter().any(|job| job.id == id(29)),
        "the last job is displaced first"
    );
}

#[test]
fn cancelled_job_never_starts() {
    let mut queue = queue();
    queue.offer(job(1, QueryClass::Urgent, "lookup", at(100)), at(0), 1);
    queue.offer(job(2, QueryClass::Urgent, "lookup", at(100)), at(0), 1);
    assert!(queue.cancel(id(1)));
    assert!(!queue.cancel(id(1)));
    let started = queue.start_next(at(0), 1).expect("other job starts");
    assert_eq!(started.job.id, id(2));
    assert!(!queue.cancel(id(2)), "a running job can't be cancelled");
}

#[derive(Clone, Debug)]
enum Action {
    Offer(QueryClass, u64, u64, bool),
    Start,
    Finish(u64),
    Cancel(u64),
    Wait(u64),
}

fn action() -> impl Strategy<Value = Action> {
    let class = prop_oneof![
        Just(QueryClass::Urgent),
        Just(QueryClass::Ordinary),
        Just(QueryClass::Bulk)
    ];
    prop_oneof![
        4 => (class, 0_u64..50, 0_u64..200, any::<bool>())
            .prop_map(|(class, order, time, long)| Action::Offer(class, order, time, long)),
        4 => Just(Action::Start),
        3 => (0_u64..60).prop_map(Action::Finish),
        1 => (0_u64..60).prop_map(Action::Cancel),
        2 => (0_u64..80).prop_map(Action::Wait),
    ]
}

proptest! {
    #![proptest_config(proptest_config(256))]

    /// Each job ends once, the slots are never exceeded, and nothing starts after its deadline.
    #[test]
    fn every_job_ends_exactly_once(actions in collection::vec(action(), 1..120), slots in 1_u32..5) {
        let mut queue = queue();
        let mut now = at(0);
        let mut offered = 0_u64;
        let mut taken = 0_usize;
        let mut started = BTreeMap::new();
        let mut endings: BTreeMap<u64, u32> = BTreeMap::new();
        for action in actions {
            match action {
                Action::Offer(class, order, time, long) => {
                    offered += 1;
                    let name = if long { "report" } else { "lookup" };
                    let mut job = job(offered, class, name, now + ms(time));
                    job.order = order;
                    if queue.offer(job, now, slots) == OfferOutcome::Queued {
                        taken += 1;
                    }
                }
                Action::Start => {
                    if let Some(start) = queue.start_next(now, slots) {
                        prop_assert!(now <= start.job.deadline);
                        *endings.entry(start.job.id.sequence).or_default() += 1;
                        started.insert(start.job.id.sequence, start.job.template);
                    }
                }
                Action::Finish(number) => {
                    if let Some(name) = started.remove(&number) {
                        let service = if name.as_str() == "report" { ms(100) } else { ms(4) };
                        queue.record_finished(id(number), Some(service), now);
                    }
                }
                Action::Cancel(number) => {
                    if queue.cancel(id(number)) {
                        *endings.entry(number).or_default() += 1;
                    }
                }
                Action::Wait(time) => now = now + ms(time),
            }
            for dropped in queue.take_dropped() {
                *endings.entry(dropped.id.sequence).or_default() += 1;
            }
            prop_assert!(queue.running_count() <= slots as usize);
            prop_assert_eq!(queue.running_count(), started.len());
            prop_assert_eq!(queue.waiting_count() + endings.len(), taken);
            prop_assert!(endings.values().all(|count| *count == 1));
        }
    }
}
