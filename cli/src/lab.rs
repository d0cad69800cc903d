//! `ivyhatch lab`: simulates one world with one or several seeds. The subcommands are in `experiment` and `hunt`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use ivyhatch_lab::{DEFAULT_WORLD, Report, World, simulate};

use crate::exit::{code_for_failures, report_unusable};
use crate::progress::progress_bar;
use crate::report::print_violations;
use crate::socket_run::compare_with_simulation;
use crate::world_file::read_world;
use crate::{experiment, hunt};

/// Help text of the `WORLD` argument.
const WORLD_HELP: &str = "A world's file; without one, the built-in evening with its troubles"; // wire name

#[derive(Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct LabArguments {
    #[command(subcommand)]
    command: Option<LabCommand>,
    #[command(flatten)]
    world: WorldArguments,
}

#[derive(Subcommand)]
enum LabCommand {
    /// Plays many worlds, seeds and variants, and reports which serves better.
    Experiment(experiment::ExperimentArguments),
    /// Looks for worlds on which the decision module does worst, and shrinks them.
    Hunt(hunt::HuntArguments),
}

#[derive(Args)]
struct WorldArguments {
    #[arg(help = WORLD_HELP)]
    world: Option<PathBuf>,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds are played, one after another.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    seeds: u64,
    /// One JSON object a line, in place of the table.
    #[arg(long)]
    json: bool,
    /// Plays it on loopback sockets too, in real time against real nodes, and puts both side by side.
    #[arg(long)]
    sockets: bool,
    /// Prints the built-in world, to begin one's own from.
    #[arg(long)]
    print_world: bool,
}

/// Runs `ivyhatch lab` or one of its subcommands.
pub fn run(arguments: LabArguments) -> ExitCode {
    match arguments.command {
        Some(LabCommand::Experiment(arguments)) => experiment::run(&arguments),
        Some(LabCommand::Hunt(arguments)) => hunt::run(&arguments),
        None => run_world(&arguments.world),
    }
}

/// Simulates a world with all requested seeds, or compares its simulation with a run on sockets.
fn run_world(arguments: &WorldArguments) -> ExitCode {
    if arguments.print_world {
        print!("{DEFAULT_WORLD}");
        return ExitCode::SUCCESS;
    }
    let world = match read_world(arguments.world.as_deref()) {
        Ok(world) => world,
        Err(error) => return report_unusable(error),
    };
    if arguments.sockets {
        return compare_with_simulation(&world, arguments.seed, arguments.json);
    }
    let seeds = arguments.seed..arguments.seed.saturating_add(arguments.seeds);
    code_for_failures(seeds.map(|seed| simulate_seed(&world, seed, arguments.json)).sum())
}

/// Simulates the world with one seed and prints the report. Returns the number of violations of invariants.
fn simulate_seed(world: &World, seed: u64, as_json: bool) -> usize {
    let started = Instant::now();
    let bar = progress_bar(100, as_json, "{msg} [{bar:40}] {pos}%").with_message(format!("seed {seed}"));
    let report = simulate(world, seed, &mut |fraction| bar.set_position((fraction * 100.0) as u64));
    bar.finish_and_clear();
    if as_json {
        println!("{}", serde_json::to_string(&report).expect("a report can be serialized as JSON"));
    } else {
        print_table(&report, started.elapsed());
    }
    print_violations(&report, seed);
    report.rules_broken
}

fn print_table(report: &Report, elapsed: Duration) {
    println!("{} with seed {}: {:.3} of the worth served in time", report.world, report.seed, report.served);
    println!(
        "{:<14} {:>8} {:>8} {:>7} {:>8} {:>7} {:>7} {:>8} {:>8}",
        "class", "asked", "in time", "late", "refused", "failed", "left", "p50 ms", "p99 ms"
    );
    for class in &report.classes {
        println!(
            "{:<14} {:>8} {:>8} {:>7} {:>8} {:>7} {:>7} {:>8.0} {:>8.0}",
            class.name,
            class.asked,
            class.in_time,
            class.late,
            class.refused,
            class.failed,
            class.left,
            class.p50_ms,
            class.p99_ms
        );
    }
    println!(
        "{} attempts, {} of them into another zone, {} probes; servers choked {} times; {} rules broken",
        report.attempts, report.crossed, report.probes, report.chokes, report.rules_broken
    );
    println!("{} events in {:.2} s", report.events, elapsed.as_secs_f64());
}
