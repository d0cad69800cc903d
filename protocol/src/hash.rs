//! Hash functions whose results are the same in every process and in every release.
//!
//! Keys are assigned to partitions, and routers to servers, by these hashes: changing a function changes both
//! assignments. The functions are not cryptographic: an adversary can construct collisions.

/// The offset basis of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Multiplier for one 64-bit word of a checksum: 2^64 divided by the golden ratio.
const WORD_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Bits by which a checksum is rotated after each word.
const WORD_ROTATION: u32 = 29;

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

/// The checksum of frames and of write-ahead log blocks: FNV-1a over 64-bit words with rotation, mixed and
/// folded to 32 bits. Detects accidental corruption; a sender can forge a matching checksum.
pub fn checksum(bytes: &[u8]) -> u32 {
    let mut hash = FNV_OFFSET_BASIS ^ bytes.len() as u64;
    let (words, remainder) = bytes.as_chunks::<8>();
    for word in words {
        hash = (hash ^ u64::from_le_bytes(*word)).wrapping_mul(WORD_MULTIPLIER).rotate_left(WORD_ROTATION);
    }
    for byte in remainder {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    let mixed = hash_mix(hash);
    (mixed ^ (mixed >> 32)) as u32
}
