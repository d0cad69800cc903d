//! Paths of fields, as in `limits.sockets` or `instance[n0].zone`.

/// The longest name in a path, in characters.
const MAX_NAME_CHARS: usize = 64;

/// The path of a field of the table at `path`. A key may be any text: it is escaped, so that it can't break a message's line.
pub(crate) fn join(path: &str, name: &str) -> String {
    let name: String = name.chars().take(MAX_NAME_CHARS).flat_map(char::escape_debug).collect();
    if path.is_empty() { name } else { format!("{path}.{name}") }
}
