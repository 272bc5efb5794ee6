//! Tests of the choice of entry addresses for callers.

use std::sync::Arc;

use alderhaven_core::ids::FailureDomain;
use alderhaven_core::time::TimePoint;
use alderhaven_policy::entry_answer::{AnswerOptions, EntryAnswer};
use alderhaven_policy::membership::member_entry::MemberView;
use alderhaven_policy::membership::member_record::{
    LoadLevel, MemberRecord, MemberRole, MemberState, MemberVersion,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn member(index: u16, domain: &str, state: MemberState, load: u32) -> MemberView {
    let address = ([127, 0, 0, 1], 7_000 + index).into();
    let record = MemberRecord::builder()
        .node(format!("entry-{index}").parse().expect("valid id"))
        .role(MemberRole::Entry)
        .host(format!("host-{index}").parse().expect("valid id"))
        .domain(domain.parse().expect("valid id"))
        .gossip_address(address)
        .caller_address(address)
        .build();
    MemberView {
        record: Arc::new(record),
        state,
        version: MemberVersion::default(),
        load: LoadLevel(load),
        last_contact_at: None,
        discovered_at: TimePoint::START,
        config: None,
    }
}

fn domains() -> Vec<FailureDomain> {
    ["a", "b", "c"]
        .map(|name| name.parse().expect("valid id"))
        .to_vec()
}

fn choose(members: &[MemberView], seed: u64) -> EntryAnswer {
    let mut rng = StdRng::seed_from_u64(seed);
    EntryAnswer::choose(members, &domains(), &AnswerOptions::default(), &mut rng)
}

fn ports(answer: &EntryAnswer) -> Vec<u16> {
    answer
        .entries
        .iter()
        .map(|entry| entry.address.port())
        .collect()
}

#[test]
fn choose_names_the_nearest_domain_first() {
    let members = [
        member(0, "c", MemberState::Alive, 0),
        member(1, "a", MemberState::Alive, 0),
        member(2, "b", MemberState::Alive, 0),
    ];
    assert_eq!(ports(&choose(&members, 1)), [7_001, 7_002, 7_000]);
}

#[test]
fn choose_leaves_out_leaving_and_dead_entries() {
    let members = [
        member(0, "a", MemberState::Leaving, 0),
        member(1, "a", MemberState::Dead, 0),
        member(2, "a", MemberState::Suspect, 0),
        member(3, "b", MemberState::Alive, 0),
    ];
    assert_eq!(ports(&choose(&members, 1)), [7_003]);
    assert_eq!(
        ports(&choose(&members[..3], 1)),
        [7_002],
        "a suspect entry is chosen if no entry is alive"
    );
    assert!(choose(&members[..2], 1).entries.is_empty());
}

#[test]
fn choose_spreads_callers_by_load() {
    // One of twenty entries is nearly full and must be named much less often than an idle one.
    let members: Vec<_> = (0..20)
        .map(|index| {
            member(
                index,
                "a",
                MemberState::Alive,
                if index == 0 { 950 } else { 0 },
            )
        })
        .collect();
    let named = |port: u16| {
        (0..2_000)
            .filter(|seed| ports(&choose(&members, *seed)).contains(&port))
            .count()
    };
    let (busy, idle) = (named(7_000), named(7_001));
    assert!(
        busy > 0 && busy * 8 < idle,
        "busy entry chosen {busy} times, idle entry {idle} times"
    );
}
