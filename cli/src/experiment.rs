//! `ivyhatch lab experiment`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use ivyhatch_experiments::{
    BUILT_IN, Experiment, Plan, Results, Summary, render_report, run_missing, summarise,
};

use crate::{bar, threads, unusable};

#[derive(Args)]
pub struct Arguments {
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

/// What marks results as this build's: the same world played by another build is another result.
fn build() -> String {
    let bytes = std::env::current_exe().and_then(std::fs::read);
    bytes.map_or_else(|_| "unknown build".to_owned(), |bytes| ivyhatch_experiments::fingerprint(&bytes))
}

pub fn run(arguments: &Arguments) -> ExitCode {
    let named = arguments.experiment.to_str().and_then(|name| BUILT_IN.iter().find(|(of, _)| *of == name));
    let (text, folder) = match named {
        Some((_, text)) => ((*text).to_owned(), PathBuf::new()),
        None => match std::fs::read_to_string(&arguments.experiment) {
            Ok(text) => (text, arguments.experiment.parent().map(Path::to_path_buf).unwrap_or_default()),
            Err(error) => return unusable(&format!("{}: {error}", arguments.experiment.display())),
        },
    };
    if arguments.print {
        print!("{text}");
        return ExitCode::SUCCESS;
    }
    let plan = match Experiment::read(&text).and_then(|experiment| experiment.plan(&folder, &build())) {
        Ok(plan) => plan,
        Err(error) => return unusable(&format!("{}: {error}", arguments.experiment.display())),
    };
    match carry_out(arguments, &plan) {
        Ok(code) => code,
        Err(error) => unusable(&error),
    }
}

fn carry_out(arguments: &Arguments, plan: &Plan) -> Result<ExitCode, String> {
    let stem = arguments.experiment.file_stem().unwrap_or_default();
    let out = arguments.out.clone().unwrap_or_else(|| Path::new("ivyhatch-results").join(stem));
    std::fs::create_dir_all(&out).map_err(|error| format!("{}: {error}", out.display()))?;
    let path = out.join("results.jsonl");
    let mut results = Results::open(&path).map_err(|error| format!("{}: {error}", path.display()))?;
    if results.truncated_bytes > 0 || results.unreadable_lines > 0 {
        eprintln!(
            "{}: cut {} bytes of an unfinished line off, and left {} lines alone that are no result",
            path.display(),
            results.truncated_bytes,
            results.unreadable_lines
        );
    }
    let bar = bar(0, arguments.json, "{pos}/{len} plays [{bar:40}] {elapsed} gone, {eta} to go");
    let threads = arguments.threads.map_or_else(threads, |threads| threads as usize);
    let failures = run_missing(plan, &mut results, threads, &mut |done, all| {
        bar.set_length(all as u64);
        bar.set_position(done as u64);
    });
    bar.finish_and_clear();
    let failures = failures.map_err(|error| format!("{}: {error}", path.display()))?;
    let summary = summarise(plan, &results);
    let report = out.join("report.html");
    std::fs::write(&report, render_report(plan, &results, &summary))
        .map_err(|error| format!("{}: {error}", report.display()))?;
    if arguments.json {
        println!("{}", serde_json::to_string(&summary).expect("a summary is plain data"));
    } else {
        print_summary(&summary);
        println!("report: {}", report.display());
    }
    for failure in &failures {
        let (world, variant) =
            (&plan.worlds[failure.run.world].name, &plan.experiment.variants[failure.run.variant].name);
        eprintln!("ivyhatch: {world}, {variant}, seed {}: {}", failure.run.seed, failure.error);
    }
    let well = failures.is_empty() && summary.module_rules_broken == 0;
    Ok(if well { ExitCode::SUCCESS } else { ExitCode::from(1) })
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
        let spread = cell.interval.map_or(String::new(), |i| format!("{:.3} to {:.3}", i.low, i.high));
        let difference = match (cell.difference, cell.verdict) {
            (Some(difference), Some(verdict)) => format!("{difference:+.3} {verdict}"),
            (Some(difference), None) => format!("{difference:+.3} too few seeds to tell"),
            _ => String::new(),
        };
        println!("{:<24} {:<16} {:>10.3} {spread:>22}  {difference}", cell.variant, cell.measure, cell.mean);
    }
    println!("\nrules broken by the module: {}", summary.module_rules_broken);
}
