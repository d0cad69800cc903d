//! The plan of an experiment: its resolved worlds, variants and seeds, and the key under which each run's result is stored.

use std::path::{Path, PathBuf};

use ivyhatch_lab::World;

use crate::fingerprint::fingerprint;
use crate::measure::Measure;
use crate::spec::{Experiment, SpecError, WorldSpec};

/// The measures of an experiment whose file lists none.
const DEFAULT_MEASURES: [Measure; 4] = [Measure::Served, Measure::P99Ms, Measure::Crossed, Measure::Chokes];
/// Limit of the number of seeds of an experiment.
const MAX_SEEDS: u32 = 100_000;

/// One run of an experiment.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// The world's position in [`Plan::worlds`].
    pub world: usize,
    /// The variant's position in [`Experiment::variants`].
    pub variant: usize,
    /// The seed of the simulation.
    pub seed: u64,
}

/// A validated experiment with its worlds and programs resolved.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The specification, with defaults filled in.
    pub experiment: Experiment,
    /// The worlds with the specification's changed fields applied, in its order and under its names.
    pub worlds: Vec<World>,
    /// The position in [`Experiment::variants`] of the variant that the others are compared with.
    pub baseline: usize,
    /// The program of each variant; `None` for variants that run in this build.
    pub(crate) programs: Vec<Option<PathBuf>>,
    /// The part of a run's key that identifies each world, and the part that identifies each variant.
    pub(crate) world_keys: Vec<String>,
    pub(crate) variant_keys: Vec<String>,
}

impl Experiment {
    /// Validates the experiment and reads the files that it names, relative to `folder`. `build` identifies the running build and
    /// is part of the keys, so that results of another build are not reused.
    ///
    /// # Errors
    /// [`SpecError`] for the first invalid field, unreadable file or invalid world.
    pub fn plan(mut self, folder: &Path, build: &str) -> Result<Plan, SpecError> {
        if self.seeds == 0 || self.seeds > MAX_SEEDS {
            return Err(SpecError::field("seeds", self.seeds.to_string(), "expected 1 to 100000"));
        }
        if self.variants.is_empty() {
            return Err(SpecError::field("variant", "none", "expected at least one"));
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
