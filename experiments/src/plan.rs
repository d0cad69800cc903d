//! The plan of an experiment: its worlds, variants and seeds, and the key under which each run's result is stored.

use std::path::PathBuf;

use ivyhatch_lab::World;

use crate::spec::Experiment;

/// Hexadecimal digits of a fingerprint.
const FINGERPRINT_DIGITS: usize = 16;

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

/// A short fingerprint of some bytes, a prefix of their BLAKE3 hash.
pub fn fingerprint(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex()[..FINGERPRINT_DIGITS].to_owned()
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
