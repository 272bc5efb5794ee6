//! Hash functions whose results are the same on all nodes.

/// Hashes a name to 64 bits with BLAKE3.
#[must_use]
pub fn hash_name(name: &str) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    u64::from_be_bytes(bytes)
}

/// Combines two hashes into one; their order matters.
///
/// It uses the finalizer of the splitmix64 generator, which is cheap enough for all pairs of
/// targets and relays.
#[must_use]
pub const fn mix_hashes(first: u64, second: u64) -> u64 {
    let mut mixed = first ^ second.wrapping_add(0x9e37_79b9_7f4a_7c15).rotate_left(31);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
