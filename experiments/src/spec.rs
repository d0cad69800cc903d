//! The specification of an experiment, as its TOML file words it, and its validation.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use ivyhatch_lab::{Policy, PolicyConfig, PolicyConfigError, WorldError};
use serde::Deserialize;

use crate::fingerprint::fingerprint;
use crate::measure::Measure;

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name in the report.
    pub name: String,
    /// How many seeds each variant runs with in each world.
    pub seeds: u32,
    /// The first seed; the others follow it.
    #[serde(default = "default_first_seed")]
    pub first_seed: u64,
    /// The name of the variant that others are compared with; by default the first.
    pub baseline: Option<String>,
    /// The measures; by default `served`, `p99_ms`, `crossed` and `chokes`.
    #[serde(default)]
    pub measures: Vec<Measure>,
    /// The worlds; by default the built-in `evening`.
    #[serde(rename = "world", default)]
    pub worlds: Vec<WorldSpec>,
    /// The variants that are compared.
    #[serde(rename = "variant")]
    pub variants: Vec<Variant>,
}

fn default_first_seed() -> u64 {
    1
}

/// A world and the fields that are changed in it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorldSpec {
    /// Its name in the report.
    pub name: String,
    /// Its file, relative to the experiment's folder.
    pub file: Option<PathBuf>,
    /// The name of a built-in world in place of a file; `evening` without either.
    pub built_in: Option<String>,
    /// The changed fields by their path: `"clients.rate" = 165.0`, `"servers[0].count" = 3`.
    #[serde(default)]
    pub set: BTreeMap<String, toml::Value>,
}

/// A policy, a configuration or a build that is compared with others.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Its name in the report.
    pub name: String,
    /// The policy; by default the balancer.
    #[serde(default)]
    pub policy: Policy,
    /// See [`PolicyConfig::threshold`].
    pub threshold: Option<f64>,
    /// See [`PolicyConfig::max_attempts`].
    #[serde(rename = "attempts")]
    pub max_attempts: Option<u32>,
    /// See [`PolicyConfig::probes`].
    pub probes: Option<bool>,
    /// See [`PolicyConfig::hedging`].
    #[serde(rename = "second_copies")]
    pub hedging: Option<bool>,
    /// The `ivyhatch` program of another build, which runs its own balancer: its path, relative to the experiment's folder.
    pub program: Option<PathBuf>,
}

impl Variant {
    /// The policy and its settings.
    pub(crate) fn policy_config(&self) -> PolicyConfig {
        let &Self { policy, threshold, max_attempts, probes, hedging, .. } = self;
        PolicyConfig { policy, threshold, max_attempts, probes, hedging }
    }
}

/// Why an experiment cannot be run.
#[derive(Debug, thiserror::Error)]
pub enum SpecError {
    /// The text is not an experiment; the source has line and column.
    #[error("{0}")]
    Text(#[from] toml::de::Error),
    /// A field has a wrong value.
    #[error("{field}: {value}: {wanted}")]
    Field {
        /// The field.
        field: String,
        /// Its value.
        value: String,
        /// What would be right.
        wanted: String,
    },
    /// A file that a field names cannot be read.
    #[error("{field}: {path}: {error}")]
    File {
        /// The field.
        field: String,
        /// The file.
        path: String,
        /// The error of the file system.
        error: std::io::Error,
    },
    /// A world is invalid.
    #[error("world {name:?}: {error}")]
    World {
        /// The world's name.
        name: String,
        /// What is wrong with it.
        error: WorldError,
    },
}

impl SpecError {
    pub(crate) fn field(field: impl Into<String>, value: impl Into<String>, wanted: &str) -> Self {
        Self::Field { field: field.into(), value: value.into(), wanted: wanted.to_owned() }
    }
}

impl Experiment {
    /// Reads an experiment.
    ///
    /// # Errors
    /// [`SpecError::Text`] where the text is not TOML, or a field is unknown, missing or of the wrong type.
    pub fn read(text: &str) -> Result<Self, SpecError> {
        Ok(toml::from_str(text)?)
    }

    /// Names of worlds and of variants are unique.
    pub(crate) fn check_names(&self) -> Result<(), SpecError> {
        let worlds = self.worlds.iter().map(|world| ("world", &world.name));
        let variants = self.variants.iter().map(|variant| ("variant", &variant.name));
        let names: Vec<(&str, &String)> = worlds.chain(variants).collect();
        for (number, (kind, name)) in names.iter().enumerate() {
            if names[..number].contains(&(kind, name)) {
                let field = format!("{kind}.name");
                return Err(SpecError::field(field, *name, "another name: two have this one"));
            }
        }
        Ok(())
    }

    pub(crate) fn baseline_position(&self) -> Result<usize, SpecError> {
        let Some(name) = &self.baseline else { return Ok(0) };
        let position = self.variants.iter().position(|variant| variant.name == *name);
        position.ok_or_else(|| SpecError::field("baseline", name, "the name of a variant"))
    }
}

impl Variant {
    /// Validates the policy and returns the path of the program, if there is one.
    pub(crate) fn program(&self, number: usize, folder: &Path) -> Result<Option<PathBuf>, SpecError> {
        if let Err(PolicyConfigError { field, wanted }) = self.policy_config().check() {
            return Err(SpecError::field(format!("variant[{number}].{field}"), &self.name, wanted));
        }
        let program = self.program.as_ref().map(|program| folder.join(program));
        if program.is_some() && self.policy_config() != PolicyConfig::default() {
            let wanted = "with a program, neither a policy nor settings: it plays its own module";
            return Err(SpecError::field(format!("variant[{number}].program"), &self.name, wanted));
        }
        Ok(program)
    }

    /// What stands for the variant in the keys of its runs: its policy and its build.
    pub(crate) fn key(
        &self,
        number: usize,
        program: Option<&Path>,
        build: &str,
    ) -> Result<String, SpecError> {
        let policy = serde_json::to_string(&self.policy_config()).expect("a policy is plain data");
        let build = match program {
            None => build.to_owned(),
            Some(path) => fingerprint(&std::fs::read(path).map_err(|error| SpecError::File {
                field: format!("variant[{number}].program"),
                path: path.display().to_string(),
                error,
            })?),
        };
        Ok(format!("{policy} {build}"))
    }
}
