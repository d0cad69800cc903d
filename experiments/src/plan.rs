//! The plan of an experiment: its worlds, variants and seeds, and the key under which each run's result is stored.

use std::path::{Path, PathBuf};

use ivyhatch_lab::World;

use crate::fingerprint::fingerprint;
use crate::measure::Measure;
use crate::spec::{Experiment, SpecError, WorldSpec};

/// The measures of an experiment that names none.
const DEFAULT_MEASURES: [Measure; 4] = [Measure::Served, Measure::P99Ms, Measure::Crossed, Measure::Chokes];
/// The most seeds of an experiment.
const MAX_SEEDS: u32 = 100_000;

/// One run of an experiment.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// The world's position in [`Plan::worlds`].
    pub world: usize,
    /// The variant's position in [`Experiment::variants`].
    pub variant: usize,
    /// The seed.
    pub seed: u64,
}

/// A validated experiment with everything that it refers to.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The experiment.
    pub experiment: Experiment,
    /// Its worlds with their changed fields, in its order and under its names.
    pub worlds: Vec<World>,
    /// The position of the variant that others are compared with.
    pub baseline: usize,
    /// The program of each variant that has one.
    pub(crate) programs: Vec<Option<PathBuf>>,
    /// What stands for each world and each variant in a run's key.
    pub(crate) world_keys: Vec<String>,
    pub(crate) variant_keys: Vec<String>,
}

impl Experiment {
    /// Validates the experiment and reads the files that it names, relative to `folder`. `build` stands for the running build:
    /// results of another build do not count.
    ///
    /// # Errors
    /// The first field, file or world that is wrong.
    pub fn plan(mut self, folder: &Path, build: &str) -> Result<Plan, SpecError> {
        if self.seeds == 0 || self.seeds > MAX_SEEDS {
            return Err(SpecError::field("seeds", self.seeds.to_string(), "1 to 100000"));
        }
        if self.variants.is_empty() {
            return Err(SpecError::field("variant", "none", "at least one"));
        }
        if self.worlds.is_empty() {
            self.worlds.push(WorldSpec { name: "evening".into(), ..WorldSpec::default() });
        }
        if self.measures.is_empty() {
            self.measures = DEFAULT_MEASURES.to_vec();
        }
        self.check_names()?;
        let baseline = self.baseline_position()?;
        let worlds: Vec<World> =
            self.worlds.iter().map(|world| world.resolve(folder)).collect::<Result<_, _>>()?;
        let mut programs = Vec::new();
        let mut variant_keys = Vec::new();
        for (number, variant) in self.variants.iter().enumerate() {
            let program = variant.program(number, folder)?;
            variant_keys.push(variant.key(number, program.as_deref(), build)?);
            programs.push(program);
        }
        let world_keys = worlds.iter().map(World::write).collect();
        Ok(Plan { experiment: self, worlds, baseline, programs, world_keys, variant_keys })
    }
}

impl Plan {
    /// All runs, world by world, variant by variant, seed by seed.
    pub fn runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for world in 0..self.worlds.len() {
            for variant in 0..self.experiment.variants.len() {
                runs.extend(self.runs_of(world, variant));
            }
        }
        runs
    }

    /// The runs of one variant in one world, seed by seed.
    pub(crate) fn runs_of(&self, world: usize, variant: usize) -> impl Iterator<Item = Run> + use<> {
        let first = self.experiment.first_seed;
        let seeds = first..first + u64::from(self.experiment.seeds);
        seeds.map(move |seed| Run { world, variant, seed })
    }

    /// The key of a run's result: a fingerprint of its world, its variant, the build that runs it, and its seed.
    pub fn key(&self, run: Run) -> String {
        let (world, variant) = (&self.world_keys[run.world], &self.variant_keys[run.variant]);
        fingerprint(format!("{world}\n{variant}\n{}", run.seed).as_bytes())
    }
}
