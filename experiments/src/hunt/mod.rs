//! The hunt: looks for worlds in which the balancer does worst against the reference policies, and shrinks what it finds.
//!
//! A stochastic beam search: the worst worlds so far are kept, and each round runs random changes of them. A violated rule counts for
//! more than any gap. The size of a round does not depend on the number of threads, so that equal seeds find equal worlds.

mod mutate;
mod score;
mod shrink;

use ivyhatch_lab::{Policy, World};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use mutate::mutated;
use score::{Score, scores};
use shrink::smaller_worlds;

/// Worlds that each round tries.
const WORLDS_PER_ROUND: usize = 16;
/// Of these, the ones that are changes of the worst worlds so far; the others are changes of the initial world.
const DESCENDANTS_PER_ROUND: usize = 3 * WORLDS_PER_ROUND / 4;
/// Worlds that are kept after each round.
const BEAM_WIDTH: usize = 6;
/// The part of the gap that a shrunk world must still have.
const MIN_SHRUNK_GAP: f64 = 0.8;

/// What a hunt looks for, and for how long.
#[derive(Clone, Debug)]
pub struct HuntConfig {
    /// The initial world.
    pub initial: World,
    /// The policies that the balancer is compared with; in each world the best of them counts.
    pub references: Vec<Policy>,
    /// Rounds; each tries 16 worlds with three seeds.
    pub rounds: u32,
    /// The seed of the search.
    pub seed: u64,
    /// Threads that run simulations.
    pub threads: usize,
    /// The smallest gap between shares served that counts as a finding.
    pub min_gap: f64,
}

/// The share that a reference policy serves.
#[derive(Clone, Copy, Debug)]
pub struct ReferenceShare {
    /// The policy.
    pub policy: Policy,
    /// Its mean share served, 0 to 1.
    pub share: f64,
}

/// A world in which the balancer does badly.
#[derive(Clone, Debug)]
pub struct Finding {
    /// The world, shrunk.
    pub world: World,
    /// The mean share that the balancer serves in it, 0 to 1.
    pub balancer_share: f64,
    /// The best reference policy.
    pub best: ReferenceShare,
    /// Rules that the balancer has violated.
    pub rules_broken: usize,
    /// Worlds that were run.
    pub worlds_run: usize,
}

/// A world that was run.
struct Candidate {
    gap: f64,
    score: Score,
    world: World,
}

/// Hunts. `progress` is called after each round with the number of rounds that are complete, the number of all rounds, and the largest
/// gap so far; shrinking follows them. Returns none where no gap reaches [`HuntConfig::min_gap`].
pub fn hunt(config: &HuntConfig, progress: &mut dyn FnMut(u32, u32, f64)) -> Option<Finding> {
    let mut random = ChaCha8Rng::seed_from_u64(config.seed);
    let mut beam: Vec<Candidate> = Vec::new();
    let mut worlds_run = 0;
    for round in 0..config.rounds {
        let worlds = next_worlds(&mut random, &beam, &config.initial);
        let scores = scores(&worlds, config);
        worlds_run += worlds.len();
        let candidates = scores.into_iter().zip(worlds);
        beam.extend(candidates.map(|(score, world)| Candidate { gap: score.gap(), score, world }));
        // The sort is stable: of equal gaps the older world stays.
        beam.sort_by(|one, other| other.gap.total_cmp(&one.gap));
        beam.truncate(BEAM_WIDTH);
        progress(round + 1, config.rounds, beam.first().map_or(0.0, |worst| worst.gap));
    }
    let worst = beam.into_iter().next().filter(|worst| worst.gap >= config.min_gap)?;
    Some(shrunk(worst, config, worlds_run))
}

/// The worlds of the next round.
fn next_worlds(random: &mut ChaCha8Rng, beam: &[Candidate], initial: &World) -> Vec<World> {
    let next_world = |number: usize| {
        let parent = beam.get(number % BEAM_WIDTH).filter(|_| number < DESCENDANTS_PER_ROUND);
        mutated(random, parent.map_or(initial, |candidate| &candidate.world))
    };
    (0..WORLDS_PER_ROUND).map(next_world).filter(|world| world.check().is_ok()).collect()
}

/// Shrinks a world step by step while it keeps most of its gap.
fn shrunk(worst: Candidate, config: &HuntConfig, worlds_run: usize) -> Finding {
    let min_gap = MIN_SHRUNK_GAP * worst.gap;
    let Candidate { mut score, mut world, .. } = worst;
    let mut worlds_run = worlds_run;
    loop {
        let smaller = smaller_worlds(&world);
        let scores = scores(&smaller, config);
        worlds_run += smaller.len();
        let kept = scores.into_iter().zip(smaller).find(|(score, _)| score.gap() >= min_gap);
        let Some(kept) = kept else { break };
        (score, world) = kept;
    }
    world.name = format!("found with seed {}", config.seed);
    let Score { balancer_share, best, rules_broken } = score;
    Finding { world, balancer_share, best, rules_broken, worlds_run }
}
