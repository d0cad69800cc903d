//! `ivyhatch demo`: runs one real node among simulated servers on loopback sockets, and shows the effect of faults in a live table.

use std::process::ExitCode;

use clap::Args;
use ivyhatch_lab::{Report, World};
use thiserror::Error;

use crate::demo_table::DemoTable;
use crate::exit::{INTERRUPTED, code_for_failures, report_unusable};
use crate::report::print_violations;
use crate::socket_run::{SocketRun, run_on_sockets};

/// The built-in world of the demo, in TOML. Its duration and the times of its faults are scaled to `--seconds`.
const DEMO_WORLD_TOML: &str = include_str!("../../lab/worlds/demo.toml");

#[derive(Args)]
pub struct DemoArguments {
    #[arg(help = "Seconds that it takes; its troubles are spread over them")] // wire name: help text
    #[arg(long, default_value_t = 24.0, value_parser = parse_seconds)]
    seconds: f64,
    /// Drives the clients.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The report as one JSON object, in place of the table.
    #[arg(long)]
    json: bool,
}

/// Why the value of `--seconds` was rejected.
#[derive(Debug, Error)]
enum SecondsError {
    #[error("expected a number of seconds")]
    NotANumber,
    #[error("expected 4 to 3600 seconds")]
    OutOfRange,
}

fn parse_seconds(text: &str) -> Result<f64, SecondsError> {
    let seconds: f64 = text.parse().map_err(|_| SecondsError::NotANumber)?;
    if (4.0..=3600.0).contains(&seconds) { Ok(seconds) } else { Err(SecondsError::OutOfRange) }
}

/// The demo's world, scaled to a duration of `seconds`.
fn demo_world(seconds: f64) -> World {
    let mut world = World::read(DEMO_WORLD_TOML).expect("the built-in demo world is valid");
    let scale = seconds / world.seconds;
    world.seconds = seconds;
    for fault in &mut world.faults {
        fault.start_s *= scale;
        fault.end_s *= scale;
    }
    world
}

/// Runs the demo: first a network partition of a zone, then a slow server.
pub fn run(arguments: &DemoArguments) -> ExitCode {
    let world = demo_world(arguments.seconds);
    if !arguments.json {
        println!(
            "one real node in zone 0, nine stand-in servers in three zones, {} requests a second",
            world.clients.rate
        );
    }
    let (is_quiet, table) = (arguments.json, DemoTable::default());
    let outcome = run_on_sockets(&world, arguments.seed, move |snapshot| {
        if !is_quiet {
            table.draw(snapshot);
        }
    });
    let report = match outcome {
        Ok(SocketRun::Finished(report)) => report,
        Ok(SocketRun::Interrupted) => {
            eprintln!("interrupted; all processes of the demo have ended");
            return ExitCode::from(INTERRUPTED);
        }
        Err(error) => return report_unusable(error),
    };
    if arguments.json {
        println!("{}", serde_json::to_string(&report).expect("a report can be serialized as JSON"));
    } else {
        print_summary(&report);
    }
    print_violations(&report, arguments.seed);
    code_for_failures(report.rules_broken)
}

fn print_summary(report: &Report) {
    let class = &report.classes[0];
    println!(
        "\nserved {:.1} % in time; {} late, {} refused, {} failed; median {:.0} ms, p99 {:.0} ms",
        report.served * 100.0,
        class.late,
        class.refused,
        class.failed,
        class.p50_ms,
        class.p99_ms
    );
    let requests: u64 = report.classes.iter().map(|class| class.asked).sum();
    let retries = report.attempts.saturating_sub(requests);
    println!(
        "the node made {} attempts, {retries} of them again elsewhere, {} into another zone,",
        report.attempts, report.crossed
    );
    println!(
        "and {} probes to see how loaded servers are; {} rules broken",
        report.probes, report.rules_broken
    );
}
