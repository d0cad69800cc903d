//! Diagnostics: each with its place, and with what would be right.

use std::fmt;

use serde::Serialize;

use crate::origin::Origin;

/// An error in the configuration. The names in its JSON are those of the first release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Diagnostic {
    /// Where the value was given, or the table in which it is missing.
    #[serde(rename = "at")]
    pub origin: Origin,
    /// The field; empty where a file as a whole can't be read.
    pub field: String,
    /// What is wrong, or the value that was given.
    #[serde(rename = "what")]
    pub problem: String,
    /// What would be right.
    #[serde(rename = "mend")] // wire name
    pub expected: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { origin, field, problem, expected } = self;
        match field.as_str() {
            "" => write!(f, "{origin}: {problem}; {expected}"),
            field => write!(f, "{origin}: {field}: {problem}; wanted: {expected}"),
        }
    }
}

/// Collects diagnostics: the operator gets all of them at once.
#[derive(Debug, Default)]
pub(crate) struct Diagnostics(Vec<Diagnostic>);

impl Diagnostics {
    pub(crate) fn report(
        &mut self,
        origin: &Origin,
        field: &str,
        problem: impl Into<String>,
        expected: impl Into<String>,
    ) {
        self.0.push(Diagnostic {
            origin: origin.clone(),
            field: field.to_owned(),
            problem: problem.into(),
            expected: expected.into(),
        });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn into_vec(self) -> Vec<Diagnostic> {
        self.0
    }
}
