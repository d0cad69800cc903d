//! Errors in the description of a world.

/// An error in the description of a world.
#[derive(Debug, thiserror::Error)]
pub enum WorldError {
    /// The text is not valid TOML or does not have the fields of a world; the message has line and column.
    #[error("{0}")]
    Text(#[from] toml::de::Error),
    /// The value of a field is out of range.
    #[error(
        "{}{field}: got {value}, expected {wanted}",
        .line.map(|line| format!("line {line}: ")).unwrap_or_default()
    )]
    Field {
        /// Line of the field, from 1; `None` if the line is not known or the world was not read from a text.
        line: Option<usize>,
        /// Path of the field in the file; entries of arrays are counted from 0.
        field: String,
        /// The rejected value.
        value: String,
        /// The accepted range.
        wanted: &'static str,
    },
}

impl WorldError {
    /// Adds the line on which the field stands in `text`, from which the world was read.
    pub(super) fn with_line_in(self, text: &str) -> Self {
        match self {
            Self::Field { field, value, wanted, .. } => {
                Self::Field { line: line_of(text, &field), field, value, wanted }
            }
            Self::Text(error) => Self::Text(error),
        }
    }
}

/// The line, from 1, of the field with a path such as `clients.class[0].aim_ms`.
fn line_of(text: &str, path: &str) -> Option<usize> {
    let document = toml_edit::Document::parse(text).ok()?;
    let mut item = document.as_item();
    for step in path.split('.') {
        let (key, index) = match step.split_once('[') {
            Some((key, index)) => (key, index.trim_end_matches(']').parse::<usize>().ok()),
            None => (step, None),
        };
        // A field that is absent from the text gets the line of its table.
        let Some(next) = item.get(key) else { break };
        item = match index {
            Some(index) => next.get(index)?,
            None => next,
        };
    }
    let start = item.span()?.start;
    Some(text.get(..start)?.matches('\n').count() + 1)
}
