//! Scores of worlds: the share that the balancer serves, and the share that the best reference policy serves.

use std::sync::atomic::{AtomicUsize, Ordering};

use ivyhatch_lab::{Policy, PolicyConfig, World, simulate, simulate_with};

use super::{HuntConfig, ReferenceShare};

/// Number of seeds that each world runs with: a gap with a single seed may be chance.
const SEEDS: u64 = 3;

/// The balancer's performance in a world, and the best reference policy's.
#[derive(Clone, Copy)]
pub(super) struct Score {
    /// The mean share that the balancer serves, 0 to 1.
    pub(super) balancer_share: f64,
    /// The reference policy with the highest served share.
    pub(super) best: ReferenceShare,
    /// Number of rules that the balancer violated, summed over the seeds.
    pub(super) rules_broken: usize,
}

impl Score {
    /// The value that the hunt maximises: the best reference's share minus the balancer's, plus 1 if any rule was violated.
    pub(super) fn gap(&self) -> f64 {
        self.best.share - self.balancer_share + self.rules_broken.min(1) as f64
    }
}

fn score(world: &World, references: &[Policy]) -> Score {
    let mean_share = |policy: Policy| {
        let served = |seed| simulate_with(world, &PolicyConfig::new(policy), seed, &mut |_| {}).served;
        (1..=SEEDS).map(served).sum::<f64>() / SEEDS as f64
    };
    let reports: Vec<_> = (1..=SEEDS).map(|seed| simulate(world, seed, &mut |_| {})).collect();
    let balancer_share = reports.iter().map(|report| report.served).sum::<f64>() / SEEDS as f64;
    let best = references
        .iter()
        .map(|policy| ReferenceShare { policy: *policy, share: mean_share(*policy) })
        .max_by(|one, other| one.share.total_cmp(&other.share))
        .unwrap_or(ReferenceShare { policy: Policy::Balancer, share: balancer_share });
    let rules_broken = reports.iter().map(|report| report.rules_broken).sum();
    Score { balancer_share, best, rules_broken }
}

/// Scores worlds in parallel. The scores are in the order of `worlds`.
pub(super) fn scores(worlds: &[World], config: &HuntConfig) -> Vec<Score> {
    let next = AtomicUsize::new(0);
    let score_remaining = || {
        let mut scored = Vec::new();
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            let Some(world) = worlds.get(number) else { return scored };
            scored.push((number, score(world, &config.references)));
        }
    };
    let mut scored: Vec<(usize, Score)> = std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..config.threads.clamp(1, worlds.len().max(1))).map(|_| scope.spawn(score_remaining)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a simulation does not panic")).collect()
    });
    scored.sort_by_key(|(number, _)| *number);
    scored.into_iter().map(|(_, score)| score).collect()
}
