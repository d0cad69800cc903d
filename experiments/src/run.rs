//! Executes the runs of a plan that have no result yet, in parallel.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;

use ivyhatch_lab::{Report, World, simulate_with};

use crate::plan::{Plan, Run};
use crate::results::{ResultLine, Results, ResultsError};

/// A callback that gets the number of runs that have a result or have failed, and the number of all runs.
pub type Progress<'a> = &'a mut dyn FnMut(usize, usize);

/// Why a run has no result. Only runs by the program of another build can fail.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The program cannot be started, or the world that is its input cannot be written to a file.
    #[error("{} could not be run: {source}", program.display())]
    Start {
        /// The program.
        program: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The program ended without a report.
    #[error("{} ended without a report: {status}: {stderr}", program.display())]
    NoReport {
        /// The program.
        program: PathBuf,
        /// The program's exit status.
        status: ExitStatus,
        /// The program's standard error output, trimmed.
        stderr: String,
    },
    /// The program's report does not have the form that this version expects.
    #[error("{} wrote a report that can't be parsed: {source}", program.display())]
    UnreadableReport {
        /// The program.
        program: PathBuf,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
}

/// A run without a result.
#[derive(Debug)]
pub struct Failure {
    /// The run.
    pub run: Run,
    /// Why the run has no result.
    pub error: RunError,
}

/// Executes the runs that have no result yet on `threads` threads, and stores each result as soon as its run ends. Returns the runs
/// that failed, in the order of the plan.
///
/// # Errors
/// [`ResultsError`] if a result cannot be stored; results stored before are kept.
///
/// # Panics
/// If a simulation panics.
pub fn run_missing(
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
    let mut stored = Ok(());
    std::thread::scope(|scope| {
        // The channel's bound limits the number of results that wait to be stored.
        let (sender, receiver) = mpsc::sync_channel(threads.max(1));
        for _ in 0..threads.clamp(1, missing.len().max(1)) {
            let (sender, next, missing) = (sender.clone(), &next, &missing);
            scope.spawn(move || {
                while let Some(run) = missing.get(next.fetch_add(1, Ordering::Relaxed)) {
                    // The receiver is dropped once a result could not be stored.
                    if sender.send((*run, execute(plan, *run))).is_err() {
                        return;
                    }
                }
            });
        }
        drop(sender);
        for (run, outcome) in receiver {
            match outcome {
                Ok(report) => {
                    let variant = plan.experiment.variants[run.variant].name.clone();
                    stored = results.append(ResultLine { run: plan.key(run), variant, report });
                    if stored.is_err() {
                        return;
                    }
                }
                Err(error) => failures.push(Failure { run, error }),
            }
            done += 1;
            progress(done, all.len());
        }
    });
    failures.sort_by_key(|failure| (failure.run.world, failure.run.variant, failure.run.seed));
    stored.map(|()| failures)
}

fn execute(plan: &Plan, run: Run) -> Result<Report, RunError> {
    let world = &plan.worlds[run.world];
    if let Some(program) = &plan.programs[run.variant] {
        return execute_other_build(program, world, run.seed);
    }
    let policy = plan.experiment.variants[run.variant].policy_config();
    Ok(simulate_with(world, &policy, run.seed, &mut |_| {}))
}

/// Runs a world with the command-line program of another build.
fn execute_other_build(program: &Path, world: &World, seed: u64) -> Result<Report, RunError> {
    let start_error = |source: std::io::Error| RunError::Start { program: program.to_owned(), source };
    let mut file = tempfile::Builder::new().suffix(".toml").tempfile().map_err(start_error)?;
    file.write_all(world.write().as_bytes()).map_err(start_error)?;
    let mut command = Command::new(program);
    command.arg("lab").arg(file.path()).args(["--json", "--seed", &seed.to_string()]);
    let output = command.output().map_err(start_error)?;
    // The exit status is not checked: a run with rule violations writes a report and exits with a status of its own.
    let stdout = String::from_utf8_lossy(&output.stdout);
    let Some(report) = stdout.lines().next() else {
        let stderr = String::from_utf8_lossy(&output.stderr).trim().to_owned();
        return Err(RunError::NoReport { program: program.to_owned(), status: output.status, stderr });
    };
    serde_json::from_str(report)
        .map_err(|source| RunError::UnreadableReport { program: program.to_owned(), source })
}
