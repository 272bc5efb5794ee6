//! Hashes that all nodes compute alike.

/// Gets the hash of a name.
#[must_use]
pub fn hash_name(name: &str) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    u64::from_be_bytes(bytes)
}

/// Mixes two hashes into one; the order of the two matters.
///
/// These are the finishing steps of the splitmix64 generator, whose constants they use: cheap
/// enough for a million pairs of a target and a relay in a few milliseconds.
#[must_use]
pub const fn mix_hashes(first: u64, second: u64) -> u64 {
    let mut mixed = first ^ second.wrapping_add(0x9e37_79b9_7f4a_7c15).rotate_left(31);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
