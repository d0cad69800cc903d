#![forbid(unsafe_code)]
//! `ivyhatch`: the command line. Exit codes: 0 all well, 1 a rule was broken, 2 wrong use, 3 a file that can't be used.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use ivyhatch_lab::{DEFAULT_WORLD, Report, World, play};

#[derive(Parser)]
#[command(name = "ivyhatch", version, about = "Load balancing for match servers, and its lab")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a model of the fleet in virtual time.
    Lab(Lab),
}

#[derive(Args)]
struct Lab {
    /// A world's file; without one, the built-in evening with its troubles.
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
    /// Prints the built-in world, to begin one's own from.
    #[arg(long)]
    print_world: bool,
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Lab(lab) => run(&lab),
    }
}

fn run(lab: &Lab) -> ExitCode {
    if lab.print_world {
        print!("{DEFAULT_WORLD}");
        return ExitCode::SUCCESS;
    }
    let text = match &lab.world {
        None => DEFAULT_WORLD.to_owned(),
        Some(path) => match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) => return unusable(&format!("{}: {error}", path.display())),
        },
    };
    let from = lab.world.as_ref().map_or("the built-in world".into(), |path| path.display().to_string());
    let world = match World::read(&text) {
        Ok(world) => world,
        Err(error) => return unusable(&format!("{from}: {error}")),
    };
    let mut broken = 0;
    for seed in lab.seed..lab.seed.saturating_add(lab.seeds) {
        let began = Instant::now();
        let bar = bar(lab, seed);
        let report = play(&world, seed, &mut |part| bar.set_position((part * 100.0) as u64));
        bar.finish_and_clear();
        broken += report.rules_broken;
        if lab.json {
            println!("{}", serde_json::to_string(&report).expect("a report is plain data"));
        } else {
            print_table(&report, began.elapsed().as_secs_f64());
        }
        for broken in &report.broken {
            eprintln!("rule broken in {} with seed {seed}: {:?}", report.world, broken.rule);
            broken.events.iter().for_each(|event| eprintln!("    {event}"));
        }
    }
    if broken > 0 { ExitCode::from(1) } else { ExitCode::SUCCESS }
}

fn unusable(text: &str) -> ExitCode {
    eprintln!("ivyhatch: {text}");
    ExitCode::from(3)
}

fn bar(lab: &Lab, seed: u64) -> ProgressBar {
    if lab.json || !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{msg} [{bar:40}] {pos}%").expect("a sound template");
    ProgressBar::new(100).with_style(style).with_message(format!("seed {seed}"))
}

fn print_table(report: &Report, took: f64) {
    println!("{} with seed {}: {:.3} of the worth served in time", report.world, report.seed, report.served);
    println!(
        "{:<14} {:>8} {:>8} {:>7} {:>8} {:>7} {:>8} {:>8}",
        "class", "asked", "in time", "late", "refused", "failed", "p50 ms", "p99 ms"
    );
    for class in &report.classes {
        println!(
            "{:<14} {:>8} {:>8} {:>7} {:>8} {:>7} {:>8.0} {:>8.0}",
            class.name,
            class.asked,
            class.in_time,
            class.late,
            class.refused,
            class.failed,
            class.p50_ms,
            class.p99_ms
        );
    }
    println!(
        "{} attempts, {} of them into another zone, {} probes; servers choked {} times; {} rules broken",
        report.attempts, report.crossed, report.probes, report.chokes, report.rules_broken
    );
    println!("{} events in {took:.2} s", report.events);
}
