//! Tests that the text forms of quantities and ids round-trip, and that invalid texts are rejected.

use alderhaven_core::ids::{AttemptId, TeamId};
use alderhaven_core::quantities::{ByteSize, RatePerSecond, Share};
use alderhaven_core::time::TimeSpan;
use proptest::prelude::{any, prop_assert_eq, proptest};

proptest! {
    #[test]
    fn time_span_round_trips(micros in any::<u64>()) {
        let span = TimeSpan::from_micros(micros);
        prop_assert_eq!(span.to_string().parse::<TimeSpan>(), Ok(span));
    }

    #[test]
    fn byte_size_round_trips(bytes in any::<usize>()) {
        let size = ByteSize::from_bytes(bytes);
        prop_assert_eq!(size.to_string().parse::<ByteSize>(), Ok(size));
    }

    #[test]
    fn attempt_id_round_trips(origin in any::<u64>(), sequence in any::<u64>()) {
        let id = AttemptId { origin, sequence };
        prop_assert_eq!(id.to_string().parse::<AttemptId>(), Ok(id));
    }
}

#[test]
fn quantities_reject_invalid_text() {
    assert!("9".parse::<TimeSpan>().is_err());
    assert!("-1ms".parse::<TimeSpan>().is_err());
    assert!("1GB".parse::<ByteSize>().is_err());
    assert!("-1/s".parse::<RatePerSecond>().is_err());
    assert!("1.1".parse::<Share>().is_err());
    assert!("Team A".parse::<TeamId>().is_err());
}
