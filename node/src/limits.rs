//! Limits on the size of messages.

/// The largest body of a request or a response; larger ones are rejected.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
