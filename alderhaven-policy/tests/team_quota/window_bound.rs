//! No window exceeds the bound, whatever happens to messages and processes.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::quota_bound::QuotaBound;
use proptest::prelude::{Just, Strategy, any, prop, prop_assert, prop_oneof, proptest};

use crate::common;
use crate::simulation::{self, BOUND, Change, NetworkFaults, Simulation};

const SECONDS: f64 = 30.0;
const FRONTS: usize = 6;

fn change() -> impl Strategy<Value = Change> {
    let front = 0..FRONTS;
    let pause = (5_u64..4_000).prop_map(TimeSpan::from_millis);
    let sides = prop::collection::vec(0_u8..3, FRONTS);
    prop_oneof![
        (front.clone(), pause.clone()).prop_map(|(front, pause)| Change::Freeze { front, pause }),
        (front.clone(), pause).prop_map(|(front, pause)| Change::Restart { front, pause }),
        sides.prop_map(|sides| Change::Cut { sides }),
        Just(Change::Cut {
            sides: vec![0; FRONTS]
        }),
        (front, 0..FRONTS).prop_map(|(front, by)| Change::Rotate { front, by }),
    ]
}

fn faults() -> impl Strategy<Value = NetworkFaults> {
    let max_delay = (1_u64..4_000).prop_map(TimeSpan::from_millis);
    (0.0..0.3, 0.0..0.3, 0.0..0.3, max_delay).prop_map(|(loss, duplication, late, max_delay)| {
        NetworkFaults {
            loss,
            duplication,
            late,
            max_delay,
        }
    })
}

fn bounds() -> impl Strategy<Value = QuotaBound> {
    let strict = QuotaBound {
        window: TimeSpan::from_secs(1),
        overshoot: 0.0,
        slack: 0.0,
    };
    prop_oneof![Just(BOUND), Just(strict)]
}

proptest! {
    #![proptest_config(common::proptest_config(100))]

    /// Guards against credit that is granted twice: by two pools, after a delay, a pause or a restart,
    /// or by a duplicated message.
    #[test]
    fn requests_in_window_any_faults(
        seed in any::<u64>(),
        bound in bounds(),
        faults in faults(),
        changes in prop::collection::vec((0.0..SECONDS, change()), 0..30),
        rate in 1.0..60.0,
        burst in 1.0..60.0,
        load in 0.5..8.0,
        refund_part in prop_oneof![Just(0.0), 0.0..0.6],
    ) {
        let shares = [0.3, 0.2, 0.2, 0.15, 0.1, 0.05];
        let limit = simulation::limit(rate, burst);
        let mut simulation = Simulation::new(&shares, &[limit], bound, seed);
        simulation.faults = faults;
        simulation.refund_part = refund_part;
        simulation.has_share_check = true;
        for front in 0..FRONTS {
            // Pauses in the demand let buckets fill up.
            for start in [2.0, 8.0, 17.0, 24.0] {
                simulation.offer(0, front, rate * load, start, start + 4.0);
            }
        }
        for (time, change) in changes {
            simulation.change(simulation::at(time), change);
        }
        simulation.run_until(simulation::at(SECONDS));
        let share = simulation.largest_share;
        prop_assert!(share <= 1.0 + 1e-9, "{share} of the limits is in use at once");
        let busiest = simulation.tallies[0].busiest_window(bound.window, TimePoint::START);
        let allowed = simulation::allowed_in_window(&bound, limit);
        prop_assert!(busiest as f64 <= allowed, "{busiest} ran, {allowed} are allowed");
    }
}
