//! `ivyhatch rollout`: restarts instances zone by zone, waits for each, and stops by itself when less is served than before.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use ivyhatch_agent::{InstanceStatus, Phase};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::fleet::{Change, End, Verb, all_statuses, finish, one, prepare, selects};

/// Fewer answers than this in a watch say nothing of a share.
const ANSWERS: u64 = 20;

#[derive(Args)]
pub struct Rollout {
    #[command(flatten)]
    pub change: Change,
    /// Seconds for which the share served is watched, before the first zone and after each.
    #[arg(long, default_value_t = 10.0)]
    pub watch: f64,
    /// Stops when the share served is lower by so much than before, from 0 to 1.
    #[arg(long, default_value_t = 0.05)]
    pub fall: f64,
}

/// Answers of a process: served, and all. By instance and process, as a new process counts from 0.
type Counts = BTreeMap<(String, i32), (u64, u64)>;

fn counts(all: &[InstanceStatus]) -> Counts {
    let count = |shown: &InstanceStatus| {
        let (state, _) = shown.node_state.as_ref()?;
        let answers = |name: &str| state["answers"][name].as_u64();
        let (served, refused, failed) = (answers("served")?, answers("refused")?, answers("failed")?);
        Some(((shown.name.clone(), shown.pid?), (served, served + refused + failed)))
    };
    all.iter().filter_map(count).collect()
}

/// Share served between two looks; none where hardly anybody asked.
fn share(before: &Counts, after: &Counts) -> Option<f64> {
    let (mut served, mut asked) = (0, 0);
    for (which, now) in after {
        let then = before.get(which).copied().unwrap_or_default();
        served += now.0.saturating_sub(then.0);
        asked += now.1.saturating_sub(then.1);
    }
    (asked >= ANSWERS).then(|| served as f64 / asked as f64)
}

async fn look(sockets: &[PathBuf]) -> Vec<InstanceStatus> {
    let all = all_statuses(sockets).await;
    all.into_iter().filter_map(|(_, status)| Some(status.ok()?.instances)).flatten().collect()
}

async fn watched(sockets: &[PathBuf], seconds: f64) -> Option<f64> {
    let before = counts(&look(sockets).await);
    sleep(Duration::from_secs_f64(seconds)).await;
    share(&before, &counts(&look(sockets).await))
}

pub async fn rollout(rollout: &Rollout, sockets: Vec<PathBuf>) -> ExitCode {
    let change = &rollout.change;
    let (mut ends, mut zones) = (Vec::new(), BTreeMap::<String, Vec<(PathBuf, u64, InstanceStatus)>>::new());
    for (socket, status) in all_statuses(&sockets).await {
        match status {
            // Where a part of the fleet can't be seen, its health can't be either.
            Err(why) => ends.push((format!("agent {}", socket.display()), End::Unknown(why))),
            Ok(status) => {
                for shown in status.instances.into_iter().filter(|shown| selects(&change.selectors, shown)) {
                    zones.entry(shown.zone.clone()).or_default().push((
                        socket.clone(),
                        status.revision,
                        shown,
                    ));
                }
            }
        }
    }
    let mut stopped = (!ends.is_empty()).then(|| "an agent does not answer".to_owned());
    let prepared = prepare(change);
    let baseline =
        if change.dry_run || stopped.is_some() { None } else { watched(&sockets, rollout.watch).await };
    for (zone, instances) in zones {
        // Half of a zone at a time, and no more than one where there are few.
        for part in instances.chunks((instances.len() / 2).max(1)) {
            if let Some(why) = &stopped {
                ends.extend(
                    part.iter()
                        .map(|(.., shown)| (shown.name.clone(), End::Refused(format!("stopped: {why}")))),
                );
                continue;
            }
            if change.dry_run {
                part.iter().for_each(|(.., shown)| println!("would restart {} (zone {zone})", shown.name));
                continue;
            }
            let mut running = JoinSet::new();
            for (socket, revision, shown) in part.iter().cloned() {
                let prepared = prepared.clone();
                running.spawn_local(async move {
                    // What is not wanted is left as it is.
                    if shown.phase == Phase::Stopped {
                        return (shown.name, End::Done("stopped, and left so".into()));
                    }
                    let end = one(Verb::Restart, &socket, revision, &shown, &prepared).await;
                    (shown.name, end)
                });
            }
            let part = running.join_all().await;
            if let Some((name, _)) = part.iter().find(|(_, end)| !matches!(end, End::Done(_))) {
                stopped = Some(format!("{name} did not come back"));
            }
            ends.extend(part);
        }
        if stopped.is_some() || change.dry_run {
            continue;
        }
        if let (Some(before), Some(now)) = (baseline, watched(&sockets, rollout.watch).await)
            && now < before - rollout.fall
        {
            stopped = Some(format!("after zone {zone} {now:.3} was served, {before:.3} before"));
        }
    }
    finish(ends, change.agents.json)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_new_process_counts_from_nothing_and_few_answers_say_nothing() {
        let counts = |list: &[(&str, i32, u64, u64)]| -> Counts {
            list.iter().map(|&(name, pid, served, all)| ((name.to_owned(), pid), (served, all))).collect()
        };
        let before = counts(&[("a", 1, 1000, 1000), ("b", 2, 500, 600)]);
        let after = counts(&[("a", 9, 30, 40), ("b", 2, 530, 640)]);
        assert_eq!(share(&before, &after), Some(60.0 / 80.0));
        assert_eq!(share(&before, &counts(&[("a", 1, 1010, 1019)])), None);
    }
}
