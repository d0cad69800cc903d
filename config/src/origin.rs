//! Origins of values.

use std::fmt;
use std::ops::Range;
use std::path::{Path, PathBuf};

use serde::Serialize;

/// Where a value was given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Origin {
    /// The value was not given; it is the schema's default.
    Default,
    /// In a file, at a line and column, both counted from 1.
    File {
        /// Path of the file as it was named; not canonical.
        file: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// The column in characters, counted from 1.
        column: usize,
    },
    /// In the environment variable with this name.
    Environment(String),
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Default => write!(f, "default"),
            Self::File { file, line, column } => write!(f, "{}:{line}:{column}", file.display()),
            Self::Environment(name) => write!(f, "${name}"),
        }
    }
}

/// The text of a file, with an index of its lines to convert a parser's byte offsets into lines and columns.
pub(crate) struct Source {
    pub(crate) file: PathBuf,
    pub(crate) text: String,
    /// The offset of the start of each line, in bytes.
    line_offsets: Vec<usize>,
}

impl Source {
    pub(crate) fn new(file: PathBuf, text: String) -> Self {
        let after_newlines = text.match_indices('\n').map(|(offset, _)| offset + 1);
        let line_offsets = std::iter::once(0).chain(after_newlines).collect();
        Self { file, text, line_offsets }
    }

    /// The place of the start of a span; the start of the file if there is no span.
    pub(crate) fn origin(&self, span: Option<Range<usize>>) -> Origin {
        let offset = span.map_or(0, |span| span.start).min(self.text.len());
        let line = self.line_offsets.partition_point(|line_offset| *line_offset <= offset);
        let before = self.text.get(self.line_offsets[line - 1]..offset);
        let column = before.map_or(0, |before| before.chars().count()) + 1;
        Origin::File { file: self.file.clone(), line, column }
    }

    pub(crate) fn folder(&self) -> &Path {
        self.file.parent().unwrap_or(Path::new(""))
    }
}
