//! Diagnostics: errors of a configuration, each with its origin and the expected value.

use std::fmt;

use serde::Serialize;

use crate::origin::Origin;

/// An error in the configuration. The names in the JSON are those of the first release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Diagnostic {
    /// Where the invalid value was given, or the table in which a value is missing.
    #[serde(rename = "at")]
    pub origin: Origin,
    /// Path of the field; empty if a file as a whole can't be read.
    pub field: String,
    /// The problem, or the invalid value itself.
    #[serde(rename = "what")]
    pub problem: String,
    /// What was expected, or how to correct the error.
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

/// Collects diagnostics, so that all errors can be reported at once.
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
