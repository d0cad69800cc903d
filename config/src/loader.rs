//! Loading of a configuration: reads the files, applies overrides from the environment, validates, and converts to the types of the
//! configuration.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use crate::config::Config;
use crate::diagnostic::{Diagnostic, Diagnostics};
use crate::effective_settings::{Setting, effective_settings};
use crate::environment::{ENVIRONMENT_PREFIX, apply_override};
use crate::files::FileReader;
use crate::node::Node;
use crate::origin::Origin;
use crate::validate::validate;

/// A valid configuration.
#[derive(Clone, Debug)]
pub struct LoadedConfig {
    /// The configuration.
    pub config: Config,
    /// The effective settings with their origins, in the order of the schema.
    pub settings: Vec<Setting>,
    /// The files that were read, in order; the first is the one passed to [`load`].
    pub files: Vec<PathBuf>,
}

/// Loads a file, the files that it includes, and the overrides among the variables of `environment` (see [`ENVIRONMENT_PREFIX`]). The
/// environment takes precedence over files, a file over the files that it includes, and an earlier inclusion over a later one. Lists of
/// tables (`[[instance]]`) are concatenated.
///
/// # Errors
/// All errors of the configuration, sorted by file, line and column.
pub fn load(
    file: &Path,
    environment: impl Iterator<Item = (String, String)>,
) -> Result<LoadedConfig, Vec<Diagnostic>> {
    let mut reader = FileReader::default();
    let root = reader.read(file, None);
    let FileReader { mut diagnostics, files, .. } = reader;
    let Some(mut root) = root else { return Err(diagnostics.into_vec()) };
    let overrides: BTreeMap<String, String> =
        environment.filter(|(name, _)| name.starts_with(ENVIRONMENT_PREFIX)).collect();
    for (variable, value) in overrides {
        apply_override(&mut root, &variable, &value, &mut diagnostics);
    }
    validate(&mut root, &mut diagnostics);
    if !diagnostics.is_empty() {
        return Err(in_order_of_place(diagnostics, &files));
    }
    let config = convert(&root)?;
    Ok(LoadedConfig { config, settings: effective_settings(&root), files })
}

/// Sorts diagnostics by file, line and column. Those without a place in a file come last.
fn in_order_of_place(diagnostics: Diagnostics, files: &[PathBuf]) -> Vec<Diagnostic> {
    let mut diagnostics = diagnostics.into_vec();
    diagnostics.sort_by_key(|diagnostic| match &diagnostic.origin {
        Origin::File { file, line, column } => {
            let index = files.iter().position(|known| known == file);
            (index.unwrap_or(usize::MAX), *line, *column)
        }
        _ => (usize::MAX, 0, 0),
    });
    diagnostics
}

/// Converts a valid tree to the types of the configuration. An error here is a bug in this crate: the schema accepts a value that the
/// types do not.
fn convert(root: &Node) -> Result<Config, Vec<Diagnostic>> {
    serde_json::from_value(root.to_json()).map_err(|error| {
        let mut diagnostics = Diagnostics::default();
        diagnostics.report(&root.origin, "", error.to_string(), "please report this bug");
        diagnostics.into_vec()
    })
}
