//! `ivyhatch agent`, and the commands that ask agents: `status`, `start`, `stop`, `drain`, `undrain`, `restart`.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, IsTerminal};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use clap::Args;
use ivyhatch_agent::{Options, Outcome, Phase, Refusal, Shown, Status, Wanted};
use ivyhatch_wire::{WireError, ask};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::task::{JoinSet, LocalSet};
use tokio::time::sleep;

use crate::config::{self, DEFAULT_FILE};
use crate::rollout::{self, Rollout};
use crate::{bar, unusable};

/// Some instance failed.
const FAILED: u8 = 1;
/// Some command was refused, and nothing failed.
const REFUSED: u8 = 4;
/// Of some instance it is not known, and nothing failed or was refused.
const OPEN: u8 = 5;
/// An agent that does not say how it stands by then is not waited for.
const SAYS: Duration = Duration::from_secs(2);

#[derive(Args)]
pub struct Agent {
    /// The operators' file.
    #[arg(long, default_value = DEFAULT_FILE)]
    config: PathBuf,
    /// Where it is asked; without it, `agent.sock` in the file's agent.state.
    #[arg(long)]
    socket: Option<PathBuf>,
}

#[derive(Args)]
pub struct Agents {
    /// An agent's socket; may be given several times. Without it, the one that the file names.
    #[arg(long = "agent")]
    agents: Vec<PathBuf>,
    /// The operators' file, which names the agent's socket.
    #[arg(long, default_value = DEFAULT_FILE)]
    config: PathBuf,
    /// One JSON object a line, in place of the table.
    #[arg(long)]
    pub json: bool,
}

#[derive(Args)]
pub struct Show {
    /// Which instances: `all`, a name with `*` in it, `zone=a`, `tier=front` for a label; with commas for all of several.
    #[arg(default_value = "all")]
    selectors: Vec<String>,
    #[command(flatten)]
    agents: Agents,
}

#[derive(Args)]
pub struct Top {
    #[command(flatten)]
    show: Show,
    /// Seconds between two tables.
    #[arg(long, default_value_t = 1.0)]
    every: f64,
    /// Ends after so many.
    #[arg(long)]
    times: Option<u64>,
}

#[derive(Args)]
pub struct Logs {
    #[command(flatten)]
    show: Show,
    /// So many of each instance's last lines.
    #[arg(long, default_value_t = 20)]
    lines: usize,
}

#[derive(Args)]
pub struct Change {
    /// Which instances: `all`, a name with `*` in it, `zone=a`, `tier=front` for a label; with commas for all of several.
    #[arg(required = true)]
    pub selectors: Vec<String>,
    /// Seconds by which each instance has to be as asked.
    #[arg(long, default_value_t = 30.0)]
    deadline: f64,
    /// Shows what would be done, and does nothing.
    #[arg(long)]
    pub dry_run: bool,
    /// Does not ask before more than half of a zone is taken away.
    #[arg(long)]
    yes: bool,
    /// The command's id: given again, the same command is not done twice.
    #[arg(long)]
    id: Option<String>,
    /// Who asks; without it, the user's name.
    #[arg(long)]
    by: Option<String>,
    #[command(flatten)]
    pub agents: Agents,
}

/// What is asked of instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    Start,
    Stop,
    Drain,
    Undrain,
    Restart,
}

impl Verb {
    fn wanted(self) -> Wanted {
        match self {
            Self::Start | Self::Undrain | Self::Restart => Wanted::Running,
            Self::Stop => Wanted::Stopped,
            Self::Drain => Wanted::Drained,
        }
    }

    fn takes_away(self) -> bool {
        matches!(self, Self::Stop | Self::Drain | Self::Restart)
    }
}

/// What became of a command at one instance.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "result", content = "why", rename_all = "snake_case")]
pub enum End {
    Done(String),
    Refused(String),
    Failed(String),
    TimedOut(String),
    Unknown(String),
}

pub fn agent(agent: &Agent) -> ExitCode {
    let read = match config::read(&agent.config) {
        Ok(read) => read,
        Err(mistakes) => return config::tell(&mistakes, false),
    };
    badgerpost::log(read.config.log.level.parse().expect("checked"), read.config.log.format == "json");
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => return unusable(&format!("this program's own path: {error}")),
    };
    let socket = agent.socket.clone().unwrap_or_else(|| read.config.agent.state.join("agent.sock"));
    let options = Options { config: read.config, file: agent.config.clone(), program, socket };
    block_on(async move {
        let mut terminate = match tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate()) {
            Ok(signal) => signal,
            Err(error) => return unusable(&error.to_string()),
        };
        // Its nodes go on; the next agent finds them.
        tokio::select! {
            ended = ivyhatch_agent::run(options) => match ended {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => unusable(&error.to_string()),
            },
            _ = terminate.recv() => ExitCode::SUCCESS,
            _ = tokio::signal::ctrl_c() => ExitCode::from(130),
        }
    })
}

fn block_on<T>(what: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, what)
}

fn sockets(agents: &Agents) -> Result<Vec<PathBuf>, ExitCode> {
    if !agents.agents.is_empty() {
        return Ok(agents.agents.clone());
    }
    let read = config::read(&agents.config).map_err(|mistakes| config::tell(&mistakes, agents.json))?;
    Ok(vec![read.config.agent.state.join("agent.sock")])
}

/// Of one instance, or of all: who waits for one need not have all of them read out again and again.
async fn status_of(socket: &Path, instance: Option<&str>) -> Result<Status, String> {
    let answer = ask(socket, &json!({"op": "status", "instance": instance}), SAYS)
        .await
        .map_err(|error| error.to_string())?;
    match answer.get("error") {
        Some(error) => Err(error.to_string()),
        None => {
            serde_json::from_value(answer).map_err(|error| format!("it answered what is no status: {error}"))
        }
    }
}

/// All agents at once: one that does not answer holds up none.
pub async fn all_statuses(sockets: &[PathBuf]) -> Vec<(PathBuf, Result<Status, String>)> {
    let mut asked = JoinSet::new();
    for (number, socket) in sockets.iter().cloned().enumerate() {
        asked.spawn_local(async move {
            let status = status_of(&socket, None).await;
            (number, socket, status)
        });
    }
    let mut all = asked.join_all().await;
    all.sort_by_key(|(number, ..)| *number);
    all.into_iter().map(|(_, socket, status)| (socket, status)).collect()
}

/// Whether one of the selectors means this instance.
pub fn selects(selectors: &[String], shown: &Shown) -> bool {
    let fits = |part: &str| match part.split_once('=') {
        Some(("zone", zone)) => glob(zone, &shown.zone),
        Some((label, word)) => shown.labels.get(label).is_some_and(|has| glob(word, has)),
        None => part == "all" || glob(part, &shown.name),
    };
    selectors.iter().any(|selector| selector.split(',').all(fits))
}

/// `*` stands for anything.
fn glob(pattern: &str, text: &str) -> bool {
    let Some((head, rest)) = pattern.split_once('*') else { return pattern == text };
    let Some(text) = text.strip_prefix(head) else { return false };
    (0..=text.len()).any(|at| text.is_char_boundary(at) && glob(rest, &text[at..]))
}

fn word(phase: Phase, drained: bool) -> String {
    match (phase, drained) {
        (Phase::Draining, true) => "drained".into(),
        (phase, _) => json!(phase).as_str().unwrap_or("?").replace('_', " "),
    }
}

/// The table again and again, until Ctrl-C or so many times.
pub fn top(top: &Top) -> ExitCode {
    if !(top.every > 0.0 && top.every <= 3600.0) {
        eprintln!("ivyhatch: --every {}: seconds above 0, an hour at most", top.every);
        return ExitCode::from(2);
    }
    let mut shown = 0;
    loop {
        if std::io::stdout().is_terminal() {
            // Home, and clear from there.
            print!("\x1b[H\x1b[2J");
        }
        let code = status(&top.show);
        shown += 1;
        if top.times.is_some_and(|times| shown >= times) {
            return code;
        }
        std::thread::sleep(Duration::from_secs_f64(top.every));
    }
}

pub fn status(show: &Show) -> ExitCode {
    let sockets = match sockets(&show.agents) {
        Ok(sockets) => sockets,
        Err(code) => return code,
    };
    let all = block_on(all_statuses(&sockets));
    let (mut code, mut shown) = (0, 0);
    if !show.agents.json {
        println!(
            "{:<20} {:<8} {:<13} {:<9} {:>9} {:>6} {:>6}  why",
            "instance", "zone", "phase", "wanted", "since", "open", "starts"
        );
    }
    for (socket, status) in all {
        match status {
            Err(why) => {
                code = OPEN;
                match show.agents.json {
                    true => println!("{}", json!({"agent": socket, "result": "unknown", "why": why})),
                    false => println!("unknown: agent {}: {why}", socket.display()),
                }
            }
            Ok(status) => {
                for instance in status.instances.iter().filter(|instance| selects(&show.selectors, instance))
                {
                    shown += 1;
                    line(instance, show.agents.json);
                }
            }
        }
    }
    if shown == 0 && code == 0 {
        eprintln!("ivyhatch: no instance is meant by {}", show.selectors.join(" "));
        code = REFUSED;
    }
    ExitCode::from(code)
}

/// The last lines of each instance's log, by its agent.
pub fn logs(logs: &Logs) -> ExitCode {
    let (show, lines) = (&logs.show, logs.lines);
    let sockets = match sockets(&show.agents) {
        Ok(sockets) => sockets,
        Err(code) => return code,
    };
    block_on(async move {
        let mut code = 0;
        for (socket, status) in all_statuses(&sockets).await {
            let Ok(status) = status else {
                eprintln!("ivyhatch: agent {} does not answer", socket.display());
                code = OPEN;
                continue;
            };
            for shown in status.instances.iter().filter(|shown| selects(&show.selectors, shown)) {
                let what = json!({"op": "logs", "instance": shown.name, "lines": lines});
                match ask(&socket, &what, SAYS).await.map(|answer| answer["lines"].as_array().cloned()) {
                    Ok(Some(lines)) => {
                        lines.iter().filter_map(Value::as_str).for_each(|line| match show.agents.json {
                            true => println!("{}", json!({"instance": shown.name, "line": line})),
                            false => println!("{}: {line}", shown.name),
                        })
                    }
                    _ => code = OPEN,
                }
            }
        }
        ExitCode::from(code)
    })
}

fn line(shown: &Shown, as_json: bool) {
    if as_json {
        return println!("{}", json!(shown));
    }
    let open = shown.said.as_ref().map_or("-".into(), |(state, _)| state["open"].to_string());
    let wanted = json!(shown.wanted);
    println!(
        "{:<20} {:<8} {:<13} {:<9} {:>8.1}s {open:>6} {:>6}  {}",
        shown.name,
        shown.zone,
        word(shown.phase, shown.drained),
        wanted.as_str().unwrap_or("?"),
        shown.since_ms as f64 / 1000.0,
        shown.starts,
        shown.reason
    );
}

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

/// What all instances of a command have in common.
#[derive(Clone)]
pub struct Prepared {
    id: String,
    by: String,
    within: Duration,
}

pub fn prepare(change: &Change) -> Prepared {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_nanos());
    let id = change.id.clone().unwrap_or_else(|| format!("{since:x}-{}", std::process::id()));
    let by = change.by.clone().or_else(|| std::env::var("USER").ok()).unwrap_or_else(|| "unknown".into());
    Prepared { id, by, within: Duration::from_secs_f64(change.deadline) }
}

fn confirmed(taken: &[String]) -> bool {
    if !std::io::stdin().is_terminal() {
        return false;
    }
    eprint!("This takes away {}. Type yes to go on: ", taken.join(", "));
    let mut line = String::new();
    std::io::stdin().lock().read_line(&mut line).is_ok() && line.trim() == "yes"
}

/// Gives the command for one instance and waits until it is as asked.
pub async fn one(verb: Verb, socket: &Path, against: u64, shown: &Shown, prepared: &Prepared) -> End {
    let Prepared { id, by, within } = prepared;
    let begun = Instant::now();
    let left = || within.saturating_sub(begun.elapsed());
    let name = &shown.name;
    let what = match verb {
        Verb::Restart => json!({"op": "restart", "instance": name, "by": by}),
        verb => json!({"op": "apply", "id": format!("{id}/{name}"), "by": by, "against": against,
            "changes": [{"instance": name, "wanted": verb.wanted()}]}),
    };
    match ask(socket, &what, left()).await {
        Err(error @ WireError::Late(_)) => return End::TimedOut(format!("{error}; it may have been taken")),
        Err(error @ WireError::Nobody(_)) => return End::Unknown(error.to_string()),
        Err(error) => return End::Unknown(format!("{error}; it may have been taken")),
        Ok(answer) => {
            if let Some(error) = answer.get("error") {
                return End::Failed(error.as_str().map_or(error.to_string(), str::to_owned));
            }
            if let Ok(Outcome::Refused(refusal)) = serde_json::from_value(answer) {
                return End::Refused(worded(&refusal));
            }
        }
    }
    let mut last = "nothing was heard of it".to_owned();
    loop {
        if left().is_zero() {
            return End::TimedOut(format!("not so within {within:?}: {last}"));
        }
        match status_of(socket, Some(name)).await {
            Err(why) => last = why,
            Ok(status) => {
                let Some(now) = status.instances.first() else {
                    return End::Unknown("its agent does not have it any more".into());
                };
                last = format!("{}: {}", word(now.phase, now.drained), now.reason);
                let done = match verb {
                    Verb::Start | Verb::Undrain => now.phase == Phase::Ready,
                    Verb::Stop => now.phase == Phase::Stopped,
                    Verb::Drain => now.drained || now.phase == Phase::Stopped,
                    Verb::Restart => now.phase == Phase::Ready && now.pid != shown.pid,
                };
                if verb != Verb::Restart && now.wanted != verb.wanted() {
                    return End::Refused(format!("overtaken: {:?} is wanted now", now.wanted));
                }
                match now.phase {
                    _ if done => return End::Done(last),
                    Phase::Crashed => return End::Failed(last),
                    _ => {}
                }
            }
        }
        sleep(Duration::from_millis(50).min(left())).await;
    }
}

fn worded(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Conflict { other, .. } => {
            let (wanted, by, command) = (json!(other.wanted), &other.by, &other.command);
            format!(
                "in conflict with command {command} by {by}, which wants it {wanted} (revision {})",
                other.revision
            )
        }
        Refusal::Ahead { revision } => {
            format!("made against a revision that is not there yet; it is {revision}")
        }
        Refusal::IdTaken { by } => format!("the id was another command's, by {by}"),
    }
}

pub fn finish(mut ends: Vec<(String, End)>, as_json: bool) -> ExitCode {
    ends.sort_by(|one, other| one.0.cmp(&other.0));
    let mut text = String::new();
    let mut code = 0;
    for (name, end) in &ends {
        if as_json {
            let mut object = json!(end);
            object["instance"] = Value::from(name.as_str());
            let _ = writeln!(text, "{object}");
        } else {
            let (word, why) = match end {
                End::Done(why) => ("done", why),
                End::Refused(why) => ("refused", why),
                End::Failed(why) => ("failed", why),
                End::TimedOut(why) => ("timed out", why),
                End::Unknown(why) => ("unknown", why),
            };
            let _ = writeln!(text, "{name:<20} {word:<10} {why}");
        }
        let this = match end {
            End::Done(_) => 0,
            End::Failed(_) => FAILED,
            End::Refused(_) => REFUSED,
            End::TimedOut(_) | End::Unknown(_) => OPEN,
        };
        code = match (code, this) {
            (0, this) | (_, this @ FAILED) => this,
            (OPEN, REFUSED) => REFUSED,
            (code, _) => code,
        };
    }
    print!("{text}");
    ExitCode::from(code)
}
