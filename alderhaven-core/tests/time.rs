//! Spans of time that come from outside.

use alderhaven_core::time::TimeSpan;

/// Guards against a caller or a target that names an absurd time and ends the process, or gets none.
#[test]
fn span_of_absurd_length_saturates() {
    let longest = TimeSpan::from_micros(u64::MAX);
    assert_eq!(TimeSpan::from_millis(u64::MAX), longest);
    assert_eq!(TimeSpan::from_secs(u64::MAX), longest);
}
