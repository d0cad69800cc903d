//! Limits on the size of messages.

/// No body is larger, of a request or of a response.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
