//! `ivyhatch start`, `stop`, `drain`, `undrain` and `restart`: one command for all selected instances.

use std::collections::BTreeMap;
use std::io::{BufRead, IsTerminal, stdin};
use std::path::PathBuf;
use std::process::ExitCode;

use ivyhatch_agent::Phase;
use tokio::task::JoinSet;

use super::arguments::ChangeArguments;
use super::command::{CommandOptions, Verb, run_command};
use super::outcome::{CommandResult, Outcome, print_results};
use super::query::{Target, phase_name, query_agents, sockets_for_change};
use super::runtime::block_on;
use super::selector::matches_any;
use crate::exit::REJECTED;
use crate::progress::progress_bar;

/// Numbers of instances in a zone, with which the effect of a command on the zone's capacity is checked.
#[derive(Default)]
struct ZoneCapacity {
    /// Instances in any phase.
    instances: u32,
    /// Instances that are ready, and so serve requests.
    serving: u32,
    /// Instances that the command selects and that are ready.
    selected_serving: u32,
}

impl ZoneCapacity {
    /// Number of instances that serve while the command takes the selected ones out of service.
    fn remaining_serving(&self) -> u32 {
        self.serving - self.selected_serving
    }

    /// Whether the command takes instances out of service so that fewer than half of the zone's instances serve.
    fn falls_below_half(&self) -> bool {
        self.selected_serving > 0 && 2 * self.remaining_serving() < self.instances
    }
}

/// The instances that a command selects, and the capacity of all zones, as the agents report them.
#[derive(Default)]
struct Selection {
    targets: Vec<Target>,
    zones: BTreeMap<String, ZoneCapacity>,
    /// A result with an unknown outcome for each agent that reported no status.
    agents_without_status: Vec<CommandResult>,
}

impl Selection {
    async fn query(sockets: &[PathBuf], selectors: &[String]) -> Self {
        let mut selection = Self::default();
        for mut reply in query_agents(sockets).await {
            match &mut reply.status {
                Err(error) => {
                    let error = error.to_string();
                    selection.agents_without_status.push(CommandResult::agent_unknown(&reply, error));
                }
                Ok(status) => {
                    for instance in std::mem::take(&mut status.instances) {
                        let (socket, revision) = (reply.socket.clone(), status.revision);
                        selection.add(Target { socket, revision, instance }, selectors);
                    }
                }
            }
        }
        selection
    }

    fn add(&mut self, target: Target, selectors: &[String]) {
        let zone = self.zones.entry(target.instance.zone.clone()).or_default();
        let serving = u32::from(target.instance.phase == Phase::Ready);
        zone.instances += 1;
        zone.serving += serving;
        if matches_any(selectors, &target.instance) {
            zone.selected_serving += serving;
            self.targets.push(target);
        }
    }

    /// A description of each zone of which fewer than half of the instances would serve.
    fn capacity_warnings(&self, verb: Verb) -> Vec<String> {
        let zones = self.zones.iter().filter(|(_, zone)| verb.removes_capacity() && zone.falls_below_half());
        let describe = |(name, zone): (&String, &ZoneCapacity)| {
            let ZoneCapacity { instances, selected_serving, .. } = zone;
            format!(
                "{selected_serving} of zone {name}, of whose {instances} {} would serve",
                zone.remaining_serving()
            )
        };
        zones.map(describe).collect()
    }
}

/// Runs a command for all selected instances, and prints one result for each of them.
pub fn change(verb: Verb, arguments: &ChangeArguments) -> ExitCode {
    match sockets_for_change(arguments) {
        Ok(sockets) => block_on(change_selected(verb, arguments, sockets)),
        Err(code) => code,
    }
}

async fn change_selected(verb: Verb, arguments: &ChangeArguments, sockets: Vec<PathBuf>) -> ExitCode {
    let selection = Selection::query(&sockets, &arguments.selectors).await;
    if selection.targets.is_empty() && selection.agents_without_status.is_empty() {
        eprintln!("ivyhatch: no instance is meant by {}", arguments.selectors.join(" "));
        return ExitCode::from(REJECTED);
    }
    let warnings = selection.capacity_warnings(verb);
    let Selection { targets, agents_without_status: mut results, .. } = selection;
    if arguments.dry_run {
        print_dry_run(verb, &targets, &warnings);
    } else if !warnings.is_empty() && !arguments.yes && !confirm(&warnings) {
        let reason = format!("it takes away {}; --yes if that is meant", warnings.join(", "));
        results.extend(targets.into_iter().map(|target| CommandResult {
            name: target.instance.name,
            outcome: Outcome::Refused(reason.clone()),
        }));
    } else {
        results.extend(run_all(verb, arguments, targets).await);
    }
    print_results(results, arguments.agents.json)
}

fn print_dry_run(verb: Verb, targets: &[Target], warnings: &[String]) {
    for Target { instance, .. } in targets {
        println!("would {verb:?} {} ({})", instance.name, phase_name(instance.phase, instance.drained));
    }
    for warning in warnings {
        println!("takes away {warning}, and would ask first");
    }
}

/// Runs the command for all targets concurrently.
async fn run_all(verb: Verb, arguments: &ChangeArguments, targets: Vec<Target>) -> Vec<CommandResult> {
    let options = CommandOptions::new(arguments);
    let bar = progress_bar(targets.len() as u64, arguments.agents.json, "{bar:40} {pos}/{len} {msg}");
    let mut commands = JoinSet::new();
    for target in targets {
        let (options, bar) = (options.clone(), bar.clone());
        commands.spawn_local(async move {
            let outcome = run_command(verb, &target, &options).await;
            bar.inc(1);
            CommandResult { name: target.instance.name, outcome }
        });
    }
    let results = commands.join_all().await;
    bar.finish_and_clear();
    results
}

/// Asks the operator for confirmation. Returns `false` without asking if standard input is not a terminal.
fn confirm(warnings: &[String]) -> bool {
    if !stdin().is_terminal() {
        return false;
    }
    eprint!("This takes away {}. Type yes to go on: ", warnings.join(", "));
    let mut line = String::new();
    stdin().lock().read_line(&mut line).is_ok() && line.trim() == "yes"
}
