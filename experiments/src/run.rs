//! Plays what is missing, in parallel.

use std::io::Write;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;

use ivyhatch_lab::{Report, World, simulate_with};

use crate::results::{Line, Results, ResultsError};
use crate::spec::{Plan, Run};

/// Told of how far an experiment has come: runs done, those that were there already included, and all.
pub type Progress<'a> = &'a mut dyn FnMut(usize, usize);

/// A run that gave no result.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Which.
    pub run: Run,
    /// Why.
    pub reason: String,
}

/// Plays those runs of a plan that have no result yet, on so many threads, and keeps each as soon as it is there.
/// Only another build's program can fail to give one.
///
/// # Errors
/// Where results can't be kept.
///
/// # Panics
/// Where a play does.
pub fn run(
    plan: &Plan,
    results: &mut Results,
    threads: usize,
    progress: Progress,
) -> Result<Vec<Failure>, ResultsError> {
    let all = plan.runs();
    let missing: Vec<Run> =
        all.iter().filter(|run| results.get(&plan.key(**run)).is_none()).copied().collect();
    let mut done = all.len() - missing.len();
    progress(done, all.len());
    let next = AtomicUsize::new(0);
    let mut failures = Vec::new();
    let mut kept = Ok(());
    std::thread::scope(|scope| {
        // No more than this many results wait to be written.
        let (tell, told) = mpsc::sync_channel(threads.max(1));
        for _ in 0..threads.clamp(1, missing.len().max(1)) {
            let (tell, next, missing) = (tell.clone(), &next, &missing);
            scope.spawn(move || {
                while let Some(run) = missing.get(next.fetch_add(1, Ordering::Relaxed)) {
                    // Who listens no more has met an error of its own.
                    if tell.send((*run, one(plan, *run))).is_err() {
                        return;
                    }
                }
            });
        }
        drop(tell);
        for (run, outcome) in told {
            match outcome {
                Ok(report) => {
                    let variant = plan.experiment.variants[run.variant].name.clone();
                    kept = results.add(Line { run: plan.key(run), variant, report });
                    if kept.is_err() {
                        return;
                    }
                }
                Err(reason) => failures.push(Failure { run, reason }),
            }
            done += 1;
            progress(done, all.len());
        }
    });
    failures.sort_by_key(|failure| (failure.run.world, failure.run.variant, failure.run.seed));
    kept.map(|()| failures)
}

fn one(plan: &Plan, run: Run) -> Result<Report, String> {
    let world = &plan.worlds[run.world];
    match &plan.programs[run.variant] {
        None => {
            Ok(simulate_with(world, &plan.experiment.variants[run.variant].decider(), run.seed, &mut |_| {}))
        }
        Some(program) => other_build(program, world, run.seed),
    }
}

/// Has another build play a world, over its command line.
fn other_build(program: &Path, world: &World, seed: u64) -> Result<Report, String> {
    let named = |error: std::io::Error| format!("{}: {error}", program.display());
    let mut file = tempfile::Builder::new().suffix(".toml").tempfile().map_err(named)?;
    file.write_all(world.write().as_bytes()).map_err(named)?;
    let mut command = Command::new(program);
    command.arg("lab").arg(file.path()).args(["--json", "--seed", &seed.to_string()]);
    let output = command.output().map_err(named)?;
    // A broken rule is a result too: the report says so.
    let line = String::from_utf8_lossy(&output.stdout);
    let Some(line) = line.lines().next() else {
        let error = String::from_utf8_lossy(&output.stderr);
        return Err(format!("{}: {}: {}", program.display(), output.status, error.trim()));
    };
    serde_json::from_str(line)
        .map_err(|error| format!("{}: its report can't be read: {error}", program.display()))
}
