//! The nesting depth of JSON.

/// The maximum nesting depth of arrays and objects. The JSON parsers of other programs that read the configuration
/// have similar limits.
pub(super) const MAX_NESTING: usize = 127;

/// The depth to which arrays and objects are nested in a JSON text.
pub(super) fn nesting_depth(json: &str) -> usize {
    let (mut depth, mut max_depth) = (0_usize, 0);
    let (mut in_string, mut is_escaped) = (false, false);
    for byte in json.bytes() {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if in_string => is_escaped = true,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => {
                depth += 1;
                max_depth = max_depth.max(depth);
            }
            b']' | b'}' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    max_depth
}
