//! Looks for worlds that break a rule, makes them short, and keeps them as files that play again.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use strum::IntoEnumIterator;

use crate::injected_bugs::InjectedBug;
use crate::oracle::{Invariant, Violation};
use crate::plan::{Mutated, Mutation, Plan, Trouble, When};
use crate::run::{Outcome, play, play_with_bug};

/// A world that breaks a rule, as it is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedRun {
    /// What was broken when it was found.
    pub violation: Violation,
    /// The known fault with which it was found, if any.
    #[serde(default, rename = "planted")] // wire name
    pub injected_bug: Option<InjectedBug>,
    /// The world.
    pub plan: Plan,
}

/// Why a kept world can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum RecordingError {
    /// The disk.
    #[error("{path}: {source}: see to the folder, or name another")]
    Disk {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// What the file holds.
    #[error("{path}: {source}: hunt for it anew, or take the file from the repository")]
    Content {
        /// The file.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
}

impl RecordedRun {
    /// Plays it.
    pub fn play(&self) -> Outcome {
        match self.injected_bug {
            Some(injected_bug) => play_with_bug(&self.plan, injected_bug),
            None => play(&self.plan),
        }
    }

    /// Reads one.
    ///
    /// # Errors
    /// Where the file can't be read.
    pub fn read(path: &Path) -> Result<Self, RecordingError> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|source| RecordingError::Disk { path: path.to_owned(), source })?;
        serde_json::from_str(&text)
            .map_err(|source| RecordingError::Content { path: path.to_owned(), source })
    }

    /// Writes it into a folder, under a name that tells the rule and the seed.
    ///
    /// # Errors
    /// Where it can't be written.
    pub fn save(&self, folder: &Path) -> Result<PathBuf, RecordingError> {
        let path = folder.join(format!("{}-{}.json", self.violation.invariant, self.plan.seed));
        let text = serde_json::to_string_pretty(self);
        let text = text.map_err(|source| RecordingError::Content { path: path.clone(), source })?;
        let written = std::fs::create_dir_all(folder).and_then(|()| std::fs::write(&path, text + "\n"));
        written.map_err(|source| RecordingError::Disk { path: path.clone(), source })?;
        Ok(path)
    }
}

/// The worlds of odd seeds above this have further troubles ([`Plan::drawn_with_more`]).
pub const PLAIN_SEEDS: u64 = 1_000_000;

/// The worlds of a seed, one after the other.
pub fn plans(seed: u64) -> impl Iterator<Item = Plan> {
    let with_more = seed > PLAIN_SEEDS && seed % 2 == 1;
    let draw = if with_more { Plan::drawn_with_more } else { Plan::drawn };
    (0..).map(move |number: u64| draw(seed.wrapping_mul(1_000_003).wrapping_add(number)))
}

/// Plays a plan, and makes it short if it breaks a rule.
pub fn find_and_shrink(plan: Plan, injected_bug: Option<InjectedBug>) -> Option<RecordedRun> {
    let found = find_violation(plan, injected_bug)?;
    Some(shrink(found))
}

/// Plays a plan; what it breaks, as it was.
pub fn find_violation(plan: Plan, injected_bug: Option<InjectedBug>) -> Option<RecordedRun> {
    let outcome = injected_bug.map_or_else(|| play(&plan), |injected_bug| play_with_bug(&plan, injected_bug));
    outcome.violation.map(|violation| RecordedRun { violation, injected_bug, plan })
}

/// Leaves out and shortens what it can while the same rule is broken.
pub fn shrink(found: RecordedRun) -> RecordedRun {
    let rule = found.violation.invariant;
    let mut best = found;
    loop {
        let before = best.plan.clone();
        let shorter = smaller(&best.plan).into_iter().find_map(|plan| still(plan, best.injected_bug, rule));
        if let Some(shorter) = shorter {
            best = shorter;
        }
        if best.plan == before {
            return best;
        }
    }
}

fn still(plan: Plan, injected_bug: Option<InjectedBug>, rule: Invariant) -> Option<RecordedRun> {
    find_violation(plan, injected_bug).filter(|found| found.violation.invariant == rule)
}

fn smaller(plan: &Plan) -> Vec<Plan> {
    let mut all = Vec::new();
    // Halves of the orders first, then one after the other.
    let count = plan.orders.len();
    let mut size = count / 2;
    while size > 0 {
        for start in (0..count).step_by(size) {
            let mut smaller = plan.clone();
            smaller.orders.drain(start..(start + size).min(count));
            all.push(smaller);
        }
        size /= 2;
    }
    for number in 0..plan.faults.len() {
        let mut smaller = plan.clone();
        smaller.faults.remove(number);
        all.push(smaller);
    }
    for (number, fault) in plan.faults.iter().enumerate() {
        let mut change = |altered: Trouble, for_ms: u64| {
            if (altered, for_ms) != (fault.what, fault.for_ms) {
                let mut smaller = plan.clone();
                (smaller.faults[number].what, smaller.faults[number].for_ms) = (altered, for_ms);
                all.push(smaller);
            }
        };
        change(fault.what, fault.for_ms / 2);
        for node in 0..plan.members {
            let without = |mask: u64| mask & !(1 << node);
            let altered = match fault.what {
                Trouble::Kill(mask) => Trouble::Kill(without(mask)),
                Trouble::Power(mask) => Trouble::Power(without(mask)),
                Trouble::Freeze(mask) => Trouble::Freeze(without(mask)),
                Trouble::Stall(mask) => Trouble::Stall(without(mask)),
                Trouble::Full(mask) => Trouble::Full(without(mask)),
                Trouble::Wipe(lost, others) => Trouble::Wipe(lost, without(others)),
                what => what,
            };
            change(altered, fault.for_ms);
        }
        if let When::Taken(count, after_ms) = fault.when
            && after_ms > 0
        {
            let mut smaller = plan.clone();
            smaller.faults[number].when = When::Taken(count, 0);
            all.push(smaller);
        }
    }
    if plan.mutation.is_some() {
        all.push(Plan { mutation: None, ..plan.clone() });
    }
    if plan.lost_answers > 0 {
        all.push(Plan { lost_answers: 0, ..plan.clone() });
    }
    if plan.followers > 1 {
        let aside = |what: Trouble| matches!(what, Trouble::Aside(..) | Trouble::Follower(_));
        if !plan.faults.iter().any(|fault| aside(fault.what)) {
            all.push(Plan { followers: plan.followers - 1, ..plan.clone() });
        }
    }
    all
}

/// All mutations of one message of a plan's run: each kind, over every message from the first on, `step` apart.
pub fn message_mutations(plan: &Plan, first: u64, step: u64) -> impl Iterator<Item = Plan> + use<> {
    let messages = play(plan).messages;
    let plan = plan.clone();
    let numbers = (first.max(1)..=messages).step_by(step.max(1) as usize);
    numbers.flat_map(move |message| {
        let plan = plan.clone();
        Mutated::iter().map(move |how| Plan { mutation: Some(Mutation { message, how }), ..plan.clone() })
    })
}
