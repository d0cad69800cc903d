//! `ivyhatch rollout`: restarts instances zone by zone and waits until each is ready. Stops by itself if an instance does not become ready,
//! or if the served ratio falls.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use ivyhatch_agent::{InstanceStatus, Phase};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::arguments::RolloutArguments;
use super::command::{CommandOptions, Verb, run_command};
use super::outcome::{CommandResult, Outcome, print_results};
use super::query::{Target, query_agents, sockets_for_change};
use super::runtime::block_on;
use super::selector::matches_any;
use super::served_ratio::FleetResponseCounts;
use crate::exit::report_wrong_usage;

/// Maximum of `--watch`, in seconds: one hour.
const MAX_WATCH_S: f64 = 3600.0;

/// Restarts the selected instances zone by zone.
pub fn rollout(arguments: &RolloutArguments) -> ExitCode {
    if !(arguments.watch > 0.0 && arguments.watch <= MAX_WATCH_S && (0.0..=1.0).contains(&arguments.fall)) {
        return report_wrong_usage("--watch: seconds above 0, an hour at most; --fall: from 0 to 1");
    }
    match sockets_for_change(&arguments.change) {
        Ok(sockets) => block_on(Rollout::new(arguments, sockets).run()),
        Err(code) => code,
    }
}

/// A rollout in progress.
struct Rollout<'a> {
    arguments: &'a RolloutArguments,
    sockets: Vec<PathBuf>,
    options: CommandOptions,
    results: Vec<CommandResult>,
    /// Why the remaining instances are not restarted; `None` while the rollout continues.
    stop_reason: Option<String>,
}

impl<'a> Rollout<'a> {
    fn new(arguments: &'a RolloutArguments, sockets: Vec<PathBuf>) -> Self {
        let options = CommandOptions::new(&arguments.change);
        Self { arguments, sockets, options, results: Vec::new(), stop_reason: None }
    }

    async fn run(mut self) -> ExitCode {
        let dry_run = self.arguments.change.dry_run;
        let zones = self.query_targets().await;
        if !self.results.is_empty() {
            self.stop_reason = Some("an agent does not answer".to_owned());
        }
        let baseline =
            if dry_run || self.stop_reason.is_some() { None } else { self.measure_served_ratio().await };
        for (zone, targets) in zones {
            // Restarts at most half of the zone's targets at a time, but at least one.
            for batch in targets.chunks((targets.len() / 2).max(1)) {
                self.run_batch(&zone, batch).await;
            }
            if self.stop_reason.is_none() && !dry_run {
                self.compare_with_baseline(&zone, baseline).await;
            }
        }
        print_results(self.results, self.arguments.change.agents.json)
    }

    /// The selected instances by zone. Adds a result for each agent that reports no status, because the served ratio of its instances
    /// can't be measured.
    async fn query_targets(&mut self) -> BTreeMap<String, Vec<Target>> {
        let mut zones = BTreeMap::<String, Vec<Target>>::new();
        for mut reply in query_agents(&self.sockets).await {
            match &mut reply.status {
                Err(error) => {
                    let error = error.to_string();
                    self.results.push(CommandResult::agent_unknown(&reply, error));
                }
                Ok(status) => {
                    let (socket, revision) = (&reply.socket, status.revision);
                    for instance in std::mem::take(&mut status.instances) {
                        if matches_any(&self.arguments.change.selectors, &instance) {
                            let zone = zones.entry(instance.zone.clone()).or_default();
                            zone.push(Target { socket: socket.clone(), revision, instance });
                        }
                    }
                }
            }
        }
        zones
    }

    /// Restarts a batch of instances concurrently. Stops the rollout if one of them does not become ready.
    async fn run_batch(&mut self, zone: &str, batch: &[Target]) {
        if let Some(reason) = &self.stop_reason {
            self.results.extend(batch.iter().map(|target| CommandResult {
                name: target.instance.name.clone(),
                outcome: Outcome::Refused(format!("stopped: {reason}")),
            }));
            return;
        }
        if self.arguments.change.dry_run {
            for target in batch {
                println!("would restart {} (zone {zone})", target.instance.name);
            }
            return;
        }
        let results = restart_all(batch, &self.options).await;
        if let Some(result) = results.iter().find(|result| !matches!(result.outcome, Outcome::Done(_))) {
            self.stop_reason = Some(format!("{} did not come back", result.name));
        }
        self.results.extend(results);
    }

    /// Stops the rollout if the served ratio is lower than before the rollout by more than `--fall`.
    async fn compare_with_baseline(&mut self, zone: &str, baseline: Option<f64>) {
        if let (Some(before), Some(now)) = (baseline, self.measure_served_ratio().await)
            && now < before - self.arguments.fall
        {
            self.stop_reason = Some(format!("after zone {zone} {now:.3} was served, {before:.3} before"));
        }
    }

    /// Measures the served ratio of all instances, selected or not, for `--watch` seconds. `None` if there are too few responses.
    async fn measure_served_ratio(&self) -> Option<f64> {
        let before = FleetResponseCounts::from_instances(&query_instances(&self.sockets).await);
        sleep(Duration::from_secs_f64(self.arguments.watch)).await;
        FleetResponseCounts::from_instances(&query_instances(&self.sockets).await).served_ratio_since(&before)
    }
}

/// The instances of all agents that respond.
async fn query_instances(sockets: &[PathBuf]) -> Vec<InstanceStatus> {
    let replies = query_agents(sockets).await;
    replies.into_iter().filter_map(|reply| Some(reply.status.ok()?.instances)).flatten().collect()
}

async fn restart_all(batch: &[Target], options: &CommandOptions) -> Vec<CommandResult> {
    let mut commands = JoinSet::new();
    for target in batch.iter().cloned() {
        let options = options.clone();
        commands.spawn_local(async move {
            let outcome = restart(&target, &options).await;
            CommandResult { name: target.instance.name, outcome }
        });
    }
    commands.join_all().await
}

/// Restarts an instance, unless it is stopped: a stopped instance is not meant to run.
async fn restart(target: &Target, options: &CommandOptions) -> Outcome {
    if target.instance.phase == Phase::Stopped {
        return Outcome::Done("stopped, and left so".into());
    }
    run_command(Verb::Restart, target, options).await
}
