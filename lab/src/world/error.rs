//! Why a text is no usable world.

/// An error in the description of a world.
#[derive(Debug, thiserror::Error)]
pub enum WorldError {
    /// The text does not parse; the message has line and column.
    #[error("{0}")]
    Text(#[from] toml::de::Error),
    /// A value is out of range.
    #[error("{}{field}: {value}: {wanted}", .line.map(|line| format!("line {line}: ")).unwrap_or_default())]
    Field {
        /// Line of the field, from 1; `None` if the field is not written or the world did not come from a text.
        line: Option<usize>,
        /// Path of the field in the file; entries of arrays are counted from 0.
        field: String,
        /// The value.
        value: String,
        /// The accepted range.
        wanted: &'static str,
    },
}

impl WorldError {
    /// The error with the line on which its field stands in the text that the world came from.
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
        // For a field that is not written, the line of its table has to do.
        let Some(next) = item.get(key) else { break };
        item = match index {
            Some(index) => next.get(index)?,
            None => next,
        };
    }
    let start = item.span()?.start;
    Some(text.get(..start)?.matches('\n').count() + 1)
}
