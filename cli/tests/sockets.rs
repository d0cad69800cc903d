//! Worlds on real sockets, against this program's own node.

use std::io::{BufRead, BufReader};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Command, Stdio};

use ivyhatch_lab::{Fault, FaultKind, Report, ServerGroup, World, simulate};

/// A world of a few seconds, with little to do: what is tested is the sockets, on machines that do other things too.
fn world(seconds: f64, faults: Vec<Fault>) -> World {
    let text = include_str!("../../lab/worlds/demo.toml");
    let mut world = World::read(text).expect("sound");
    (world.seconds, world.nodes, world.faults) = (seconds, 3, faults);
    (world.clients.rate, world.clients.zone_shares) = (60.0, Vec::new());
    world.servers = vec![ServerGroup { count: 9, cores: 2, ..ServerGroup::default() }];
    world
}

fn on_sockets(world: &World) -> Report {
    let node = ivyhatch_socket_lab::NodeCommand {
        program: PathBuf::from(env!("CARGO_BIN_EXE_ivyhatch")),
        arguments: vec!["node".into()],
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(ivyhatch_socket_lab::run(world, 1, &node, |_| {})).expect("it plays")
}

fn ends(report: &Report) -> u64 {
    report
        .classes
        .iter()
        .map(|class| class.in_time + class.late + class.refused + class.failed + class.left)
        .sum()
}

#[test]
fn run_on_sockets_serves_what_the_simulation_serves() {
    let world = world(5.0, vec![]);
    let (model, real) = (simulate(&world, 1, &mut |_| {}), on_sockets(&world));
    assert_eq!(real.rules_broken, 0, "{:?}", real.broken);
    for (one, other) in model.classes.iter().zip(&real.classes) {
        assert_eq!(one.asked, other.asked, "the same clients");
        assert!(
            other.p50_ms >= 0.8 * one.p50_ms,
            "no faster than the model: {} {}",
            other.p50_ms,
            one.p50_ms
        );
    }
    assert_eq!(
        ends(&real),
        real.classes.iter().map(|class| class.asked).sum::<u64>(),
        "each came to one end"
    );
    assert!((model.served - real.served).abs() < 0.1, "{} {}", model.served, real.served);
    assert!(real.probes > 0, "servers are probed for their load");
}

#[test]
fn faults_on_sockets_violate_no_invariant_and_each_request_has_one_outcome() {
    let server =
        |kind, from, to, servers: &[u32]| Fault { servers: servers.to_vec(), ..Fault::new(kind, from, to) };
    let faults = vec![
        server(FaultKind::Restart, 0.5, 2.0, &[0]),
        server(FaultKind::Drain, 1.0, 3.0, &[1]),
        Fault { zone: 2, ..Fault::new(FaultKind::ZonePartition, 1.5, 3.0) },
        Fault { nodes: vec![0], ..Fault::new(FaultKind::NodeCrash, 2.0, 3.0) },
        server(FaultKind::Hang, 3.0, 3.5, &[3]),
        server(FaultKind::Errors, 3.0, 4.5, &[4]),
        server(FaultKind::FalseReadiness, 3.5, 4.5, &[6]),
        Fault::new(FaultKind::DiscoveryDown, 3.5, 4.5),
    ];
    let mut world = world(5.0, faults);
    world.clients.disconnect_ratio = 0.05;
    let report = on_sockets(&world);
    assert_eq!(report.rules_broken, 0, "{:?}", report.broken);
    assert_eq!(ends(&report), report.classes.iter().map(|class| class.asked).sum::<u64>());
    assert!(report.served > 0.5, "{}", report.served);
    assert!(report.attempts > 0 && report.crossed > 0);
}

/// As many at once as there are clients, each zone with its share of them.
#[test]
fn closed_loop_clients_on_sockets_send_about_as_many_requests_as_in_the_simulation() {
    let mut world = world(4.0, vec![]);
    (world.clients.rate, world.clients.closed_clients, world.clients.zone_shares) =
        (0.0, 6, vec![2.0, 1.0, 0.0]);
    let (model, real) = (simulate(&world, 1, &mut |_| {}), on_sockets(&world));
    assert_eq!(real.rules_broken, 0, "{:?}", real.broken);
    let asked = |report: &Report| report.classes.iter().map(|class| class.asked).sum::<u64>() as f64;
    assert_eq!(ends(&real), asked(&real) as u64, "each came to one end");
    let ratio = asked(&real) / asked(&model);
    assert!((0.4..1.2).contains(&ratio), "{} on sockets, {} in virtual time", asked(&real), asked(&model));
    assert!(real.most_descriptors > 10 && real.most_memory_kb > 1000, "{real:?}");
}

#[test]
fn world_too_large_for_sockets_or_missing_program_is_rejected_with_the_reason() {
    let mut world = world(5.0, vec![]);
    let node = ivyhatch_socket_lab::NodeCommand { program: "no-such-program".into(), arguments: Vec::new() };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let refused = |world: &World| {
        runtime.block_on(ivyhatch_socket_lab::run(world, 1, &node, |_| {})).unwrap_err().to_string()
    };
    assert!(refused(&world).contains("no-such-program: No such file"), "{}", refused(&world));
    world.servers[0].count = 1000;
    assert!(refused(&world).contains("at most 600 listeners"), "{}", refused(&world));
}

/// Processes of a group that run, by what the system shows of each: one that has ended may wait for its parent's notice.
fn group(id: u32) -> usize {
    let processes = std::fs::read_dir("/proc").expect("a Linux system").flatten();
    let stats = processes.filter_map(|entry| std::fs::read_to_string(entry.path().join("stat")).ok());
    // After the name in brackets: state, parent, group.
    let runs = |stat: &String| {
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        fields.first().is_some_and(|state| *state != "Z") && fields.get(2) == Some(&id.to_string().as_str())
    };
    stats.filter(runs).count()
}

#[test]
fn interrupted_demo_leaves_no_process_running() {
    let mut demo = Command::new(env!("CARGO_BIN_EXE_ivyhatch"))
        .args(["demo", "--seconds", "600"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .process_group(0)
        .spawn()
        .expect("it starts");
    let mut lines = BufReader::new(demo.stdout.take().unwrap()).lines();
    let serving = |line: &std::io::Result<String>| line.as_ref().is_ok_and(|line| line.contains("asked"));
    assert!(lines.any(|line| serving(&line)), "it shows its table");
    assert!(group(demo.id()) >= 2, "the demo and its node");
    let killed = Command::new("kill").args(["-INT", &demo.id().to_string()]).status().unwrap();
    assert!(killed.success());
    assert_eq!(demo.wait().unwrap().code(), Some(130));
    // Killed is not yet gone: the system takes a moment.
    let gone = (0..4000).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(5));
        group(demo.id()) == 0
    });
    assert!(gone, "a process is left running");
}

#[test]
fn demo_ends_by_itself_and_prints_faults_and_summary() {
    let output =
        Command::new(env!("CARGO_BIN_EXE_ivyhatch")).args(["demo", "--seconds", "4"]).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    for word in ["zone 1 is cut off", "a neighbour takes 80 % of servers [0]", "in time;", "0 rules broken"] {
        assert!(text.contains(word), "{word}: {text}");
    }
}
