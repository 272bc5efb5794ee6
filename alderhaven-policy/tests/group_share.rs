//! Tests of the shares that nodes take of the group's limits.

use alderhaven_policy::group_share::GroupShare;
use alderhaven_policy::membership::member_record::CpuCapacity;
use proptest::prelude::*;

/// Returns a group of 8 large and 55 small hosts.
fn fleet() -> Vec<CpuCapacity> {
    let sizes = std::iter::repeat_n(500, 8).chain(std::iter::repeat_n(120, 55));
    sizes.map(CpuCapacity).collect()
}

fn share_of(own: CpuCapacity, steps: &[&[CpuCapacity]]) -> GroupShare {
    let mut share = GroupShare::alone(own);
    for seen in steps {
        share.update(seen.iter().copied());
    }
    share
}

/// Guards against repeats that go unused on small hosts while large ones, which carry the load, run
/// out.
#[test]
fn repeat_share_follows_the_load() {
    let fleet = fleet();
    let large = share_of(fleet[0], &[&fleet]).repeat_share();
    let small = share_of(fleet[62], &[&fleet]).repeat_share();
    assert!(large > 0.09, "{large}");
    let all = large * 8.0 + small * 55.0;
    assert!((all - 1.0).abs() < 1e-9, "{all}");
}

/// A group of equal hosts divides the repeats evenly.
#[test]
fn repeat_share_of_equal_hosts_is_even() {
    let fleet = [CpuCapacity(250); 8];
    let share = share_of(fleet[0], &[&fleet]).repeat_share();
    assert!((share - 0.125).abs() < 1e-9, "{share}");
}

proptest! {
    /// Guards against nodes that are cut off taking over the shares of those that they no longer see.
    #[test]
    fn repeat_shares_stay_below_one_in_any_partition(
        sizes in prop::collection::vec(prop::sample::select(vec![120_u32, 250, 500]), 2..70),
        seen in prop::collection::vec(any::<bool>(), 70),
    ) {
        let fleet: Vec<CpuCapacity> = sizes.into_iter().map(CpuCapacity).collect();
        let cut: Vec<CpuCapacity> = fleet
            .iter()
            .zip(&seen)
            .filter(|(_, seen)| **seen)
            .map(|(capacity, _)| *capacity)
            .collect();
        let all: f64 = fleet
            .iter()
            .map(|own| share_of(*own, &[&cut, &fleet, &cut]).repeat_share())
            .sum();
        prop_assert!(all <= 1.0 + 1e-9, "{}", all);
    }
}
