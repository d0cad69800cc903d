//! Runs worlds with real nodes on loopback sockets, and compares such a run with the simulation for `ivyhatch lab --sockets`.

use std::process::ExitCode;

use ivyhatch_lab::{Report, World, simulate};
use ivyhatch_socket_lab::{NodeCommand, Snapshot};
use tokio::signal::ctrl_c;

use crate::error::CommandError;
use crate::exit::{INTERRUPTED, code_for_failures, report_unusable};
use crate::progress::progress_bar;
use crate::report::print_violations;

/// Resolution of the progress bar, in steps per second of the run.
const PROGRESS_STEPS_PER_SECOND: f64 = 10.0;

/// How a run on sockets ended.
pub enum SocketRun {
    /// The run reached the end of the world's time.
    Finished(Box<Report>),
    /// Ctrl-C interrupted the run; all of its processes have been ended.
    Interrupted,
}

/// The command that starts a node: this executable with the argument `node`.
fn node_command() -> Result<NodeCommand, CommandError> {
    let program = std::env::current_exe().map_err(CommandError::OwnExecutable)?;
    Ok(NodeCommand { program, arguments: vec!["node".into()] })
}

/// Runs a world on sockets until the end of the world's time or until Ctrl-C. `observe` is called with each snapshot of the run.
pub fn run_on_sockets(
    world: &World,
    seed: u64,
    observe: impl Fn(&Snapshot) + 'static,
) -> Result<SocketRun, CommandError> {
    let node = node_command()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(CommandError::Runtime)?;
    runtime.block_on(async {
        tokio::select! {
            report = ivyhatch_socket_lab::run(world, seed, &node, observe) => Ok(SocketRun::Finished(Box::new(report?))),
            _ = ctrl_c() => Ok(SocketRun::Interrupted),
        }
    })
}

/// Runs a world in virtual time and on sockets, with the same clients, and prints both results side by side.
pub fn compare_with_simulation(world: &World, seed: u64, as_json: bool) -> ExitCode {
    let simulated = simulate(world, seed, &mut |_| {});
    let steps = |seconds: f64| (seconds * PROGRESS_STEPS_PER_SECOND) as u64;
    let bar = progress_bar(steps(world.seconds), as_json, "on sockets [{bar:40}] {elapsed}");
    let observer = bar.clone();
    let outcome = run_on_sockets(world, seed, move |snapshot| observer.set_position(steps(snapshot.seconds)));
    bar.finish_and_clear();
    let measured = match outcome {
        Ok(SocketRun::Finished(report)) => report,
        Ok(SocketRun::Interrupted) => return ExitCode::from(INTERRUPTED),
        Err(error) => return report_unusable(error),
    };
    if as_json {
        println!("{}", serde_json::json!({ "virtual": simulated, "sockets": measured }));
    } else {
        print_comparison(world, seed, &simulated, &measured);
    }
    print_violations(&measured, seed);
    code_for_failures(simulated.rules_broken + measured.rules_broken)
}

fn print_comparison(world: &World, seed: u64, simulated: &Report, measured: &Report) {
    println!("{} with seed {seed}   {:>10} {:>10}", world.name, "virtual", "sockets");
    println!("{:<24} {:>10.3} {:>10.3}", "served in time", simulated.served, measured.served);
    for (simulated_class, measured_class) in simulated.classes.iter().zip(&measured.classes) {
        let print_row = |label: &str, simulated: f64, measured: f64| {
            println!(
                "{:<24} {simulated:>10.0} {measured:>10.0}",
                format!("{} {label}", simulated_class.name)
            );
        };
        print_row("asked", simulated_class.asked as f64, measured_class.asked as f64);
        print_row("p50 ms", simulated_class.p50_ms, measured_class.p50_ms);
        print_row("p99 ms", simulated_class.p99_ms, measured_class.p99_ms);
    }
    println!("{:<24} {:>10} {:>10}", "attempts", simulated.attempts, measured.attempts);
    println!("{:<24} {:>10} {:>10}", "into another zone", simulated.crossed, measured.crossed);
    println!("{:<24} {:>10} {:>10}", "probes", simulated.probes, measured.probes);
    println!("{:<24} {:>10} {:>10}", "rules broken", simulated.rules_broken, measured.rules_broken);
}
