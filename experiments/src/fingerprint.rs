//! Fingerprints of the inputs of a run: its world, variant, build and seed.

/// Hexadecimal digits of a fingerprint.
const FINGERPRINT_DIGITS: usize = 16;

/// A short fingerprint of `bytes`: the first 16 hexadecimal digits of their BLAKE3 hash.
pub fn fingerprint(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex()[..FINGERPRINT_DIGITS].to_owned()
}
