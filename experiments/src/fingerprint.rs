//! Fingerprints of what a result depends on.

/// Hexadecimal digits of a fingerprint.
const FINGERPRINT_DIGITS: usize = 16;

/// A short fingerprint of some bytes, a prefix of their BLAKE3 hash.
pub fn fingerprint(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex()[..FINGERPRINT_DIGITS].to_owned()
}
