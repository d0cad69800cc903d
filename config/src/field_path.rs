//! Paths of fields, as in `limits.sockets` or `instance[n0].zone`.

/// Maximum number of characters of a name in a path; the rest is cut off.
const MAX_NAME_CHARS: usize = 64;

/// The path of the field `name` of the table at `path`. A key may be any text, so it is escaped: a newline in it must not break a
/// message into lines.
pub(crate) fn join(path: &str, name: &str) -> String {
    let name: String = name.chars().take(MAX_NAME_CHARS).flat_map(char::escape_debug).collect();
    if path.is_empty() { name } else { format!("{path}.{name}") }
}
