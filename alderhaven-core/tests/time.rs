//! Tests of the arithmetic of time spans.

use alderhaven_core::time::TimeSpan;

/// Guards against an overflow by a huge span from a caller or a target, which would panic or wrap to a
/// short span.
#[test]
fn span_of_huge_length_saturates() {
    let longest = TimeSpan::from_micros(u64::MAX);
    assert_eq!(TimeSpan::from_millis(u64::MAX), longest);
    assert_eq!(TimeSpan::from_secs(u64::MAX), longest);
}
