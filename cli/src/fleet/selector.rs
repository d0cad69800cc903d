//! Selectors, by which the arguments of a command select instances.

use ivyhatch_agent::InstanceStatus;

/// Whether at least one of the selectors matches the instance. A selector consists of parts separated by commas, all of which have to
/// match: `all`, `NAME`, `zone=ZONE` or `LABEL=VALUE`. In names, zones and values, `*` matches any text.
pub(super) fn matches_any(selectors: &[String], instance: &InstanceStatus) -> bool {
    let part_matches = |part: &str| match part.split_once('=') {
        Some(("zone", zone)) => glob_matches(zone, &instance.zone),
        Some((label, pattern)) => {
            instance.labels.get(label).is_some_and(|value| glob_matches(pattern, value))
        }
        None => part == "all" || glob_matches(part, &instance.name),
    };
    selectors.iter().any(|selector| selector.split(',').all(part_matches))
}

/// Whether the complete text matches the pattern, in which `*` stands for any text, also an empty one.
fn glob_matches(pattern: &str, text: &str) -> bool {
    let Some((prefix, rest)) = pattern.split_once('*') else { return pattern == text };
    let Some(text) = text.strip_prefix(prefix) else { return false };
    (0..=text.len()).any(|start| text.is_char_boundary(start) && glob_matches(rest, &text[start..]))
}
