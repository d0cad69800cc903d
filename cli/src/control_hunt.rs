//! `ivyhatch hunt`: runs simulated clusters of control nodes, called worlds, in virtual time. Runs that violate an invariant of the
//! control state are saved to files, which can be replayed.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

use bpaf::{Parser, construct, long};
use ivyhatch_simulation::randomized_search::{
    RecordedRun, RecordingError, find_and_shrink, message_mutations, plans,
};
use ivyhatch_simulation::run::play_traced;

use crate::exit::{FAILURE, code_for_failures, report_unusable};

/// Number of worlds between two progress lines on standard error.
const PROGRESS_INTERVAL_WORLDS: usize = 1000;

/// The arguments of `ivyhatch hunt`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlHunt {
    /// Number of random plans that are drawn; each describes one world.
    world_count: usize,
    /// The seed from which the plans are drawn.
    seed: u64,
    /// Whether to remove the faults from the plans, and to play each plan once for every mutation of every message.
    mutate_messages: bool,
    /// The folder for the recorded runs that violate an invariant.
    output_folder: PathBuf,
    /// A recorded run to replay instead of the search.
    replay_file: Option<PathBuf>,
}

/// Parses the arguments of `ivyhatch hunt`.
pub fn control_hunt_parser() -> impl Parser<ControlHunt> {
    let world_count = long("worlds").help("worlds that are played").argument::<usize>("N").fallback(1000);
    let seed = long("seed").help("from which they are drawn").argument::<u64>("S").fallback(1);
    let mutate_messages = long("mutations")
        .help("plays calm worlds instead, each with every message dropped, doubled, delayed and replaced in turn")
        .switch();
    let output_folder = long("out")
        .help("where worlds that break a rule go")
        .argument::<PathBuf>("DIR")
        .fallback("found".into());
    let replay_file = long("replay")
        .help("plays this one, and prints all that happens")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(ControlHunt { world_count, seed, mutate_messages, output_folder, replay_file })
}

impl ControlHunt {
    /// Plays the worlds, or replays the recorded run in `replay_file`. Returns [`FAILURE`] if a run violates an invariant.
    pub fn run(&self) -> ExitCode {
        if let Some(file) = &self.replay_file {
            return replay(file);
        }
        let started = Instant::now();
        let print_progress = |played: usize, violations: usize| {
            eprintln!("worlds={played} found={violations} seconds={:.1}", started.elapsed().as_secs_f64());
        };
        let (mut played, mut violations) = (0, 0);
        let selected_plans = plans(self.seed).take(self.world_count);
        let selected_plans: Box<dyn Iterator<Item = _>> = if self.mutate_messages {
            Box::new(selected_plans.flat_map(|plan| message_mutations(&plan.without_faults(), 1, 1)))
        } else {
            Box::new(selected_plans)
        };
        for plan in selected_plans {
            played += 1;
            if let Some(run) = find_and_shrink(plan, None) {
                violations += 1;
                if let Err(error) = self.save(&run) {
                    return report_unusable(error);
                }
            }
            if played % PROGRESS_INTERVAL_WORLDS == 0 {
                print_progress(played, violations);
            }
        }
        print_progress(played, violations);
        code_for_failures(violations)
    }

    /// Saves a run that violates an invariant, and prints a line with the violation and the path of the file.
    fn save(&self, run: &RecordedRun) -> Result<(), RecordingError> {
        let path = run.save(&self.output_folder)?;
        let violation = &run.violation;
        println!(
            "rule={} at_ms={} file={} seen={:?}",
            violation.invariant,
            violation.at_ms,
            path.display(),
            violation.description
        );
        Ok(())
    }
}

/// Replays a recorded run, and prints its trace and the violation, if there is one.
fn replay(file: &Path) -> ExitCode {
    let recorded = match RecordedRun::read(file) {
        Ok(recorded) => recorded,
        Err(error) => return report_unusable(error),
    };
    let outcome = play_traced(&recorded.plan, recorded.injected_bug);
    for line in &outcome.trace {
        println!("{line}");
    }
    let Some(violation) = outcome.violation else { return ExitCode::SUCCESS };
    println!("rule={} at_ms={} seen={:?}", violation.invariant, violation.at_ms, violation.description);
    ExitCode::from(FAILURE)
}
