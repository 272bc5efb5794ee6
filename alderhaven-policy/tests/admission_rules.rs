//! Property tests of the admission gate: each query gets one decision, and limits hold.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use alderhaven_core::class::QueryClass;
use alderhaven_core::team::TeamPolicy;
use alderhaven_core::time::TimeSpan;
use alderhaven_policy::admission::{AdmissionGate, AdmissionOptions};
use alderhaven_policy::admit_decision::{
    AdmitDecision, AdmitRequest, AdmitTicket, ReadyQuery, Refusal, RefusalReason,
};
use alderhaven_policy::policy_kind::PolicyKind;
use alderhaven_policy::service_capacity::QueryReport;
use common::{at, ms, proptest_config};
use proptest::prelude::{Just, Strategy, prop_assert, prop_assert_eq, prop_oneof, proptest};
use proptest::{collection, sample};

const TEAMS: [&str; 3] = ["desk", "portal", "limited"];
const SHARDS: u32 = 20;

#[derive(Clone, Debug)]
enum Action {
    Offer(usize, QueryClass, u64, bool, u64),
    Finish(usize, u64, u32),
    Reply(usize),
    Cancel(u64),
    Wait(u64),
}

fn action() -> impl Strategy<Value = Action> {
    let class = sample::select(QueryClass::ALL.to_vec());
    prop_oneof![
        6 => (0_usize..3, class, 0_u64..4, proptest::bool::ANY, 1_u64..500)
            .prop_map(|(team, class, key, all, time)| Action::Offer(team, class, key, all, time)),
        4 => (0_usize..8, 0_u64..50, 0_u32..4)
            .prop_map(|(index, wait, not_run)| Action::Finish(index, wait, not_run)),
        2 => (0_usize..8).prop_map(Action::Reply),
        1 => (0_u64..60).prop_map(Action::Cancel),
        3 => prop_oneof![Just(1_u64), 0_u64..300].prop_map(Action::Wait),
    ]
}

fn gate() -> AdmissionGate {
    let mut gate = AdmissionGate::new(PolicyKind::Current, AdmissionOptions::default(), 9);
    let service = "stock".parse().expect("valid name");
    gate.set_service(&service, SHARDS, SHARDS * 2);
    let limited = TeamPolicy {
        name: "limited".parse().expect("valid name"),
        weight: 2,
        max_rate: Some("5/s".parse().expect("valid rate")),
        max_in_flight: Some(2),
        burst: None,
        rank: None,
        token_hash: None,
        other_token_hashes: Vec::new(),
    };
    gate.set_team(&limited, at(0));
    gate
}

fn request(id: u64, team: &str, class: QueryClass, key: u64, fan_out: u32) -> AdmitRequest {
    AdmitRequest {
        id,
        team: team.parse().expect("valid name"),
        service: "stock".parse().expect("valid name"),
        template: "search".parse().expect("valid name"),
        class,
        fan_out,
        key,
        deadline: at(0),
    }
}

fn has_min_retry_after(refusal: Refusal) -> bool {
    refusal.retry_after >= AdmissionOptions::default().min_retry_after
}

proptest! {
    #![proptest_config(proptest_config(200))]

    #[test]
    fn every_query_has_one_decision(actions in collection::vec(action(), 1..150)) {
        let mut gate = gate();
        let service = "stock".parse().expect("valid name");
        let mut now = at(0);
        let mut count = 0_u64;
        let mut open: Vec<AdmitTicket> = Vec::new();
        let mut waiting = BTreeSet::new();
        let mut keys = BTreeMap::new();
        let mut limited_in_flight = BTreeSet::new();
        for action in actions {
            match action {
                Action::Offer(team, class, key, all, time) => {
                    count += 1;
                    keys.insert(count, key);
                    let fan_out = if all { SHARDS } else { 1 };
                    let mut request = request(count, TEAMS[team], class, key, fan_out);
                    request.deadline = now + ms(time);
                    match gate.offer(request, now) {
                        AdmitDecision::Admit(ticket) => open.push(ticket),
                        AdmitDecision::Queue => { waiting.insert(count); }
                        AdmitDecision::Refuse(refusal) => {
                            prop_assert!(has_min_retry_after(refusal));
                            continue;
                        }
                    }
                    if TEAMS[team] == "limited" {
                        limited_in_flight.insert(count);
                    }
                }
                Action::Finish(index, wait, not_run) if index < open.len() => {
                    let ticket = open.swap_remove(index);
                    let report = QueryReport {
                        queue_wait: ms(wait),
                        service_time: ms(10),
                        attempts: ticket.request.fan_out,
                        not_run: not_run.min(ticket.request.fan_out),
                    };
                    gate.record_finished(&ticket, report, now);
                    limited_in_flight.remove(&ticket.request.id);
                }
                Action::Reply(index) if index < open.len() => gate.record_reply(&mut open[index]),
                Action::Finish(..) | Action::Reply(_) => {}
                Action::Cancel(id) => {
                    let cancelled = gate.cancel(&service, id);
                    prop_assert_eq!(cancelled, waiting.remove(&id));
                    if cancelled {
                        limited_in_flight.remove(&id);
                    }
                }
                Action::Wait(time) => now = now + ms(time),
            }
            while let Some(ready) = gate.next_ready(now) {
                match ready {
                    ReadyQuery::Admit(ticket) => {
                        prop_assert!(waiting.remove(&ticket.request.id));
                        prop_assert!(now <= ticket.request.deadline);
                        open.push(ticket);
                    }
                    ReadyQuery::Refuse { id, refusal } => {
                        prop_assert!(waiting.remove(&id));
                        prop_assert!(has_min_retry_after(refusal));
                        limited_in_flight.remove(&id);
                    }
                }
            }
            let load = gate.service_load(&service).expect("known service");
            let sent: u64 = open
                .iter()
                .map(|ticket| u64::from(ticket.request.fan_out - ticket.replied))
                .sum();
            prop_assert_eq!(load.in_flight, sent);
            prop_assert_eq!(load.waiting, waiting.len());
            prop_assert!(limited_in_flight.len() <= 2);
            // Nothing waits forever: an idle service admits any waiting query, except for those
            // whose key still has an open query.
            let open_keys: BTreeSet<u64> = open.iter().map(|ticket| ticket.request.key).collect();
            prop_assert!(sent > 0 || waiting.iter().all(|id| open_keys.contains(&keys[id])));
        }
        // Once all queries have ended, the limited team may start new ones.
        for id in waiting {
            prop_assert!(gate.cancel(&service, id));
        }
        for ticket in open {
            gate.record_finished(&ticket, QueryReport::default(), now);
        }
        now = now + ms(10_000);
        for id in [1001, 1002] {
            let mut request = request(id, "limited", QueryClass::Urgent, id, 1);
            request.deadline = now + ms(10_000);
            let decision = gate.offer(request, now);
            prop_assert!(matches!(decision, AdmitDecision::Admit(_)));
        }
    }
}

#[test]
fn team_rate_is_divided_among_entries() {
    let mut gate = gate();
    gate.set_entries(5, at(0));
    let mut admitted = 0;
    let mut refused = 0;
    for step in 0..100_u64 {
        let now = at(step * 100);
        let mut request = request(step, "limited", QueryClass::Urgent, step, 1);
        request.deadline = now + ms(300);
        match gate.offer(request, now) {
            AdmitDecision::Admit(ticket) => {
                admitted += 1;
                gate.record_finished(&ticket, QueryReport::default(), now);
            }
            AdmitDecision::Queue => panic!("query queued at an idle service"),
            AdmitDecision::Refuse(refusal) => {
                refused += 1;
                assert_eq!(refusal.reason, RefusalReason::TeamRate);
                assert!(refusal.retry_after <= TimeSpan::from_secs(2));
            }
        }
    }
    // 5/s over 5 entries is 1/s for 10 s, with a burst of one.
    assert!(
        (10..=12).contains(&admitted),
        "{admitted} admitted, expected 10 to 12"
    );
    assert!(refused > 80);
}

/// Guards against refused callers that retry together and repeat the overload.
#[test]
fn retry_after_is_jittered() {
    let mut gate = gate();
    let mut retry_times = BTreeSet::new();
    for id in 0..200 {
        let mut request = request(id, "desk", QueryClass::Ordinary, id, SHARDS);
        request.deadline = at(300);
        if let AdmitDecision::Refuse(refusal) = gate.offer(request, at(0)) {
            retry_times.insert(refusal.retry_after);
        }
    }
    assert!(retry_times.len() > 100);
    let (first, last) = (
        retry_times.first().expect("at least one refusal"),
        retry_times.last().expect("at least one refusal"),
    );
    assert!(
        *last >= first.mul_f64(1.5),
        "retry times from {first} to {last}"
    );
}
