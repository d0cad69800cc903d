//! Deterministic pseudo-random numbers: the same seed and events give the same decisions.

/// Increment of the SplitMix64 sequence (Steele, Lea and Flood, "Fast splittable pseudorandom number
/// generators").
pub(crate) const SPLITMIX_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
/// Odd multiplier that spreads small identifiers over 64 bits before they are mixed with a seed.
pub(crate) const ID_MULTIPLIER: u64 = 0xd6e8_feb8_6659_fd93;

/// Mixes the bits of a number (the finalizer of SplitMix64).
pub fn hash_mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A SplitMix64 generator.
#[derive(Clone, Copy)]
pub(crate) struct SplitMix64 {
    state: u64,
}

impl SplitMix64 {
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed ^ SPLITMIX_INCREMENT }
    }

    /// The state, as a seed for draws that must not advance the sequence.
    pub(crate) fn state(&self) -> u64 {
        self.state
    }

    /// A number in [0, 1).
    pub(crate) fn next_unit(&mut self) -> f64 {
        self.state = self.state.wrapping_add(SPLITMIX_INCREMENT);
        (hash_mix(self.state) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A linear congruential generator (Knuth's MMIX constants): cheap jitter for each backend that is examined
/// during a choice.
pub(crate) struct PickJitter {
    state: u64,
}

impl PickJitter {
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// A number in [0, 1).
    pub(crate) fn next_unit(&mut self) -> f64 {
        self.state = self.state.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        (self.state >> 40) as f64 / (1u64 << 24) as f64
    }
}
