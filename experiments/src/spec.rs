//! The specification of an experiment, as parsed from its TOML file, and its validation.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use ivyhatch_lab::{Policy, PolicyConfig, PolicyConfigError, WorldError};
use serde::Deserialize;

use crate::fingerprint::fingerprint;
use crate::measure::Measure;

/// The specification of an experiment. The fields are the keys of its TOML file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The experiment's name in the report.
    pub name: String,
    /// Number of seeds that each variant runs with in each world, 1 to 100000.
    pub seeds: u32,
    /// The first seed, by default 1; the other seeds are the numbers that follow.
    #[serde(default = "default_first_seed")]
    pub first_seed: u64,
    /// The name of the variant that the others are compared with; by default the first variant.
    pub baseline: Option<String>,
    /// The measures to report; by default `served`, `p99_ms`, `crossed` and `chokes`.
    #[serde(default)]
    pub measures: Vec<Measure>,
    /// The worlds to run; by default the built-in `evening`.
    #[serde(rename = "world", default)]
    pub worlds: Vec<WorldSpec>,
    /// The variants to compare; at least one.
    #[serde(rename = "variant")]
    pub variants: Vec<Variant>,
}

fn default_first_seed() -> u64 {
    1
}

/// A world, and the fields that the experiment changes in this world.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorldSpec {
    /// The world's name in the report.
    pub name: String,
    /// The world's file, relative to the experiment's folder.
    pub file: Option<PathBuf>,
    /// The name of a built-in world, used if there is no file; `evening` if neither is set.
    pub built_in: Option<String>,
    /// The changed fields by their paths: `"clients.rate" = 165.0`, `"servers[0].count" = 3`.
    #[serde(default)]
    pub set: BTreeMap<String, toml::Value>,
}

/// A policy, a configuration or a build that is compared with others.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// The variant's name in the report.
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
    /// The path of the `ivyhatch` program of another build, relative to the experiment's folder. The program runs its own balancer.
    /// `None` runs the variant in this build.
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
    /// The text is not a valid experiment; the parser's error has line and column.
    #[error("{0}")]
    Text(#[from] toml::de::Error),
    /// A field has an invalid value.
    #[error("{field}: {value}: {wanted}")]
    Field {
        /// The path of the field.
        field: String,
        /// The value, or the name of the entry that has the field.
        value: String,
        /// What is expected, or why the value is rejected.
        wanted: String,
    },
    /// A file that a field names cannot be read.
    #[error("{field}: {path}: {error}")]
    File {
        /// The path of the field that names the file.
        field: String,
        /// The path of the file.
        path: String,
        /// The error of the file system.
        error: std::io::Error,
    },
    /// A world is invalid.
    #[error("world {name:?}: {error}")]
    World {
        /// The world's name.
        name: String,
        /// Why the world is invalid.
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

    /// Checks that the names of worlds are unique, and those of variants.
    pub(crate) fn check_names(&self) -> Result<(), SpecError> {
        let worlds = self.worlds.iter().map(|world| ("world", &world.name));
        let variants = self.variants.iter().map(|variant| ("variant", &variant.name));
        let names: Vec<(&str, &String)> = worlds.chain(variants).collect();
        for (number, (kind, name)) in names.iter().enumerate() {
            if names[..number].contains(&(kind, name)) {
                let field = format!("{kind}.name");
                return Err(SpecError::field(field, *name, "duplicate name, expected a unique one"));
            }
        }
        Ok(())
    }

    pub(crate) fn baseline_position(&self) -> Result<usize, SpecError> {
        let Some(name) = &self.baseline else { return Ok(0) };
        let position = self.variants.iter().position(|variant| variant.name == *name);
        position.ok_or_else(|| SpecError::field("baseline", name, "expected the name of a variant"))
    }
}

impl Variant {
    /// Validates the policy and returns the path of the program; `None` if the variant runs in this build.
    pub(crate) fn program(&self, number: usize, folder: &Path) -> Result<Option<PathBuf>, SpecError> {
        if let Err(PolicyConfigError { field, wanted }) = self.policy_config().check() {
            return Err(SpecError::field(format!("variant[{number}].{field}"), &self.name, wanted));
        }
        let program = self.program.as_ref().map(|program| folder.join(program));
        if program.is_some() && self.policy_config() != PolicyConfig::default() {
            let wanted =
                "expected neither a policy nor settings beside a program, which runs its own balancer";
            return Err(SpecError::field(format!("variant[{number}].program"), &self.name, wanted));
        }
        Ok(program)
    }

    /// The part of a run's key that identifies the variant: its policy and its build.
    pub(crate) fn key(
        &self,
        number: usize,
        program: Option<&Path>,
        build: &str,
    ) -> Result<String, SpecError> {
        let policy = serde_json::to_string(&self.policy_config()).expect("a policy serialises to JSON");
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
