//! `ivyhatch`: the command line.
//!
//! | exit code | meaning |
//! | --- | --- |
//! | 0 | success |
//! | 1 | an invariant was violated, a run failed, or a command failed at an instance |
//! | 2 | the arguments are not valid |
//! | 3 | a file or a resource cannot be used |
//! | 4 | a command was rejected for an instance, no instance matches, a call was rejected, or a lock was lost |
//! | 5 | the outcome at an instance or of a call is unknown |
//! | 130 | interrupted by Ctrl-C |
//!
//! `--help` prints the doc comments (`///`) of commands and arguments, from which clap takes its help texts. Comments for
//! readers of the code are written as `//` there.

mod config;
mod control_hunt;
mod coordination;
mod demo;
mod demo_table;
mod error;
mod exit;
mod experiment;
mod fleet;
mod hunt;
mod lab;
mod node;
mod progress;
mod report;
mod roles;
mod socket_run;
mod world_file;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

#[derive(Parser)]
#[command(name = "ivyhatch", version, about = "Load balancing for match servers, and its lab")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Shows one real node among stand-in servers while a zone is cut off and a server turns slow.
    Demo(demo::DemoArguments),
    /// Plays a model of the fleet, in virtual time or on sockets.
    Lab(lab::LabArguments),
    /// Runs one node in the foreground, as the configuration says that `EDGE_CONFIG` names, or as an instance of the operators'.
    Node(node::NodeArguments),
    /// Keeps the instances of the operators' configuration on this machine.
    Agent(fleet::AgentArguments),
    /// Shows instances: where each stands, why, and since when.
    Status(fleet::SelectionArguments),
    /// Has instances run.
    Start(fleet::ChangeArguments),
    /// Drains instances and ends them.
    Stop(fleet::ChangeArguments),
    /// Has instances take nothing new, and stay.
    Drain(fleet::ChangeArguments),
    /// Has drained instances take again.
    Undrain(fleet::ChangeArguments),
    /// Drains instances and starts them anew, also those that crashed too often.
    Restart(fleet::ChangeArguments),
    /// Restarts instances zone by zone, and stops by itself when less is served than before.
    Rollout(fleet::RolloutArguments),
    /// Shows instances again and again.
    Top(fleet::TopArguments),
    /// Prints the last lines of instances' logs.
    Logs(fleet::LogsArguments),
    /// Checks and shows the operators' configuration.
    #[command(subcommand)]
    Config(config::ConfigCommand),
}

fn main() -> ExitCode {
    // Roles and the commands for applications have parsers of their own, so that their arguments are independent of the operators'
    // commands below. Roles are started by deploy files.
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let Some(code) = roles::run_role(&arguments) {
        return code;
    }
    if let Some(code) = coordination::run_command(&arguments) {
        return code;
    }
    match Cli::parse().command {
        Command::Demo(arguments) => demo::run(&arguments),
        Command::Lab(arguments) => lab::run(arguments),
        Command::Node(arguments) => node::run(arguments),
        Command::Agent(arguments) => fleet::agent(&arguments),
        Command::Status(arguments) => fleet::status(&arguments),
        Command::Start(arguments) => fleet::change(fleet::Verb::Start, &arguments),
        Command::Stop(arguments) => fleet::change(fleet::Verb::Stop, &arguments),
        Command::Drain(arguments) => fleet::change(fleet::Verb::Drain, &arguments),
        Command::Undrain(arguments) => fleet::change(fleet::Verb::Undrain, &arguments),
        Command::Restart(arguments) => fleet::change(fleet::Verb::Restart, &arguments),
        Command::Rollout(arguments) => fleet::rollout(&arguments),
        Command::Top(arguments) => fleet::top(&arguments),
        Command::Logs(arguments) => fleet::logs(&arguments),
        Command::Config(command) => config::run(&command),
    }
}
