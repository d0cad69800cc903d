//! Numbers by chance from a seed.

use ivyhatch_protocol::hash::hash_mix;

/// A source of numbers; the same seed gives the same ones.
#[derive(Clone, Debug)]
pub struct Chance(u64);

impl Chance {
    /// A source.
    pub fn new(seed: u64) -> Self {
        Self(hash_mix(seed ^ 0x9e37_79b9_7f4a_7c15))
    }

    /// The next number.
    pub fn number(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        hash_mix(self.0)
    }

    /// A number below this one; 0 where that is 0.
    pub fn below(&mut self, end: u64) -> u64 {
        self.number() % end.max(1)
    }

    /// A number from the first up to the last.
    pub fn between(&mut self, first: u64, last: u64) -> u64 {
        first + self.below(last.saturating_sub(first) + 1)
    }

    /// True in so many of a hundred cases.
    pub fn percent(&mut self, share: u64) -> bool {
        self.below(100) < share
    }
}

/// A number that depends on these alone, so that what is drawn for one thing does not change when another is left out.
pub fn draw(seed: u64, keys: [u64; 4]) -> u64 {
    keys.iter().fold(hash_mix(seed), |folded, key| {
        hash_mix(folded ^ key.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23))
    })
}
