//! Runs worlds on real sockets, with nodes that are processes of this program.

use std::io::{BufRead, BufReader};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Command, Stdio};

use ivyhatch_lab::{Fault, FaultKind, Report, ServerGroup, World, simulate};

/// A world with 3 nodes, 9 servers and 60 requests per second. The load is low, as these tests check the run on sockets and share their
/// machine with other work.
fn small_world(seconds: f64, faults: Vec<Fault>) -> World {
    let text = include_str!("../../lab/worlds/demo.toml");
    let mut world = World::read(text).expect("the demo world is valid");
    (world.seconds, world.nodes, world.faults) = (seconds, 3, faults);
    (world.clients.rate, world.clients.zone_shares) = (60.0, Vec::new());
    world.servers = vec![ServerGroup { count: 9, cores: 2, ..ServerGroup::default() }];
    world
}

/// Runs a world on sockets with seed 1.
fn run_on_sockets(world: &World) -> Report {
    let node = ivyhatch_socket_lab::NodeCommand {
        program: PathBuf::from(env!("CARGO_BIN_EXE_ivyhatch")),
        arguments: vec!["node".into()],
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime
        .block_on(ivyhatch_socket_lab::run(world, 1, &node, |_| {}))
        .expect("the world can be run on sockets")
}

/// Number of requests with an outcome, over all classes.
fn outcome_count(report: &Report) -> u64 {
    report
        .classes
        .iter()
        .map(|class| class.in_time + class.late + class.refused + class.failed + class.left)
        .sum()
}

#[test]
fn run_on_sockets_serves_as_much_as_the_simulation() {
    let world = small_world(5.0, vec![]);
    let (simulated, measured) = (simulate(&world, 1, &mut |_| {}), run_on_sockets(&world));
    assert_eq!(measured.rules_broken, 0, "violated invariants: {:?}", measured.broken);
    for (simulated_class, measured_class) in simulated.classes.iter().zip(&measured.classes) {
        assert_eq!(simulated_class.asked, measured_class.asked, "both runs have the same requests");
        assert!(
            measured_class.p50_ms >= 0.8 * simulated_class.p50_ms,
            "median latency on sockets {} ms, expected at least 0.8 of the simulated {} ms",
            measured_class.p50_ms,
            simulated_class.p50_ms
        );
    }
    assert_eq!(
        outcome_count(&measured),
        measured.classes.iter().map(|class| class.asked).sum::<u64>(),
        "each request has one outcome"
    );
    assert!(
        (simulated.served - measured.served).abs() < 0.1,
        "served ratio: {} simulated, {} on sockets",
        simulated.served,
        measured.served
    );
    assert!(measured.probes > 0, "nodes probe servers for their load");
}

#[test]
fn faults_on_sockets_violate_no_invariant_and_each_request_has_one_outcome() {
    let server_fault =
        |kind, from, to, servers: &[u32]| Fault { servers: servers.to_vec(), ..Fault::new(kind, from, to) };
    let faults = vec![
        server_fault(FaultKind::Restart, 0.5, 2.0, &[0]),
        server_fault(FaultKind::Drain, 1.0, 3.0, &[1]),
        Fault { zone: 2, ..Fault::new(FaultKind::ZonePartition, 1.5, 3.0) },
        Fault { nodes: vec![0], ..Fault::new(FaultKind::NodeCrash, 2.0, 3.0) },
        server_fault(FaultKind::Hang, 3.0, 3.5, &[3]),
        server_fault(FaultKind::Errors, 3.0, 4.5, &[4]),
        server_fault(FaultKind::FalseReadiness, 3.5, 4.5, &[6]),
        Fault::new(FaultKind::DiscoveryDown, 3.5, 4.5),
    ];
    let mut world = small_world(5.0, faults);
    world.clients.disconnect_ratio = 0.05;
    let report = run_on_sockets(&world);
    assert_eq!(report.rules_broken, 0, "violated invariants: {:?}", report.broken);
    assert_eq!(outcome_count(&report), report.classes.iter().map(|class| class.asked).sum::<u64>());
    assert!(report.served > 0.5, "served ratio {}, expected above 0.5", report.served);
    assert!(report.attempts > 0 && report.crossed > 0);
}

/// Closed-loop clients each have one request open at a time; the zones have 2, 1 and 0 shares of the 6 clients.
#[test]
fn closed_loop_clients_on_sockets_send_about_as_many_requests_as_in_the_simulation() {
    let mut world = small_world(4.0, vec![]);
    (world.clients.rate, world.clients.closed_clients, world.clients.zone_shares) =
        (0.0, 6, vec![2.0, 1.0, 0.0]);
    let (simulated, measured) = (simulate(&world, 1, &mut |_| {}), run_on_sockets(&world));
    assert_eq!(measured.rules_broken, 0, "violated invariants: {:?}", measured.broken);
    let request_count = |report: &Report| report.classes.iter().map(|class| class.asked).sum::<u64>() as f64;
    assert_eq!(outcome_count(&measured), request_count(&measured) as u64, "each request has one outcome");
    let ratio = request_count(&measured) / request_count(&simulated);
    assert!(
        (0.4..1.2).contains(&ratio),
        "{} requests on sockets, {} in virtual time",
        request_count(&measured),
        request_count(&simulated)
    );
    assert!(
        measured.most_descriptors > 10 && measured.most_memory_kb > 1000,
        "file descriptors and memory of a node process are measured: {measured:?}"
    );
}

#[test]
fn world_too_large_for_sockets_or_missing_program_is_rejected_with_the_reason() {
    let mut world = small_world(5.0, vec![]);
    let node = ivyhatch_socket_lab::NodeCommand { program: "no-such-program".into(), arguments: Vec::new() };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let run_error = |world: &World| {
        runtime.block_on(ivyhatch_socket_lab::run(world, 1, &node, |_| {})).unwrap_err().to_string()
    };
    assert!(run_error(&world).contains("no-such-program: No such file"), "{}", run_error(&world));
    world.servers[0].count = 1000;
    assert!(run_error(&world).contains("at most 600 listeners"), "{}", run_error(&world));
}

/// Number of running processes in a process group, from `/proc/*/stat`. Zombies, which have ended and wait for their parent to reap
/// them, do not count.
fn running_processes_in_group(group_id: u32) -> usize {
    let processes = std::fs::read_dir("/proc").expect("/proc can be read, as on Linux").flatten();
    let stats = processes.filter_map(|entry| std::fs::read_to_string(entry.path().join("stat")).ok());
    // The fields after the process name in parentheses are state, parent process id and process group id.
    let is_running = |stat: &String| {
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        fields.first().is_some_and(|state| *state != "Z")
            && fields.get(2) == Some(&group_id.to_string().as_str())
    };
    stats.filter(is_running).count()
}

#[test]
fn interrupted_demo_leaves_no_process_running() {
    let mut demo = Command::new(env!("CARGO_BIN_EXE_ivyhatch"))
        .args(["demo", "--seconds", "600"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .process_group(0)
        .spawn()
        .expect("the demo can be started");
    let mut lines = BufReader::new(demo.stdout.take().unwrap()).lines();
    let shows_requests =
        |line: &std::io::Result<String>| line.as_ref().is_ok_and(|line| line.contains("asked"));
    assert!(lines.any(|line| shows_requests(&line)), "the demo prints its table");
    assert!(running_processes_in_group(demo.id()) >= 2, "the demo and its node are running");
    let signal_status = Command::new("kill").args(["-INT", &demo.id().to_string()]).status().unwrap();
    assert!(signal_status.success());
    assert_eq!(demo.wait().unwrap().code(), Some(130));
    // The system needs some time to remove killed processes: polls every 5 ms, at most 4000 times.
    let is_group_gone = (0..4000).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(5));
        running_processes_in_group(demo.id()) == 0
    });
    assert!(is_group_gone, "no process of the demo is running after the interrupt");
}

#[test]
fn demo_ends_by_itself_and_prints_faults_and_summary() {
    let output =
        Command::new(env!("CARGO_BIN_EXE_ivyhatch")).args(["demo", "--seconds", "4"]).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    for expected in
        ["zone 1 is cut off", "a neighbour takes 80 % of servers [0]", "in time;", "0 rules broken"]
    {
        assert!(text.contains(expected), "the output lacks {expected:?}: {text}");
    }
}
