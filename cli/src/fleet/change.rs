//! `ivyhatch start`, `stop`, `drain`, `undrain`, `restart` and `rollout`: a command for many instances at once.

use std::collections::BTreeMap;
use std::io::{BufRead, IsTerminal};
use std::path::PathBuf;
use std::process::ExitCode;

use ivyhatch_agent::Phase;
use tokio::task::JoinSet;

use super::arguments::Change;
use super::block_on;
use super::command::{Verb, one, prepare};
use super::outcome::{End, REFUSED, finish};
use super::query::{all_statuses, selects, sockets, word};
use crate::bar;
use crate::rollout::{self, Rollout};

pub fn rollout(rollout: &Rollout) -> ExitCode {
    if !(rollout.watch > 0.0 && rollout.watch <= 3600.0 && (0.0..=1.0).contains(&rollout.fall)) {
        eprintln!("ivyhatch: --watch: seconds above 0, an hour at most; --fall: from 0 to 1");
        return ExitCode::from(2);
    }
    with_sockets(&rollout.change, |sockets| block_on(rollout::rollout(rollout, sockets)))
}

pub fn change(verb: Verb, change: &Change) -> ExitCode {
    with_sockets(change, |sockets| block_on(change_all(verb, change, sockets)))
}

fn with_sockets(change: &Change, what: impl FnOnce(Vec<PathBuf>) -> ExitCode) -> ExitCode {
    if !(change.deadline > 0.0 && change.deadline <= 86_400.0) {
        eprintln!("ivyhatch: --deadline {}: seconds above 0, a day at most", change.deadline);
        return ExitCode::from(2);
    }
    match sockets(&change.agents) {
        Ok(sockets) => what(sockets),
        Err(code) => code,
    }
}

async fn change_all(verb: Verb, change: &Change, sockets: Vec<PathBuf>) -> ExitCode {
    let (mut ends, mut meant, mut zones) = (Vec::new(), Vec::new(), BTreeMap::new());
    for (socket, status) in all_statuses(&sockets).await {
        match status {
            Err(why) => ends.push((format!("agent {}", socket.display()), End::Unknown(why))),
            Ok(status) => {
                for shown in status.instances {
                    let zone: &mut (u32, u32, u32) = zones.entry(shown.zone.clone()).or_default();
                    let serves = u32::from(shown.phase == Phase::Ready);
                    *zone = (zone.0 + 1, zone.1 + serves, zone.2);
                    if selects(&change.selectors, &shown) {
                        zone.2 += serves;
                        meant.push((socket.clone(), status.revision, shown));
                    }
                }
            }
        }
    }
    if meant.is_empty() && ends.is_empty() {
        eprintln!("ivyhatch: no instance is meant by {}", change.selectors.join(" "));
        return ExitCode::from(REFUSED);
    }
    let taken: Vec<String> = zones
        .iter()
        .filter(|(_, (all, serving, taken))| verb.takes_away() && *taken > 0 && 2 * (serving - taken) < *all)
        .map(|(zone, (all, serving, taken))| {
            format!("{taken} of zone {zone}, of whose {all} {} would serve", serving - taken)
        })
        .collect();
    if change.dry_run {
        for (_, _, shown) in &meant {
            println!("would {verb:?} {} ({})", shown.name, word(shown.phase, shown.drained));
        }
        taken.iter().for_each(|taken| println!("takes away {taken}, and would ask first"));
        return finish(ends, change.agents.json);
    }
    if !taken.is_empty() && !change.yes && !confirmed(&taken) {
        ends.extend(meant.into_iter().map(|(_, _, shown)| {
            (shown.name, End::Refused(format!("it takes away {}; --yes if that is meant", taken.join(", "))))
        }));
        return finish(ends, change.agents.json);
    }
    let prepared = prepare(change);
    let bar = bar(meant.len() as u64, change.agents.json, "{bar:40} {pos}/{len} {msg}");
    let mut running = JoinSet::new();
    for (socket, revision, shown) in meant {
        let (prepared, bar) = (prepared.clone(), bar.clone());
        running.spawn_local(async move {
            let name = shown.name.clone();
            let end = one(verb, &socket, revision, &shown, &prepared).await;
            bar.inc(1);
            (name, end)
        });
    }
    ends.extend(running.join_all().await);
    bar.finish_and_clear();
    finish(ends, change.agents.json)
}

fn confirmed(taken: &[String]) -> bool {
    if !std::io::stdin().is_terminal() {
        return false;
    }
    eprint!("This takes away {}. Type yes to go on: ", taken.join(", "));
    let mut line = String::new();
    std::io::stdin().lock().read_line(&mut line).is_ok() && line.trim() == "yes"
}
