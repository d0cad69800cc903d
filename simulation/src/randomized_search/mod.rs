//! The randomized search of the `hunt` subcommand: plays the random plans of a seed, and shrinks those that violate an invariant to
//! short recorded runs.

mod recording;
mod shrink;

use strum::IntoEnumIterator;

use crate::injected_bugs::InjectedBug;
use crate::plan::{MessageMutation, MutationKind, Plan};
use crate::run::{play, play_with_bug};

pub use recording::{RecordedRun, RecordingError};
pub use shrink::shrink;

/// Odd search seeds above this one, up to [`LAST_EXTENDED_SEED`], draw plans with further faults ([`Plan::random_extended`]).
pub const LAST_BASIC_SEED: u64 = 1_000_000;
/// Search seeds above this one draw plans with applications' callers ([`Plan::random_coordination`]).
pub const LAST_EXTENDED_SEED: u64 = 2_000_000;

/// The distance between the first plan seeds of two consecutive search seeds.
const PLAN_SEEDS_PER_SEARCH_SEED: u64 = 1_000_003;

/// The unlimited sequence of plans of a search seed.
pub fn plans(seed: u64) -> impl Iterator<Item = Plan> {
    let is_extended = seed > LAST_BASIC_SEED && seed % 2 == 1;
    let draw = match (seed > LAST_EXTENDED_SEED, is_extended) {
        (true, _) => Plan::random_coordination,
        (false, true) => Plan::random_extended,
        (false, false) => Plan::random,
    };
    (0..).map(move |number: u64| draw(seed.wrapping_mul(PLAN_SEEDS_PER_SEARCH_SEED).wrapping_add(number)))
}

/// Plays a plan. Returns the shrunk recorded run if the plan violates an invariant.
pub fn find_and_shrink(plan: Plan, injected_bug: Option<InjectedBug>) -> Option<RecordedRun> {
    find_violation(plan, injected_bug).map(shrink)
}

/// Plays a plan. Returns the recorded run, without shrinking, if the plan violates an invariant.
pub fn find_violation(plan: Plan, injected_bug: Option<InjectedBug>) -> Option<RecordedRun> {
    let outcome = injected_bug.map_or_else(|| play(&plan), |bug| play_with_bug(&plan, bug));
    outcome.violation.map(|violation| RecordedRun { violation, injected_bug, plan })
}

/// Variants of a plan, each with one mutation of one message: every kind of mutation for every `step`th message of the plan's run, from
/// `first_message` on. Messages are numbered from 1.
pub fn message_mutations(plan: &Plan, first_message: u64, step: u64) -> impl Iterator<Item = Plan> + use<> {
    let messages = play(plan).messages;
    let plan = plan.clone();
    let numbers = (first_message.max(1)..=messages).step_by(step.max(1) as usize);
    numbers.flat_map(move |message| {
        let plan = plan.clone();
        MutationKind::iter()
            .map(move |kind| Plan { mutation: Some(MessageMutation { message, kind }), ..plan.clone() })
    })
}
