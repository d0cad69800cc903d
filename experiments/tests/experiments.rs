//! End-to-end tests of experiments: interrupted experiments are completed, reports do not depend on the number of threads, and missing
//! results are reported.

use std::path::Path;

use ivyhatch_experiments::{
    BUILT_IN, Experiment, HuntConfig, Measure, Plan, Results, ResultsError, hunt, render_report, run_missing,
    summarise,
};
use ivyhatch_lab::{DEFAULT_WORLD, Policy, World};

const TEXT: &str = r#"
name = "small <one>"
seeds = 3
measures = ["served", "p99_ms", "crossed"]

[[world]]
name = "calm"
set = { "seconds" = 2.0, "trouble" = [] } # wire name

[[world]]
name = "crowded"
set = { "seconds" = 2.0, "trouble" = [], "clients.rate" = 400.0, "servers[0].count" = 3 } # wire name

[[variant]]
name = "module"

[[variant]]
name = "turns"
policy = "round_robin"
"#;

fn plan() -> Plan {
    Experiment::read(TEXT)
        .and_then(|experiment| experiment.plan(Path::new(""), "test"))
        .expect("the experiment is valid")
}

/// Executes the missing runs. Returns the results and the number of runs that had a result before.
fn run_to_completion(path: &Path, threads: usize) -> (Results, usize) {
    let mut results = Results::open(path).expect("the file can be opened");
    let (plan, mut first) = (plan(), None);
    let failures = run_missing(&plan, &mut results, threads, &mut |done, _| {
        first.get_or_insert(done);
    })
    .expect("all results are stored");
    assert!(failures.is_empty());
    (results, first.expect("progress is called first with the number of existing results"))
}

fn report(results: &Results) -> String {
    let plan = plan();
    render_report(&plan, results, &summarise(&plan, results))
}

#[test]
fn report_is_equal_on_one_thread_and_on_four() {
    let folder = tempfile::tempdir().unwrap();
    let one = report(&run_to_completion(&folder.path().join("one"), 1).0);
    assert_eq!(one, report(&run_to_completion(&folder.path().join("four"), 4).0));
    assert!(
        one.contains("small &lt;one&gt;") && one.contains("12 of 12 plays"),
        "names are escaped, and all runs have a result"
    );
    // Two plots in each of two worlds: served share over time, and latencies. Three seeds are too few for the plot of differences.
    assert_eq!(one.matches("<svg").count(), 4);
}

/// Wherever an interruption truncates the file, complete lines are kept, only the other runs are executed, and the report is that of
/// an experiment without interruption.
#[test]
fn results_truncated_at_any_byte_are_completed() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("uninterrupted");
    let uninterrupted = report(&run_to_completion(&path, 2).0);
    let bytes = std::fs::read(&path).unwrap();
    let lines = bytes.iter().filter(|byte| **byte == b'\n').count();
    assert_eq!(lines, 12);
    // Truncates at every byte near the ends of lines, elsewhere at every 997th only, since runs take time.
    let ends: Vec<usize> =
        bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n').map(|(at, _)| at).collect();
    for cut in 0..bytes.len() {
        let near = ends.iter().any(|end| cut.abs_diff(*end) < 2);
        if cut % 997 != 0 && !near {
            continue;
        }
        let path = folder.path().join(format!("cut-{cut}"));
        std::fs::write(&path, &bytes[..cut]).unwrap();
        let complete_lines = bytes[..cut].iter().filter(|byte| **byte == b'\n').count();
        let results = Results::open(&path).expect("the file can be opened");
        assert_eq!(results.unreadable_lines, 0);
        assert_eq!(
            std::fs::metadata(&path).unwrap().len() as usize,
            cut - results.truncated_bytes,
            "the file is truncated to complete lines"
        );
        drop(results);
        if near {
            let (results, first) = run_to_completion(&path, 4);
            assert_eq!(
                first, complete_lines,
                "truncated at {cut}: runs with complete lines are not repeated"
            );
            assert_eq!(report(&results), uninterrupted, "truncated at {cut}");
        }
    }
}

#[test]
fn unreadable_lines_stay_and_a_second_writer_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("results");
    std::fs::write(&path, "{\"run\": 5}\nnot even JSON\n").unwrap();
    let results = Results::open(&path).expect("the file can be opened");
    assert_eq!((results.unreadable_lines, results.truncated_bytes), (2, 0));
    assert!(matches!(Results::open(&path), Err(ResultsError::Busy)));
    drop(results);
    assert!(Results::open(&path).is_ok(), "the lock is released on drop");
}

/// Keys differ if any input of the run differs: the world, the variant, the seed or the build.
#[test]
fn results_of_another_build_or_world_have_other_keys() {
    let of = |text: &str, build: &str| {
        let plan =
            Experiment::read(text).and_then(|experiment| experiment.plan(Path::new(""), build)).unwrap();
        plan.runs().into_iter().map(|run| plan.key(run)).collect::<std::collections::BTreeSet<_>>()
    };
    let keys = of(TEXT, "test");
    assert_eq!(keys.len(), 12);
    assert!(keys.is_disjoint(&of(TEXT, "other")));
    assert_eq!(
        keys.intersection(&of(&TEXT.replace("400.0", "401.0"), "test")).count(),
        6,
        "the keys of the unchanged world `calm` are equal"
    );
    assert_eq!(keys.intersection(&of(&TEXT.replace("round_robin", "random"), "test")).count(), 6);
}

#[test]
fn invalid_experiment_is_rejected_with_the_field_and_what_it_should_be() {
    for (from, to, expected) in [
        ("seeds = 3", "seeds = 0", "seeds: 0: expected 1 to 100000"),
        ("\"served\"", "\"severed\"", "unknown variant `severed`"),
        (
            "\"clients.rate\"",
            "\"client.rate\"",
            "world \"crowded\": set: client.rate: expected a path into the world",
        ),
        ("servers[0]", "servers[9]", "set: servers[9].count: expected a path into the world"),
        ("400.0", "-4.0", "world \"crowded\": clients.rate: got -4, expected a number above 0"),
        (
            "name = \"turns\"",
            "name = \"module\"",
            "variant.name: module: duplicate name, expected a unique one",
        ),
        (
            "round_robin\"",
            "round_robin\"\nprobes = true",
            "variant[1].probes, second_copies: turns: no value, unless policy",
        ),
        ("policy = \"round_robin\"", "program = \"no-such\"", "variant[1].program: no-such: No such file"),
        ("seeds = 3", "seeds = 3\nbaseline = \"none\"", "baseline: none: expected the name of a variant"),
        (
            "name = \"calm\"",
            "name = \"calm\"\nbuilt_in = \"moon\"",
            "built_in: moon: expected one of evening, paper",
        ),
    ] {
        let text = TEXT.replacen(from, to, 1);
        assert_ne!(text, TEXT, "{from} occurs in the text");
        let error = Experiment::read(&text).and_then(|experiment| experiment.plan(Path::new(""), "test"));
        let error = error.expect_err(to).to_string();
        assert!(error.contains(expected), "{to}: {error}");
    }
}

/// A run whose program writes no report is returned as a failure; the results of the other runs are kept.
#[test]
fn program_without_a_report_is_a_failure_and_other_results_stay() {
    let folder = tempfile::tempdir().unwrap();
    let text = TEXT.replace("policy = \"round_robin\"", "program = \"/bin/false\"");
    let plan = Experiment::read(&text).and_then(|experiment| experiment.plan(folder.path(), "test")).unwrap();
    let mut results = Results::open(&folder.path().join("results")).unwrap();
    let failures = run_missing(&plan, &mut results, 2, &mut |_, _| {}).expect("the results are stored");
    assert_eq!(failures.len(), 6);
    assert!(
        failures[0].error.to_string().starts_with("/bin/false ended without a report: exit status: 1"),
        "{}",
        failures[0].error
    );
    let summary = summarise(&plan, &results);
    assert_eq!((summary.played, summary.planned), (6, 12));
    assert!(render_report(&plan, &results, &summary).contains("not played"));
}

#[test]
fn built_in_experiments_are_valid() {
    for (name, text) in BUILT_IN {
        let plan = Experiment::read(text).and_then(|experiment| experiment.plan(Path::new(""), "test"));
        let plan = plan.unwrap_or_else(|error| panic!("{name}: {error}"));
        assert!(plan.runs().len() > 100);
    }
}

/// The result of the paper, reproduced on its cluster: a higher latency between workers costs round robin and random most of their
/// throughput, and the paper's rule hardly any.
#[test]
fn delay_costs_round_robin_throughput_and_the_papers_rule_hardly_any() {
    let (_, text) = BUILT_IN.iter().find(|(name, _)| *name == "paper").expect("the experiment is built in");
    let mut experiment = Experiment::read(text).expect("the experiment is valid");
    experiment.seeds = 1;
    experiment
        .worlds
        .retain(|world| ["delay 3 ms, 8:8:8:8", "delay 18 ms, 8:8:8:8"].contains(&world.name.as_str()));
    experiment.variants.retain(|variant| variant.name != "module");
    for world in &mut experiment.worlds {
        world.set.insert("seconds".into(), 2.0.into());
    }
    let plan = experiment.plan(Path::new(""), "test").expect("the experiment is valid");
    let folder = tempfile::tempdir().unwrap();
    let mut results = Results::open(&folder.path().join("results")).unwrap();
    run_missing(&plan, &mut results, 2, &mut |_, _| {}).expect("the results are stored");
    let summary = summarise(&plan, &results);
    let throughput = |world: &str, variant: &str| {
        let of = |cell: &&ivyhatch_experiments::Cell| {
            cell.world.starts_with(world)
                && cell.variant == variant
                && cell.measure == Measure::Throughput.name()
        };
        summary.cells.iter().find(of).expect("the summary has the cell").mean
    };
    for policy in ["round robin", "random"] {
        assert!(throughput("delay 18", policy) < 0.3 * throughput("delay 3 ", policy), "{policy}");
    }
    assert!(throughput("delay 18", "paper at 0.9") > 0.9 * throughput("delay 3 ", "paper at 0.9"));
    assert!(throughput("delay 3 ", "paper at 0.9") > 1.1 * throughput("delay 3 ", "round robin"));
}

/// A hunt finds a world with a gap to the reference policies, shrinks it, and finds the same world with another number of threads.
#[test]
fn hunt_is_deterministic_and_shrinks_its_finding() {
    let mut initial = World::read(DEFAULT_WORLD).expect("the default world is valid");
    initial.seconds = 4.0;
    initial.faults.clear();
    let run_hunt = |threads, min_gap| {
        let references = vec![Policy::Paper, Policy::LeastRequests];
        let initial = initial.clone();
        let config = HuntConfig { initial, references, rounds: 2, seed: 5, threads, min_gap };
        hunt(&config, &mut |_, _, _| {})
    };
    let found = run_hunt(1, 0.0).expect("a world with a gap");
    let again = run_hunt(4, 0.0).expect("the same world");
    assert_eq!(found.world.write(), again.world.write());
    assert!(found.best.share > found.balancer_share && found.rules_broken == 0);
    World::read(&found.world.write()).expect("the written world can be read back");
    assert!(run_hunt(4, 1.0).is_none(), "no gap is that large");
}
