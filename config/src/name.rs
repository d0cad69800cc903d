//! Syntax of names.

const MAX_NAME_BYTES: usize = 64;

/// Whether the text is a valid name of an instance, a zone, a class, a tenant or a label. The characters are restricted as names occur
/// in logs, paths and commands.
pub(crate) fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    text.len() <= MAX_NAME_BYTES
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
        && text.chars().all(is_allowed)
}
