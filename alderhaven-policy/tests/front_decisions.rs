//! Tests of small decisions of a front: weighted splits, callers' delays, late deliveries, and the
//! fronts that a caller is told to connect to.

use std::net::SocketAddr;

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::caller_delay::CallerDelayEstimator;
use alderhaven_policy::delivery_age::DeliveryAge;
use alderhaven_policy::front_choice::{
    FrontCandidate, FrontChoiceOptions, choose_fronts, is_presumed_started,
};
use alderhaven_policy::weighted_round_robin::WeightedRoundRobin;
use proptest::prelude::*;

const fn millis(millis: u64) -> TimeSpan {
    TimeSpan::from_millis(millis)
}

fn at(point: u64) -> TimePoint {
    TimePoint::START + millis(point)
}

fn candidate(port: u16, domain: &str, size: f64) -> FrontCandidate {
    FrontCandidate {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        domain: domain.parse().expect("a domain"),
        relative_size: size,
        is_started: true,
    }
}

proptest! {
    /// After any number of requests each service has its share, within one request per part of the
    /// split.
    #[test]
    fn split_keeps_its_weights(weights in prop::collection::vec(1u32..50, 1..5), requests in 1u32..500) {
        let weights: Vec<f64> = weights.into_iter().map(f64::from).collect();
        let sum: f64 = weights.iter().sum();
        let mut split = WeightedRoundRobin::default();
        let mut selected = vec![0.0; weights.len()];
        for _ in 0..requests {
            selected[split.next(&weights).expect("a service")] += 1.0;
        }
        for (selected, weight) in selected.iter().zip(&weights) {
            let due = f64::from(requests) * weight / sum;
            prop_assert!((selected - due).abs() <= weights.len() as f64);
        }
    }
}

#[test]
fn split_without_weights_selects_nothing() {
    assert_eq!(WeightedRoundRobin::default().next(&[0.0, 0.0]), None);
    assert_eq!(WeightedRoundRobin::default().next(&[]), None);
}

/// Guards against ignoring the time that a caller spent before its request arrived, for example for
/// connecting; the answer would then miss the target.
#[test]
fn caller_delay_is_known_from_the_time_left() {
    let mut estimator = CallerDelayEstimator::default();
    let first = estimator.record_time_left(millis(800), at(0));
    assert_eq!(first.consumed_time(millis(60)), TimeSpan::ZERO);
    let second = estimator.record_time_left(millis(777), at(10));
    assert_eq!(second.consumed_time(millis(60)), millis(23));
    assert!(!second.is_late(millis(60)));
}

#[test]
fn caller_delay_beyond_the_target_is_late() {
    let mut estimator = CallerDelayEstimator::default();
    estimator.record_time_left(millis(800), at(0));
    let delay = estimator.record_time_left(millis(300), at(10));
    assert_eq!(delay.consumed_time(millis(60)), TimeSpan::ZERO);
    assert!(delay.is_late(millis(60)));
}

#[test]
fn caller_delay_forgets_an_old_timeout() {
    let mut estimator = CallerDelayEstimator::default();
    estimator.record_time_left(millis(830), at(0));
    estimator.record_time_left(millis(800), at(12_000));
    let delay = estimator.record_time_left(millis(800), at(25_000));
    assert_eq!(delay.consumed_time(millis(60)), TimeSpan::ZERO);
}

/// Guards against running requests that were delivered late, after a path was cut and healed, with
/// deadlines that have passed.
#[test]
fn delivery_after_a_cut_shows_its_age() {
    let mut age = DeliveryAge::default();
    assert_eq!(age.record_delivery(at(5_000), at(100)), TimeSpan::ZERO);
    assert_eq!(age.record_delivery(at(5_100), at(202)), millis(2));
    assert_eq!(age.record_delivery(at(5_200), at(3_300)), millis(3_000));
}

#[test]
fn choice_prefers_the_own_domain_among_equals() {
    let candidates = [
        candidate(1, "far", 1.0),
        candidate(2, "own", 1.0),
        candidate(3, "own", 1.0),
    ];
    let own = "own".parse().ok();
    let chosen = choose_fronts(&candidates, own.as_ref(), &FrontChoiceOptions::default(), 0);
    assert_eq!(
        chosen.as_slice(),
        [candidates[1].address, candidates[2].address]
    );
}

/// Guards against sending callers to small hosts in their own domain, which are slower than large ones.
#[test]
fn choice_prefers_large_hosts() {
    let candidates = [
        candidate(1, "own", 0.24),
        candidate(2, "far", 1.0),
        candidate(3, "far", 1.0),
    ];
    let own = "own".parse().ok();
    let chosen = choose_fronts(&candidates, own.as_ref(), &FrontChoiceOptions::default(), 0);
    assert_eq!(
        chosen.as_slice(),
        [candidates[1].address, candidates[2].address]
    );
}

#[test]
fn choice_names_the_last_live_front() {
    let candidates = [candidate(1, "far", 0.1)];
    assert_eq!(
        choose_fronts(&candidates, None, &FrontChoiceOptions::default(), 0).len(),
        1
    );
}

/// Guards against naming a front that restarts under load, which has no configuration yet and makes
/// callers wait or refuses them.
#[test]
fn choose_passes_over_a_front_that_starts() {
    let options = FrontChoiceOptions::default();
    let mut starting = candidate(1, "a", 1.0);
    starting.is_started = is_presumed_started(false, millis(300));
    let small = [candidate(2, "a", 0.2), candidate(3, "b", 0.2)];
    let candidates = [starting.clone(), small[0].clone(), small[1].clone()];
    let domain = "a".parse().ok();
    let chosen = choose_fronts(&candidates, domain.as_ref(), &options, 0);
    assert!(!chosen.contains(&starting.address), "{chosen:?}");
    starting.is_started =
        is_presumed_started(false, millis(1_500)) && is_presumed_started(true, millis(0));
    let candidates = [starting.clone(), small[0].clone(), small[1].clone()];
    let chosen = choose_fronts(&candidates, domain.as_ref(), &options, 0);
    assert_eq!(chosen[0], starting.address);
}

/// Guards against naming no front at all while the whole group starts.
#[test]
fn choose_names_starting_fronts_where_there_are_no_others() {
    let mut candidates = [candidate(1, "a", 1.0), candidate(2, "b", 1.0)];
    for candidate in &mut candidates {
        candidate.is_started = false;
    }
    let chosen = choose_fronts(&candidates, None, &FrontChoiceOptions::default(), 0);
    assert_eq!(chosen.len(), 2);
}

/// Returns four domains with two large and two small fronts each.
fn four_domains() -> Vec<FrontCandidate> {
    let domains = ["a", "b", "c", "d"];
    let sizes = [1.0, 1.0, 0.24, 0.24];
    let fronts = domains
        .iter()
        .zip(0_u16..)
        .flat_map(|(domain, domain_index)| {
            let of_size = move |(size, number)| candidate(domain_index * 10 + number, domain, size);
            sizes.into_iter().zip(0_u16..).map(of_size)
        });
    fronts.collect()
}

/// Guards against callers that know no front outside their failure domain when it is lost.
#[test]
fn choice_names_fronts_of_another_domain() {
    let options = FrontChoiceOptions {
        min_domains: 2,
        ..FrontChoiceOptions::default()
    };
    let own = "b".parse().ok();
    let mut others = std::collections::BTreeSet::new();
    for turn in 0..6 {
        let chosen = choose_fronts(&four_domains(), own.as_ref(), &options, turn);
        let ports: Vec<u16> = chosen.iter().map(SocketAddr::port).collect();
        assert_eq!(ports.len(), 4, "two of each domain");
        assert_eq!(ports[..2], [10, 11], "the own domain first");
        assert!(ports.iter().all(|port| port % 10 < 2), "large hosts only");
        others.insert(ports[2] / 10);
    }
    assert_eq!(others.len(), 3, "callers are spread over the other domains");
}

/// Asking for more domains than there are names the fronts of those that exist.
#[test]
fn choice_of_more_domains_than_there_are() {
    let options = FrontChoiceOptions {
        min_domains: 3,
        ..FrontChoiceOptions::default()
    };
    let candidates: Vec<FrontCandidate> = four_domains().into_iter().take(4).collect();
    assert_eq!(choose_fronts(&candidates, None, &options, 7).len(), 2);
    let candidates: Vec<FrontCandidate> = four_domains().into_iter().take(8).collect();
    assert_eq!(choose_fronts(&candidates, None, &options, 7).len(), 4);
}
