//! The hunt: a search for worlds in which the balancer performs worst against the reference policies. The world found is shrunk.
//!
//! The hunt is a stochastic beam search: the worst worlds so far are kept, and each round runs random mutations of these worlds. A
//! violated rule weighs more than any gap. The size of a round does not depend on the number of threads, so that equal seeds find
//! equal worlds.

mod mutate;
mod score;
mod shrink;

use ivyhatch_lab::{Policy, World};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use mutate::mutated;
use score::{Score, scores};
use shrink::smaller_worlds;

/// Number of worlds that each round generates.
const WORLDS_PER_ROUND: usize = 16;
/// Number of worlds of a round that are mutations of the worst worlds so far; the others are mutations of the initial world.
const DESCENDANTS_PER_ROUND: usize = 3 * WORLDS_PER_ROUND / 4;
/// Number of worlds that are kept after each round.
const BEAM_WIDTH: usize = 6;
/// Fraction of the original gap that a shrunk world must retain.
const MIN_SHRUNK_GAP: f64 = 0.8;

/// The parameters of a hunt.
#[derive(Clone, Debug)]
pub struct HuntConfig {
    /// The world from which the search starts.
    pub initial: World,
    /// The policies that the balancer is compared with; in each world the best of these policies counts.
    pub references: Vec<Policy>,
    /// Number of rounds; each runs up to 16 worlds with three seeds each.
    pub rounds: u32,
    /// The seed of the search's random choices; simulations have seeds of their own.
    pub seed: u64,
    /// Number of threads that run simulations; 0 counts as 1.
    pub threads: usize,
    /// The smallest gap between served shares that counts as a finding; a violated rule adds 1 to the gap.
    pub min_gap: f64,
}

/// A reference policy and the share that it serves.
#[derive(Clone, Copy, Debug)]
pub struct ReferenceShare {
    /// The policy.
    pub policy: Policy,
    /// The policy's mean served share over the seeds, 0 to 1.
    pub share: f64,
}

/// A world in which the balancer performs worse than a reference policy or violates rules.
#[derive(Clone, Debug)]
pub struct Finding {
    /// The world after shrinking.
    pub world: World,
    /// The mean share that the balancer serves in this world, 0 to 1.
    pub balancer_share: f64,
    /// The best reference policy in this world.
    pub best: ReferenceShare,
    /// Number of rules that the balancer violated, summed over the seeds.
    pub rules_broken: usize,
    /// Number of worlds that the search and the shrinking ran.
    pub worlds_run: usize,
}

/// A world that was run, with its score.
struct Candidate {
    gap: f64,
    score: Score,
    world: World,
}

/// Searches for the world with the largest gap and shrinks it. `progress` is called after each round with the number of complete
/// rounds, the number of all rounds, and the largest gap so far; shrinking follows the last round without further calls. Returns
/// `None` if no gap reaches [`HuntConfig::min_gap`].
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
        // The sort is stable: among equal gaps the older world is kept.
        beam.sort_by(|one, other| other.gap.total_cmp(&one.gap));
        beam.truncate(BEAM_WIDTH);
        progress(round + 1, config.rounds, beam.first().map_or(0.0, |worst| worst.gap));
    }
    let worst = beam.into_iter().next().filter(|worst| worst.gap >= config.min_gap)?;
    Some(shrunk(worst, config, worlds_run))
}

/// Generates the worlds of the next round; invalid mutations are dropped.
fn next_worlds(random: &mut ChaCha8Rng, beam: &[Candidate], initial: &World) -> Vec<World> {
    let next_world = |number: usize| {
        let parent = beam.get(number % BEAM_WIDTH).filter(|_| number < DESCENDANTS_PER_ROUND);
        mutated(random, parent.map_or(initial, |candidate| &candidate.world))
    };
    (0..WORLDS_PER_ROUND).map(next_world).filter(|world| world.check().is_ok()).collect()
}

/// Applies reductions to a world, one at a time, as long as one retains [`MIN_SHRUNK_GAP`] of the original gap.
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
