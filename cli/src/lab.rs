//! `ivyhatch lab`: one world, played with some seeds.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

use clap::{Args, Subcommand};
use ivyhatch_lab::{DEFAULT_WORLD, Report, World, simulate};

use crate::{bar, experiment, hunt, sockets, unusable};

#[derive(Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct Lab {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    play: Play,
}

#[derive(Subcommand)]
enum Command {
    /// Plays many worlds, seeds and variants, and reports which serves better.
    Experiment(experiment::Arguments),
    /// Looks for worlds on which the decision module does worst, and shrinks them.
    Hunt(hunt::Arguments),
}

#[derive(Args)]
struct Play {
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
    /// Plays it on loopback sockets too, in real time against real nodes, and puts both side by side.
    #[arg(long)]
    sockets: bool,
    /// Prints the built-in world, to begin one's own from.
    #[arg(long)]
    print_world: bool,
}

pub fn run(lab: Lab) -> ExitCode {
    match lab.command {
        Some(Command::Experiment(arguments)) => experiment::run(&arguments),
        Some(Command::Hunt(arguments)) => hunt::run(&arguments),
        None => run_world(&lab.play),
    }
}

/// Reads a world's file, or the built-in world.
pub fn world(path: Option<&Path>) -> Result<World, String> {
    let (from, text) = match path {
        None => ("the built-in world".to_owned(), DEFAULT_WORLD.to_owned()),
        Some(path) => {
            let from = path.display().to_string();
            let text = std::fs::read_to_string(path).map_err(|error| format!("{from}: {error}"))?;
            (from, text)
        }
    };
    World::read(&text).map_err(|error| format!("{from}: {error}"))
}

fn run_world(lab: &Play) -> ExitCode {
    if lab.print_world {
        print!("{DEFAULT_WORLD}");
        return ExitCode::SUCCESS;
    }
    let world = match world(lab.world.as_deref()) {
        Ok(world) => world,
        Err(error) => return unusable(&error),
    };
    if lab.sockets {
        return sockets::both(&world, lab.seed, lab.json);
    }
    let mut broken = 0;
    for seed in lab.seed..lab.seed.saturating_add(lab.seeds) {
        let began = Instant::now();
        let bar = bar(100, lab.json, "{msg} [{bar:40}] {pos}%").with_message(format!("seed {seed}"));
        let report = simulate(&world, seed, &mut |part| bar.set_position((part * 100.0) as u64));
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

fn print_table(report: &Report, took: f64) {
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
    println!("{} events in {took:.2} s", report.events);
}
