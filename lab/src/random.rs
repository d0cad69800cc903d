//! Deterministic pseudo-random numbers: one independent stream for each purpose.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;
/// 2^64 divided by the golden ratio: multiplication by this constant spreads consecutive numbers over the 64 bits.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
/// Bits of an `f64` mantissa, and the remaining bits of a `u64`.
const MANTISSA_BITS: u32 = 53;
const SURPLUS_BITS: u32 = u64::BITS - MANTISSA_BITS;

/// The random numbers of one purpose. An additional draw from one stream does not affect any other stream, so that runs
/// remain comparable after a change to one part of a world.
pub struct RandomStream(ChaCha8Rng);

impl RandomStream {
    /// The stream for a seed, a purpose and a number that distinguishes streams of the same purpose.
    pub fn new(seed: u64, purpose: &str, number: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        // FNV-1a rather than the standard library's hasher, whose results may change between releases: the same seed must
        // give the same draws.
        let purpose_hash = purpose
            .bytes()
            .fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
        random.set_stream(purpose_hash ^ number.wrapping_mul(GOLDEN_RATIO));
        Self(random)
    }

    /// Uniform in `[0, 1)`.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> SURPLUS_BITS) as f64 / (1u64 << MANTISSA_BITS) as f64
    }

    /// Exponentially distributed with the given mean: the time between two events of a Poisson process.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// Uniform between 75 and 125 % of the mean.
    pub fn around(&mut self, mean: f64) -> f64 {
        mean * (0.75 + 0.5 * self.unit())
    }

    /// A seed for another generator.
    pub fn seed(&mut self) -> u64 {
        self.0.next_u64()
    }
}
