//! Hash functions whose results are the same in every process and in every release.
//!
//! Keys are assigned to partitions, and routers to servers, by these values: a change of a function changes both. They resist
//! chance, not an adversary.

/// The offset basis of 64-bit FNV-1a.
pub(crate) const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of 64-bit FNV-1a.
pub(crate) const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// 64-bit FNV-1a, followed by [`hash_mix`] so that every input bit affects every output bit.
pub fn fnv1a_hash(bytes: &[u8]) -> u64 {
    let folded =
        bytes.iter().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
    hash_mix(folded)
}

/// The finalizer of SplitMix64: a bijection that spreads every input bit over all output bits.
pub fn hash_mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
