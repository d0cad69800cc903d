//! `ivyhatch lab experiment`: runs every combination of an experiment's worlds, seeds and variants, and reports which variant performs
//! better.

use std::fs::{create_dir_all, read_to_string, write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use ivyhatch_experiments::{
    BUILT_IN, Experiment, Failure, Plan, Results, ResultsError, Summary, render_report, run_missing,
    summarise,
};

use crate::error::CommandError;
use crate::exit::{code_for_failures, report_unusable};
use crate::progress::{default_threads, progress_bar};

/// Folder that contains the results of all experiments that run without `--out`, in a subfolder named after the experiment's file.
const DEFAULT_RESULTS_PARENT: &str = "ivyhatch-results";

#[derive(Args)]
pub struct ExperimentArguments {
    /// An experiment's file, or the name of a built-in one: policies, paper.
    #[arg(default_value = "policies")]
    experiment: PathBuf,
    /// Where results and report go; a folder beside this command's own of the experiment's name without.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Plays at a time; as many as there are cores without.
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=1024))]
    threads: Option<u64>,
    /// The summary as one JSON object, in place of the table.
    #[arg(long)]
    json: bool,
    /// Prints the experiment's text, to begin one's own from, and plays nothing.
    #[arg(long)]
    print: bool,
}

/// The text of an experiment, and the folder to which the paths of its worlds are relative.
struct ExperimentSource {
    text: String,
    folder: PathBuf,
}

impl ExperimentSource {
    fn read(path: &Path) -> Result<Self, CommandError> {
        let built_in = BUILT_IN.iter().find(|(name, _)| path.to_str() == Some(*name));
        if let Some((_, text)) = built_in {
            return Ok(Self { text: (*text).to_owned(), folder: PathBuf::new() });
        }
        let text =
            read_to_string(path).map_err(|source| CommandError::File { path: path.to_owned(), source })?;
        Ok(Self { text, folder: path.parent().map(Path::to_path_buf).unwrap_or_default() })
    }
}

/// The fingerprint of this executable. Results of other builds are not reused, because the same world may have another outcome there.
fn build_fingerprint() -> String {
    let bytes = std::env::current_exe().and_then(std::fs::read);
    bytes.map_or_else(|_| "unknown build".to_owned(), |bytes| ivyhatch_experiments::fingerprint(&bytes))
}

/// Runs `ivyhatch lab experiment`.
pub fn run(arguments: &ExperimentArguments) -> ExitCode {
    try_run(arguments).unwrap_or_else(report_unusable)
}

fn try_run(arguments: &ExperimentArguments) -> Result<ExitCode, CommandError> {
    let path = &arguments.experiment;
    let source = ExperimentSource::read(path)?;
    if arguments.print {
        print!("{}", source.text);
        return Ok(ExitCode::SUCCESS);
    }
    let plan = Experiment::read(&source.text)
        .and_then(|experiment| experiment.plan(&source.folder, &build_fingerprint()))
        .map_err(|error| CommandError::Experiment { path: path.clone(), source: Box::new(error) })?;
    run_plan(arguments, &plan)
}

/// Performs the runs that have no result yet, writes the report and prints the summary.
fn run_plan(arguments: &ExperimentArguments, plan: &Plan) -> Result<ExitCode, CommandError> {
    let stem = arguments.experiment.file_stem().unwrap_or_default();
    let out_folder = arguments.out.clone().unwrap_or_else(|| Path::new(DEFAULT_RESULTS_PARENT).join(stem));
    create_dir_all(&out_folder).map_err(|source| CommandError::File { path: out_folder.clone(), source })?;
    let results_path = out_folder.join("results.jsonl");
    let results_error = |source| CommandError::Results { path: results_path.clone(), source };
    let mut results = Results::open(&results_path).map_err(results_error)?;
    warn_of_damaged_results(&results_path, &results);
    let failures = run_with_progress(arguments, plan, &mut results).map_err(results_error)?;
    let summary = summarise(plan, &results);
    let report_path = out_folder.join("report.html");
    write(&report_path, render_report(plan, &results, &summary))
        .map_err(|source| CommandError::File { path: report_path.clone(), source })?;
    if arguments.json {
        println!("{}", serde_json::to_string(&summary).expect("a summary can be serialized as JSON"));
    } else {
        print_summary(&summary);
        println!("report: {}", report_path.display());
    }
    print_failures(plan, &failures);
    Ok(code_for_failures(failures.len() + summary.module_rules_broken))
}

/// Warns if the results file ended in an unfinished line, which was truncated, or has lines that are not valid results.
fn warn_of_damaged_results(path: &Path, results: &Results) {
    if results.truncated_bytes > 0 || results.unreadable_lines > 0 {
        eprintln!(
            "{}: truncated {} bytes of an unfinished line, and ignored {} lines that are not valid results",
            path.display(),
            results.truncated_bytes,
            results.unreadable_lines
        );
    }
}

fn run_with_progress(
    arguments: &ExperimentArguments,
    plan: &Plan,
    results: &mut Results,
) -> Result<Vec<Failure>, ResultsError> {
    let template = "{pos}/{len} plays [{bar:40}] {elapsed} gone, {eta} to go";
    let bar = progress_bar(0, arguments.json, template);
    let threads = arguments.threads.map_or_else(default_threads, |threads| threads as usize);
    let failures = run_missing(plan, results, threads, &mut |completed, total| {
        bar.set_length(total as u64);
        bar.set_position(completed as u64);
    });
    bar.finish_and_clear();
    failures
}

fn print_failures(plan: &Plan, failures: &[Failure]) {
    for failure in failures {
        let (world, variant) =
            (&plan.worlds[failure.run.world].name, &plan.experiment.variants[failure.run.variant].name);
        eprintln!("ivyhatch: {world}, {variant}, seed {}: {}", failure.run.seed, failure.error);
    }
}

fn print_summary(summary: &Summary) {
    println!(
        "{}: {} of {} plays; differences are to {}",
        summary.name, summary.played, summary.planned, summary.baseline
    );
    let mut world = "";
    for cell in &summary.cells {
        if cell.world != world {
            println!(
                "\n{}\n{:<24} {:<16} {:>10} {:>22}  difference",
                cell.world, "variant", "measure", "mean", "95 %"
            );
            world = &cell.world;
        }
        let interval_text = cell
            .interval
            .map_or(String::new(), |interval| format!("{:.3} to {:.3}", interval.low, interval.high));
        let difference = match (cell.difference, cell.verdict) {
            (Some(difference), Some(verdict)) => format!("{difference:+.3} {verdict}"),
            (Some(difference), None) => format!("{difference:+.3} too few seeds to tell"), // wire name: printed
            _ => String::new(),
        };
        println!(
            "{:<24} {:<16} {:>10.3} {interval_text:>22}  {difference}",
            cell.variant, cell.measure, cell.mean
        );
    }
    println!("\nrules broken by the module: {}", summary.module_rules_broken);
}
