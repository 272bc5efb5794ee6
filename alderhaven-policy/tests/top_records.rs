//! Tests of the selection of the greatest records.

use alderhaven_policy::top_records::{RECORD_BYTES, greatest_records};
use bytes::Bytes;
use proptest::prelude::*;

#[test]
fn equal_records_are_all_kept() {
    let part = Bytes::from(vec![7; 2 * RECORD_BYTES]);
    assert_eq!(greatest_records([&part, &part], 3).len(), 3 * RECORD_BYTES);
}

#[test]
fn truncated_record_is_ignored() {
    let part = Bytes::from(vec![1; RECORD_BYTES + 5]);
    assert_eq!(greatest_records([&part], 9).len(), RECORD_BYTES);
}

#[test]
fn zero_count_is_empty() {
    let part = Bytes::from(vec![1; RECORD_BYTES]);
    assert!(greatest_records([&part], 0).is_empty());
    assert!(greatest_records([], 5).is_empty());
}

proptest! {
    /// The result is the same for any split into parts and for parts that were merged before.
    #[test]
    fn merging_blocks_equals_merging_parts(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..80), 0..12),
        cut in 0usize..12,
        count in 0usize..20,
    ) {
        let parts: Vec<Bytes> = parts.into_iter().map(Bytes::from).collect();
        let cut = cut.min(parts.len());
        let block = greatest_records(&parts[..cut], count);
        let rest = parts[cut..].iter();
        let merged = greatest_records(std::iter::once(&block).chain(rest), count);
        prop_assert_eq!(&merged, &greatest_records(&parts, count));

        let chunks = parts.iter().flat_map(|part| part.chunks_exact(RECORD_BYTES));
        let mut oracle: Vec<&[u8]> = chunks.collect();
        oracle.sort_unstable();
        oracle.reverse();
        oracle.truncate(count);
        prop_assert_eq!(merged.to_vec(), oracle.concat());
    }
}
