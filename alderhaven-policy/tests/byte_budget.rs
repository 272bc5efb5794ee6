//! Tests of who gives way when the memory for bodies is used up.

use alderhaven_core::quantities::ByteSize;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::byte_budget::{ByteBudget, HoldDecision, HoldDestination, HolderId};
use proptest::prelude::*;

const TOTAL: usize = 1 << 20;
const LARGE: usize = 256 << 10;
const SMALL: usize = 1 << 10;
const DESTINATION: HoldDestination = HoldDestination(1);

fn budget() -> ByteBudget {
    ByteBudget::new(ByteSize::from_bytes(TOTAL))
}

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

fn hold(budget: &mut ByteBudget, bytes: usize, now: TimePoint) -> (HolderId, HoldDecision) {
    let id = budget.add_holder(now);
    let decision = budget.resize(id, bytes, now);
    (id, decision)
}

fn victims(decision: &HoldDecision) -> Vec<HolderId> {
    match decision {
        HoldDecision::Held(victims) => victims.to_vec(),
        HoldDecision::Refused => panic!("refused"),
    }
}

// Stalled bodies that fill the budget must not keep new ones out until their deadlines.
#[test]
fn resize_stalled_bodies_give_way_oldest_first() {
    let mut budget = budget();
    let stalled: Vec<HolderId> = (0..3).map(|n| hold(&mut budget, LARGE, at(n)).0).collect();
    let (_, decision) = hold(&mut budget, LARGE, at(100));
    assert_eq!(victims(&decision), stalled[..1]);
    assert_eq!(budget.used().as_bytes(), 3 * LARGE);
}

// A body that trickles must not outlive bodies that arrive at once.
#[test]
fn resize_trickling_body_gives_way_before_steady_ones() {
    let mut budget = budget();
    let (trickling, _) = hold(&mut budget, LARGE / 2, at(0));
    for second in 1..60_u64 {
        let bytes = LARGE / 2 + usize::try_from(second).expect("a small number");
        budget.resize(trickling, bytes, at(second * 1_000));
    }
    for n in 0..2 {
        hold(&mut budget, LARGE, at(60_000 + n));
    }
    let (_, decision) = hold(&mut budget, LARGE, at(60_010));
    assert_eq!(victims(&decision), [trickling]);
}

// Small requests must be held while large ones take all that they may.
#[test]
fn resize_small_body_needs_no_victim_beside_large_ones() {
    let mut budget = budget();
    for n in 0..3 {
        hold(&mut budget, LARGE, at(n));
    }
    for n in 0..100 {
        let (_, decision) = hold(&mut budget, SMALL, at(10 + n));
        assert_eq!(victims(&decision), []);
    }
}

// A holder that has occupied more than all others must not push them out.
#[test]
fn resize_largest_occupant_is_refused() {
    let mut budget = budget();
    let (old, _) = hold(&mut budget, LARGE, at(0));
    for _ in 0..2 {
        hold(&mut budget, LARGE, at(9_000));
    }
    assert_eq!(
        budget.resize(old, 2 * LARGE, at(9_001)),
        HoldDecision::Refused
    );
    assert_eq!(budget.used().as_bytes(), 3 * LARGE);
}

// Bodies in use can't be given up, so a body that finds only those is refused at once.
#[test]
fn resize_bodies_in_use_stay() {
    let mut budget = budget();
    for n in 0..3 {
        let (id, _) = hold(&mut budget, LARGE, at(n));
        assert!(budget.set_in_use(id, None));
    }
    assert_eq!(hold(&mut budget, LARGE, at(9_000)).1, HoldDecision::Refused);
}

// An answer that its caller doesn't take must give way although it was in use before.
#[test]
fn set_leaving_answer_gives_way() {
    let mut budget = budget();
    let (answer, _) = hold(&mut budget, LARGE, at(0));
    for _ in 0..2 {
        let (id, _) = hold(&mut budget, LARGE, at(0));
        assert!(budget.set_in_use(id, None));
    }
    assert!(budget.set_in_use(answer, None));
    budget.set_leaving(answer, at(10));
    let (_, decision) = hold(&mut budget, LARGE, at(1_000));
    assert_eq!(victims(&decision), [answer]);
}

// The requests of destinations that don't answer must leave room for those of others.
#[test]
fn set_in_use_destinations_leave_room_for_others() {
    let mut budget = ByteBudget::new(ByteSize::from_bytes(64 * LARGE));
    let mut fill = |destination: u64| {
        let mut count = 0;
        loop {
            let (id, decision) = hold(&mut budget, LARGE, at(0));
            let is_held = decision != HoldDecision::Refused;
            if !is_held || !budget.set_in_use(id, Some(HoldDestination(destination))) {
                budget.remove_holder(id);
                return count;
            }
            count += 1;
        }
    };
    let counts: Vec<usize> = (0..4).map(&mut fill).collect();
    assert_eq!(counts, [24, 12, 6, 3]);
}

#[test]
fn remove_holder_frees_its_destination() {
    let mut budget = budget();
    let (first, _) = hold(&mut budget, LARGE, at(0));
    assert!(budget.set_in_use(first, Some(DESTINATION)));
    let (second, _) = hold(&mut budget, LARGE, at(0));
    assert!(!budget.set_in_use(second, Some(DESTINATION)));
    budget.remove_holder(first);
    assert!(budget.set_in_use(second, Some(DESTINATION)));
}

#[derive(Clone, Debug)]
enum Step {
    Add(usize),
    Resize(usize, usize),
    UseFor(usize, u64),
    Leave(usize),
    Remove(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    let holder = 0..40_usize;
    let size = 0..2 * LARGE;
    prop_oneof![
        size.clone().prop_map(Step::Add),
        (holder.clone(), size).prop_map(|(holder, bytes)| Step::Resize(holder, bytes)),
        (holder.clone(), 0..3_u64).prop_map(|(holder, to)| Step::UseFor(holder, to)),
        holder.clone().prop_map(Step::Leave),
        holder.prop_map(Step::Remove),
    ]
}

proptest! {
    // The sum must stay within the budget, and nothing may be left when all holders are gone.
    #[test]
    fn resize_any_steps_stay_within_the_budget(steps in proptest::collection::vec(any_step(), 1..200)) {
        let mut budget = budget();
        let mut holders = Vec::new();
        for (now, step) in (0_u64..).zip(steps) {
            let now = at(now * 10);
            let find = |index: usize| holders.get(index % holders.len().max(1)).copied();
            match step {
                Step::Add(bytes) => holders.push(hold(&mut budget, bytes, now).0),
                Step::Resize(index, bytes) => {
                    if let Some(id) = find(index) {
                        budget.resize(id, bytes, now);
                    }
                }
                Step::UseFor(index, to) => {
                    if let Some(id) = find(index) {
                        budget.set_in_use(id, Some(HoldDestination(to)));
                    }
                }
                Step::Leave(index) => {
                    if let Some(id) = find(index) {
                        budget.set_leaving(id, now);
                    }
                }
                Step::Remove(index) => {
                    if let Some(id) = find(index) {
                        budget.remove_holder(id);
                    }
                }
            }
            prop_assert!(budget.used().as_bytes() <= TOTAL);
        }
        for id in holders {
            budget.remove_holder(id);
        }
        prop_assert_eq!(budget.used().as_bytes(), 0);
        let (id, _) = hold(&mut budget, LARGE, at(1));
        prop_assert!(budget.set_in_use(id, Some(DESTINATION)));
    }
}
