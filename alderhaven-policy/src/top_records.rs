//! Selects the greatest fixed-size records of many shards' replies.
//!
//! Records are compared in place, and only the selected ones are sorted and copied.

use bytes::Bytes;

/// Size of one record in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `count` greatest records of the parts in descending byte order.
///
/// Equal records are all kept. An incomplete record at the end of a part is ignored.
#[must_use]
pub fn greatest_records<'a>(parts: impl IntoIterator<Item = &'a Bytes>, count: usize) -> Bytes {
    let mut records: Vec<&[u8; RECORD_BYTES]> = parts
        .into_iter()
        .flat_map(|part| part.as_chunks::<RECORD_BYTES>().0)
        .collect();
    if records.len() > count {
        if count == 0 {
            return Bytes::new();
        }
        records.select_nth_unstable_by(count - 1, |left, right| right.cmp(left));
        records.truncate(count);
    }
    records.sort_unstable_by(|left, right| right.cmp(left));
    let mut merged = Vec::with_capacity(records.len() * RECORD_BYTES);
    for record in records {
        merged.extend_from_slice(record);
    }
    Bytes::from(merged)
}
