//! Deterministic pseudo-random numbers: a sequential generator, and numbers that are a function of a seed and a key.

use ivyhatch_protocol::hash::hash_mix;

/// The odd constant of splitmix64, 2^64 divided by the golden ratio.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// A sequential generator (splitmix64); equal seeds give equal sequences.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// A generator at the start of the sequence of `seed`.
    pub fn new(seed: u64) -> Self {
        Self(hash_mix(seed ^ GOLDEN_GAMMA))
    }

    /// The next 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(GOLDEN_GAMMA);
        hash_mix(self.0)
    }

    /// A number in `0..end`; 0 where `end` is 0.
    pub fn below(&mut self, end: u64) -> u64 {
        self.next_u64() % end.max(1)
    }

    /// A number in `first..=last`.
    pub fn between(&mut self, first: u64, last: u64) -> u64 {
        first + self.below(last.saturating_sub(first) + 1)
    }

    /// True with a probability of `percent` in a hundred.
    pub fn chance_percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// The use of a keyed random number. Each use has an independent sequence, so leaving out an event of a run does not change the
/// numbers that are drawn for other events. The discriminants are part of the key and must not change.
#[derive(Clone, Copy, Debug)]
pub enum Stream {
    /// Numbers that are drawn in the order of events; the key is the count of draws.
    Events = 1,
    /// The jitter of a message's delay; the key is the link and the message's position on that link.
    MessageDelay = 2,
    /// The base delay of a link; the key is its two endpoints in ascending order.
    LinkDelay = 3,
    /// Whether a message is lost, duplicated or reordered; the seed is the number drawn for the message's delay.
    MessageFault = 4,
    /// The random id of a process; the key is its machine and incarnation.
    ProcessId = 5,
}

/// A random number that depends only on the seed, the stream and the key.
pub fn keyed_random(seed: u64, stream: Stream, key: [u64; 3]) -> u64 {
    let [first, second, third] = key;
    [stream as u64, first, second, third]
        .iter()
        .fold(hash_mix(seed), |folded, key| hash_mix(folded ^ key.wrapping_mul(GOLDEN_GAMMA).rotate_left(23)))
}
