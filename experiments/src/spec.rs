//! What an experiment is made of.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use ivyhatch_lab::{BUILT_IN_WORLDS, Policy, PolicyConfig, Report, World, WorldError};
use serde::Deserialize;

/// An experiment, as its file words it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name, for the report.
    pub name: String,
    /// How many seeds each world is played with under each variant.
    pub seeds: u32,
    /// The first of them.
    #[serde(default = "one")]
    pub first_seed: u64,
    /// The variant that others are compared with; the first without.
    pub baseline: Option<String>,
    /// What is measured; `served` comes first without.
    #[serde(default)]
    pub measures: Vec<Measure>,
    /// Where it is played; the built-in evening without.
    #[serde(rename = "world", default)]
    pub worlds: Vec<Place>,
    /// What is compared.
    #[serde(rename = "variant")]
    pub variants: Vec<Variant>,
}

fn one() -> u64 {
    1
}

/// A world, and what is changed in it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Its name in the report.
    pub name: String,
    /// Its file, from the experiment's folder.
    pub file: Option<PathBuf>,
    /// Or which of the built-in worlds; `evening` without either.
    pub built_in: Option<String>,
    /// Fields that differ from the file's, by their path: `"clients.rate" = 165.0`, `"servers[0].count" = 3`.
    #[serde(default)]
    pub set: BTreeMap<String, toml::Value>,
}

/// What is compared with the others.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Its name in the report.
    pub name: String,
    /// Who decides; the module without.
    #[serde(default)]
    pub policy: Policy,
    /// See [`PolicyConfig::threshold`].
    pub threshold: Option<f64>,
    /// See [`PolicyConfig::max_attempts`].
    pub attempts: Option<u32>,
    /// See [`PolicyConfig::probes`].
    pub probes: Option<bool>,
    /// See [`PolicyConfig::hedging`].
    pub second_copies: Option<bool>,
    /// Another build's `ivyhatch`, which plays its own module: its path, from the experiment's folder.
    pub program: Option<PathBuf>,
}

impl Variant {
    pub(crate) fn decider(&self) -> PolicyConfig {
        let &Self { policy, threshold, attempts, probes, second_copies, .. } = self;
        PolicyConfig { policy, threshold, max_attempts: attempts, probes, hedging: second_copies }
    }
}

/// Something that is measured of a play.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// Worth answered in time over worth asked for, 0 to 1.
    Served,
    /// The same of the worst class, by count.
    WorstClass,
    /// The same of the worst zone, by count.
    WorstZone,
    /// Requests served a second, in time or late.
    Throughput,
    /// Milliseconds of the answers that served, over all classes.
    MeanMs,
    /// See [`Measure::MeanMs`]: the median.
    P50Ms,
    /// See [`Measure::MeanMs`]: the ninety-ninth hundredth.
    P99Ms,
    /// Attempts for each request.
    Attempts,
    /// The part of the attempts that left their node's zone, 0 to 1.
    Crossed,
    /// Probes for each request.
    Probes,
    /// How often a server choked.
    Chokes,
    /// The part of the requests that were refused for good, 0 to 1.
    Refused,
    /// Broken rules.
    RulesBroken,
    /// Requests that one node had open at most.
    MostOpen,
    /// Connections to servers that one node had open at most.
    MostConnections,
}

impl Measure {
    /// Its name, as in the file.
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::WorstClass => "worst_class",
            Self::WorstZone => "worst_zone",
            Self::Throughput => "throughput",
            Self::MeanMs => "mean_ms",
            Self::P50Ms => "p50_ms",
            Self::P99Ms => "p99_ms",
            Self::Attempts => "attempts",
            Self::Crossed => "crossed",
            Self::Probes => "probes",
            Self::Chokes => "chokes",
            Self::Refused => "refused",
            Self::RulesBroken => "rules_broken",
            Self::MostOpen => "most_open",
            Self::MostConnections => "most_connections",
        }
    }

    /// Whether more of it is better; none where neither is.
    pub fn more_is_better(self) -> Option<bool> {
        match self {
            Self::Served | Self::WorstClass | Self::WorstZone | Self::Throughput => Some(true),
            Self::Crossed | Self::MostOpen | Self::MostConnections => None,
            _ => Some(false),
        }
    }

    /// Takes the measure of a play.
    pub fn of(self, report: &Report) -> f64 {
        let asked: u64 = report.classes.iter().map(|class| class.asked).sum();
        let each = |count: u64| count as f64 / asked.max(1) as f64;
        let worst = |parts: &[ivyhatch_lab::ClassReport]| {
            let counted = parts.iter().filter(|part| part.asked > part.left);
            let share =
                |part: &ivyhatch_lab::ClassReport| part.in_time as f64 / (part.asked - part.left) as f64;
            counted.map(share).fold(1.0, f64::min)
        };
        let served: u64 = report.classes.iter().map(|class| class.in_time + class.late).sum();
        match self {
            Self::Served => report.served,
            Self::WorstClass => worst(&report.classes),
            Self::WorstZone => worst(&report.zones),
            Self::Throughput => served as f64 / report.seconds,
            Self::MeanMs => {
                let sum: f64 = report
                    .classes
                    .iter()
                    .map(|class| class.mean_ms * (class.in_time + class.late) as f64)
                    .sum();
                sum / served.max(1) as f64
            }
            Self::P50Ms => quantile(report, 0.5),
            Self::P99Ms => quantile(report, 0.99),
            Self::Attempts => each(report.attempts),
            Self::Crossed => report.crossed as f64 / report.attempts.max(1) as f64,
            Self::Probes => each(report.probes),
            Self::Chokes => f64::from(report.chokes),
            Self::Refused => each(report.classes.iter().map(|class| class.refused).sum()),
            Self::RulesBroken => report.rules_broken as f64,
            Self::MostOpen => f64::from(report.most_open),
            Self::MostConnections => f64::from(report.most_connections),
        }
    }
}

fn quantile(report: &Report, quantile: f64) -> f64 {
    let times = crate::summary::times(std::iter::once(report));
    times.map_or(0.0, |times| times.value_at_quantile(quantile) as f64 / 1000.0)
}

/// An experiment that can't be played.
#[derive(Debug, thiserror::Error)]
pub enum SpecError {
    /// Its text is none; says where.
    #[error("{0}")]
    Text(#[from] toml::de::Error),
    /// A field is wrong.
    #[error("{field}: {value}: {wanted}")]
    Field {
        /// Which.
        field: String,
        /// What it is.
        value: String,
        /// What would be right.
        wanted: String,
    },
    /// A file that it names can't be read.
    #[error("{field}: {path}: {error}")]
    File {
        /// Which field names it.
        field: String,
        /// The file.
        path: String,
        /// What is wrong with it.
        error: std::io::Error,
    },
    /// A world that it names can't be played.
    #[error("world {name:?}: {error}")]
    World {
        /// The world's name.
        name: String,
        /// What is wrong with it.
        error: WorldError,
    },
}

/// One play of an experiment.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Positions in the plan's lists.
    pub world: usize,
    /// See [`Run::world`].
    pub variant: usize,
    /// The seed.
    pub seed: u64,
}

/// An experiment with all that it names at hand.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The experiment.
    pub experiment: Experiment,
    /// Its worlds, changed as it says, in its order; their names are the experiment's.
    pub worlds: Vec<World>,
    /// The programs of its variants, where they have one.
    pub(crate) programs: Vec<Option<PathBuf>>,
    /// What stands for each world and each variant in a run's key.
    world_marks: Vec<String>,
    variant_marks: Vec<String>,
    /// Position of the variant that others are compared with.
    pub baseline: usize,
}

/// A short mark of some bytes: the same for the same, and for no others.
pub fn mark(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex()[..16].to_owned()
}

impl Experiment {
    /// Reads an experiment.
    ///
    /// # Errors
    /// Where the text is not TOML, or a field is unknown, missing or of the wrong type, with line and column.
    pub fn read(text: &str) -> Result<Self, SpecError> {
        Ok(toml::from_str(text)?)
    }

    /// Reads all that it names, from `folder`, and checks it. `build` stands for the running build: results of
    /// another are played again.
    ///
    /// # Errors
    /// The first field, file or world that is wrong.
    pub fn plan(mut self, folder: &Path, build: &str) -> Result<Plan, SpecError> {
        let fail = |field: String, value: String, wanted: &str| {
            Err(SpecError::Field { field, value, wanted: wanted.to_owned() })
        };
        if self.seeds == 0 || self.seeds > 100_000 {
            return fail("seeds".into(), self.seeds.to_string(), "1 to 100000");
        }
        if self.variants.is_empty() {
            return fail("variant".into(), "none".into(), "at least one");
        }
        if self.worlds.is_empty() {
            self.worlds.push(Place { name: "evening".into(), ..Place::default() });
        }
        if self.measures.is_empty() {
            self.measures = vec![Measure::Served, Measure::P99Ms, Measure::Crossed, Measure::Chokes];
        }
        let places = self.worlds.iter().map(|place| ("world", &place.name));
        let names: Vec<_> =
            places.chain(self.variants.iter().map(|variant| ("variant", &variant.name))).collect();
        for (number, name) in names.iter().enumerate() {
            if names[..number].contains(name) {
                return fail(format!("{}.name", name.0), name.1.clone(), "another name: two have this one");
            }
        }
        let baseline = match &self.baseline {
            None => 0,
            Some(name) => match self.variants.iter().position(|variant| variant.name == *name) {
                Some(at) => at,
                None => return fail("baseline".into(), name.clone(), "the name of a variant"),
            },
        };
        let worlds: Vec<World> =
            self.worlds.iter().map(|place| place.world(folder)).collect::<Result<_, _>>()?;
        let mut programs = Vec::new();
        let mut variant_marks = Vec::new();
        for (number, variant) in self.variants.iter().enumerate() {
            if let Err(ivyhatch_lab::PolicyConfigError { field, wanted }) = variant.decider().check() {
                return fail(format!("variant[{number}].{field}"), variant.name.clone(), wanted);
            }
            let decider = serde_json::to_string(&variant.decider()).expect("plain data");
            let program = variant.program.as_ref().map(|program| folder.join(program));
            if program.is_some() && variant.decider() != PolicyConfig::default() {
                let wanted = "with a program, neither a policy nor settings: it plays its own module";
                return fail(format!("variant[{number}].program"), variant.name.clone(), wanted);
            }
            let build = match &program {
                None => build.to_owned(),
                Some(path) => mark(&std::fs::read(path).map_err(|error| SpecError::File {
                    field: format!("variant[{number}].program"),
                    path: path.display().to_string(),
                    error,
                })?),
            };
            variant_marks.push(format!("{decider} {build}"));
            programs.push(program);
        }
        let world_marks = worlds.iter().map(World::write).collect();
        Ok(Plan { experiment: self, worlds, programs, world_marks, variant_marks, baseline })
    }
}

impl Place {
    fn world(&self, folder: &Path) -> Result<World, SpecError> {
        let built_in = self.built_in.as_deref().unwrap_or("evening");
        let text = match &self.file {
            None => match BUILT_IN_WORLDS.iter().find(|(name, _)| *name == built_in) {
                Some((_, text)) => (*text).to_owned(),
                None => {
                    let names: Vec<&str> = BUILT_IN_WORLDS.iter().map(|(name, _)| *name).collect();
                    return Err(SpecError::Field {
                        field: format!("world {:?}: built_in", self.name),
                        value: built_in.to_owned(),
                        wanted: format!("one of {}", names.join(", ")),
                    });
                }
            },
            Some(file) => std::fs::read_to_string(folder.join(file)).map_err(|error| SpecError::File {
                field: format!("world {:?}: file", self.name),
                path: folder.join(file).display().to_string(),
                error,
            })?,
        };
        let named = |error| SpecError::World { name: self.name.clone(), error };
        let mut world = if self.set.is_empty() {
            World::read(&text).map_err(named)?
        } else {
            let mut table = toml::from_str::<toml::Value>(&text).map_err(|error| named(error.into()))?;
            for (path, value) in &self.set {
                set(&mut table, path, value).ok_or_else(|| SpecError::Field {
                    field: format!("world {:?}: set", self.name),
                    value: path.clone(),
                    wanted: "a path into the world such as clients.rate or servers[0].count".into(),
                })?;
            }
            let world: World = table.try_into().map_err(|error: toml::de::Error| named(error.into()))?;
            world.check().map_err(named)?;
            world
        };
        world.name.clone_from(&self.name);
        Ok(world)
    }
}

/// Sets a field by its path. The last step may be new, so that what a file leaves out can be set.
fn set(root: &mut toml::Value, path: &str, value: &toml::Value) -> Option<()> {
    let mut at = root;
    let steps: Vec<&str> = path.split('.').collect();
    for (number, step) in steps.iter().enumerate() {
        let last = number + 1 == steps.len();
        let (key, entry) = match step.split_once('[') {
            Some((key, entry)) => (key, Some(entry.strip_suffix(']')?.parse::<usize>().ok()?)),
            None => (*step, None),
        };
        let table = at.as_table_mut()?;
        match entry {
            None if last => {
                table.insert(key.to_owned(), value.clone());
                return Some(());
            }
            None => at = table.get_mut(key)?,
            Some(entry) => {
                at = table.get_mut(key)?.as_array_mut()?.get_mut(entry)?;
                if last {
                    *at = value.clone();
                    return Some(());
                }
            }
        }
    }
    None
}

impl Plan {
    /// All plays, world by world, variant by variant, seed by seed.
    pub fn runs(&self) -> Vec<Run> {
        let seeds = self.experiment.first_seed..self.experiment.first_seed + u64::from(self.experiment.seeds);
        let mut runs = Vec::new();
        for world in 0..self.worlds.len() {
            for variant in 0..self.experiment.variants.len() {
                runs.extend(seeds.clone().map(|seed| Run { world, variant, seed }));
            }
        }
        runs
    }

    /// What a run's result is known by: its world, its variant, the build that plays it, and its seed.
    pub fn key(&self, run: Run) -> String {
        let (world, variant) = (&self.world_marks[run.world], &self.variant_marks[run.variant]);
        mark(format!("{world}\n{variant}\n{}", run.seed).as_bytes())
    }
}
