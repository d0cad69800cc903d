//! Random plans with applications' callers in addition to the operators: faults as in other plans, and few operations of operators.

use super::Plan;
use crate::random::Random;

/// The maximum number of operators' operations in a plan with callers.
const MAX_OPERATIONS: usize = 8;
/// Separates the generator of this module from the one of [`Plan::random`] for the same seed.
const SEED_MASK: u64 = 0x636f_6f72_6469_6e61;

impl Plan {
    /// The random plan of a seed with callers.
    pub fn random_coordination(seed: u64) -> Self {
        let mut random = Random::new(seed ^ SEED_MASK);
        let mut plan =
            if random.chance_percent(50) { Self::random(seed) } else { Self::random_extended(seed) };
        plan.operations.truncate(MAX_OPERATIONS);
        plan.callers = random.between(6, 12) as usize;
        if random.chance_percent(40) {
            plan.lost_response_percent = random.between(1, 15);
        }
        plan
    }
}
