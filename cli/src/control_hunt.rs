//! `ivyhatch hunt`: plays worlds of control nodes in virtual time and saves those that violate an invariant of the control state.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

use bpaf::{Parser, construct, long};
use ivyhatch_simulation::randomized_search::{
    RecordedRun, RecordingError, find_and_shrink, message_mutations, plans,
};
use ivyhatch_simulation::run::play_traced;

use crate::exit::{FAILURE, code_for_failures, report_unusable};

/// Worlds between two progress lines.
const PROGRESS_INTERVAL_WORLDS: usize = 1000;

/// The arguments of `ivyhatch hunt`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlHunt {
    world_count: usize,
    seed: u64,
    mutate_messages: bool,
    output_folder: PathBuf,
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
    /// Plays the worlds, or replays the given one. Exits with [`FAILURE`] if one of them violates an invariant.
    pub fn run(&self) -> ExitCode {
        if let Some(file) = &self.replay_file {
            return replay(file);
        }
        let started = Instant::now();
        let print_progress = |played: usize, violations: usize| {
            eprintln!("worlds={played} found={violations} seconds={:.1}", started.elapsed().as_secs_f64());
        };
        let (mut played, mut violations) = (0, 0);
        let worlds = plans(self.seed).take(self.world_count);
        let worlds: Box<dyn Iterator<Item = _>> = if self.mutate_messages {
            Box::new(worlds.flat_map(|plan| message_mutations(&plan.without_faults(), 1, 1)))
        } else {
            Box::new(worlds)
        };
        for plan in worlds {
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
