//! Worlds on loopback sockets: `ivyhatch lab --sockets` and `ivyhatch demo`.

use std::cell::RefCell;
use std::io::{IsTerminal, Write};
use std::process::ExitCode;

use clap::Args;
use ivyhatch_lab::{Report, World, simulate};
use ivyhatch_socket_lab::{NodeCommand, Snapshot, SocketLabError, ZoneSnapshot};

use crate::unusable;

/// This program runs a node as well.
fn node() -> Result<NodeCommand, String> {
    let program = std::env::current_exe().map_err(|error| format!("this program's own file: {error}"))?;
    Ok(NodeCommand { program, arguments: vec!["node".into()] })
}

/// Plays a world on sockets, until it is over or Ctrl-C comes; none for the latter.
fn play_real(
    world: &World,
    seed: u64,
    watch: impl Fn(&Snapshot) + 'static,
) -> Result<Option<Report>, String> {
    let node = node()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("can't start: {error}"))?;
    runtime.block_on(async {
        tokio::select! {
            report = ivyhatch_socket_lab::run(world, seed, &node, watch) => report.map(Some).map_err(|error: SocketLabError| error.to_string()),
            _ = tokio::signal::ctrl_c() => Ok(None),
        }
    })
}

/// Plays a world in virtual time and on sockets, with the same clients, and puts both side by side.
pub fn both(world: &World, seed: u64, json: bool) -> ExitCode {
    let model = simulate(world, seed, &mut |_| {});
    let bar = crate::bar((world.seconds * 10.0) as u64, json, "on sockets [{bar:40}] {elapsed}");
    let watched = bar.clone();
    let real = play_real(world, seed, move |now| watched.set_position((now.seconds * 10.0) as u64));
    bar.finish_and_clear();
    let real = match real {
        Ok(Some(real)) => real,
        Ok(None) => return ExitCode::from(130),
        Err(error) => return unusable(&error),
    };
    if json {
        println!("{}", serde_json::json!({ "virtual": model, "sockets": real }));
    } else {
        println!("{} with seed {seed}   {:>10} {:>10}", world.name, "virtual", "sockets");
        println!("{:<24} {:>10.3} {:>10.3}", "served in time", model.served, real.served);
        for (one, other) in model.classes.iter().zip(&real.classes) {
            let line = |what: &str, a: f64, b: f64| {
                println!("{:<24} {a:>10.0} {b:>10.0}", format!("{} {what}", one.name))
            };
            line("asked", one.asked as f64, other.asked as f64);
            line("p50 ms", one.p50_ms, other.p50_ms);
            line("p99 ms", one.p99_ms, other.p99_ms);
        }
        println!("{:<24} {:>10} {:>10}", "attempts", model.attempts, real.attempts);
        println!("{:<24} {:>10} {:>10}", "into another zone", model.crossed, real.crossed);
        println!("{:<24} {:>10} {:>10}", "probes", model.probes, real.probes);
        println!("{:<24} {:>10} {:>10}", "rules broken", model.rules_broken, real.rules_broken);
    }
    told(&real, seed);
    if model.rules_broken + real.rules_broken > 0 { ExitCode::from(1) } else { ExitCode::SUCCESS }
}

fn told(report: &Report, seed: u64) {
    for broken in &report.broken {
        eprintln!("rule broken in {} with seed {seed}: {:?}", report.world, broken.rule);
        broken.events.iter().for_each(|event| eprintln!("    {event}"));
    }
}

#[derive(Args)]
pub struct Demo {
    /// Seconds that it takes; its troubles are spread over them.
    #[arg(long, default_value_t = 24.0, value_parser = seconds)]
    seconds: f64,
    /// Drives the clients.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The report as one JSON object, in place of the table.
    #[arg(long)]
    json: bool,
}

fn seconds(text: &str) -> Result<f64, String> {
    let seconds: f64 = text.parse().map_err(|_| "a number of seconds".to_owned())?;
    if (4.0..=3600.0).contains(&seconds) { Ok(seconds) } else { Err("4 to 3600 seconds".into()) }
}

const WORLD: &str = include_str!("../../lab/worlds/demo.toml");

/// A small fleet round one real node: a zone is cut off, then a server turns slow.
pub fn demo(demo: &Demo) -> ExitCode {
    let mut world = World::read(WORLD).expect("the built-in world is sound");
    let scale = demo.seconds / world.seconds;
    world.seconds = demo.seconds;
    world
        .faults
        .iter_mut()
        .for_each(|fault| (fault.start_s, fault.end_s) = (fault.start_s * scale, fault.end_s * scale));
    if !demo.json {
        println!(
            "one real node in zone 0, nine stand-in servers in three zones, {} requests a second",
            world.clients.rate
        );
    }
    let (quiet, table) = (demo.json, Table::default());
    let report = play_real(&world, demo.seed, move |now| {
        if !quiet {
            table.show(now);
        }
    });
    let report = match report {
        Ok(Some(report)) => report,
        Ok(None) => {
            eprintln!("stopped; nothing is left running");
            return ExitCode::from(130);
        }
        Err(error) => return unusable(&error),
    };
    if demo.json {
        println!("{}", serde_json::to_string(&report).expect("a report is plain data"));
    } else {
        story(&report);
    }
    told(&report, demo.seed);
    if report.rules_broken > 0 { ExitCode::from(1) } else { ExitCode::SUCCESS }
}

fn story(report: &Report) {
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
    let asked: u64 = report.classes.iter().map(|class| class.asked).sum();
    let again = report.attempts.saturating_sub(asked);
    println!(
        "the node made {} attempts, {again} of them again elsewhere, {} into another zone,",
        report.attempts, report.crossed
    );
    println!(
        "and {} probes to see how loaded servers are; {} rules broken",
        report.probes, report.rules_broken
    );
}

/// The live table: drawn over itself in a terminal, line after line elsewhere.
#[derive(Default)]
struct Table {
    last: RefCell<Option<Snapshot>>,
    drawn: std::cell::Cell<usize>,
}

impl Table {
    fn show(&self, now: &Snapshot) {
        let mut lines = Vec::new();
        let before = self.last.replace(Some(now.clone()));
        let (outcomes, attempts) =
            before.map_or_else(Default::default, |before| (before.outcomes, before.attempts));
        let zone = |(number, zone): (usize, &ZoneSnapshot)| {
            let partitioned = if zone.partitioned { " CUT" } else { "" };
            let (servers, percent) = (zone.servers_in_service, zone.mean_utilisation * 100.0);
            format!("zone {number}: {servers} servers {percent:>3.0} %{partitioned}")
        };
        let zones: Vec<String> = now.zones.iter().enumerate().map(zone).collect();
        lines.push(format!("{:>5.1} s  {}", now.seconds, zones.join("   ")));
        lines.push(format!(
            "         asked {:>3}, in time {:>3}, late {}, refused {}, failed {}; {} attempts, {} into another zone",
            now.outcomes.requests - outcomes.requests,
            now.outcomes.in_time - outcomes.in_time,
            now.outcomes.late - outcomes.late,
            now.outcomes.rejected - outcomes.rejected,
            now.outcomes.failed - outcomes.failed,
            now.attempts.total - attempts.total,
            now.attempts.cross_zone - attempts.cross_zone
        ));
        let mut out = std::io::stdout().lock();
        let live = out.is_terminal();
        if live && self.drawn.get() > 0 {
            let _ = write!(out, "\x1b[{}A\x1b[J", self.drawn.get());
        }
        // Fault events stay; the table moves on below them.
        for event in &now.fault_events {
            let _ = writeln!(out, "{:>5.1} s  >> {event}", now.seconds);
        }
        if live || now.seconds.fract() < 0.5 {
            for line in &lines {
                let _ = writeln!(out, "{line}");
            }
        }
        self.drawn.set(if live { lines.len() } else { 0 });
    }
}
