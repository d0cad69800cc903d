//! `ivyhatch`: the command line. Exit codes: 0 all well, 1 a rule was broken or a play failed, 2 wrong use, 3 a file that can't
//! be used, 130 stopped by Ctrl-C.

mod config;
mod experiment;
mod fleet;
mod hunt;
mod lab;
mod rollout;
mod sockets;
mod system;

use std::io::IsTerminal;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};

#[derive(Parser)]
#[command(name = "ivyhatch", version, about = "Load balancing for match servers, and its lab")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Shows one real node among stand-in servers while a zone is cut off and a server turns slow.
    Demo(sockets::Demo),
    /// Plays a model of the fleet, in virtual time or on sockets.
    Lab(lab::Lab),
    /// Runs one node in the foreground, as the configuration says that `EDGE_CONFIG` names, or as an instance of the operators'.
    Node(config::Node),
    /// Keeps the instances of the operators' configuration on this machine.
    Agent(fleet::Agent),
    /// Shows instances: where each stands, why, and since when.
    Status(fleet::Show),
    /// Has instances run.
    Start(fleet::Change),
    /// Drains instances and ends them.
    Stop(fleet::Change),
    /// Has instances take nothing new, and stay.
    Drain(fleet::Change),
    /// Has drained instances take again.
    Undrain(fleet::Change),
    /// Drains instances and starts them anew, also those that crashed too often.
    Restart(fleet::Change),
    /// Restarts instances zone by zone, and stops by itself when less is served than before.
    Rollout(rollout::Rollout),
    /// Shows instances again and again.
    Top(fleet::Top),
    /// Prints the last lines of instances' logs.
    Logs(fleet::Logs),
    /// Checks and shows the operators' configuration.
    #[command(subcommand)]
    Config(config::Config),
}

fn main() -> ExitCode {
    // The roles of the system, apart: they have one argument, and start where nobody reads help.
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let Some(ended) = system::role(&arguments) {
        return ended;
    }
    match Cli::parse().command {
        Command::Demo(demo) => sockets::demo(&demo),
        Command::Lab(lab) => lab::run(lab),
        Command::Node(node) => config::node(node),
        Command::Agent(agent) => fleet::agent(&agent),
        Command::Status(show) => fleet::status(&show),
        Command::Start(change) => fleet::change(fleet::Verb::Start, &change),
        Command::Stop(change) => fleet::change(fleet::Verb::Stop, &change),
        Command::Drain(change) => fleet::change(fleet::Verb::Drain, &change),
        Command::Undrain(change) => fleet::change(fleet::Verb::Undrain, &change),
        Command::Restart(change) => fleet::change(fleet::Verb::Restart, &change),
        Command::Rollout(rollout) => fleet::rollout(&rollout),
        Command::Top(top) => fleet::top(&top),
        Command::Logs(logs) => fleet::logs(&logs),
        Command::Config(command) => config::run(&command),
    }
}

fn unusable(text: &str) -> ExitCode {
    eprintln!("ivyhatch: {text}");
    ExitCode::from(3)
}

/// A progress bar on standard error; hidden where nobody watches, or where `quiet`.
fn bar(length: u64, quiet: bool, template: &str) -> ProgressBar {
    if quiet || !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template(template).expect("a sound template");
    ProgressBar::new(length).with_style(style)
}

/// As many as there are cores.
fn threads() -> usize {
    std::thread::available_parallelism().map_or(1, std::num::NonZero::get)
}
