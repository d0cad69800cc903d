//! Randomness split by purpose: each purpose has a stream of its own from the world's seed, so adding a draw to
//! one moves no other.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

/// One purpose's draws.
pub struct RandomStream(ChaCha8Rng);

impl RandomStream {
    /// The stream of a purpose and a number within it, say of one server.
    pub fn new(seed: u64, purpose: &str, number: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        // FNV: what matters is that purposes differ, and that they do so for ever.
        let name = purpose.bytes().fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
        });
        random.set_stream(name ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        Self(random)
    }

    /// A number from 0 up to 1.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A waiting time with this mean, as between arrivals that know nothing of each other.
    pub fn waiting(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// About this much: a quarter to either side.
    pub fn about(&mut self, mean: f64) -> f64 {
        mean * (0.75 + 0.5 * self.unit())
    }

    /// A seed for somebody else's draws.
    pub fn seed(&mut self) -> u64 {
        self.0.next_u64()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn purposes_and_numbers_draw_apart_and_the_same_again() {
        let draws = |purpose, number| {
            let mut stream = RandomStream::new(7, purpose, number);
            [stream.unit(), stream.unit(), stream.unit()]
        };
        assert_eq!(draws("arrivals", 0), draws("arrivals", 0));
        assert_ne!(draws("arrivals", 0), draws("arrivals", 1));
        assert_ne!(draws("arrivals", 0), draws("work", 0));
    }
}
