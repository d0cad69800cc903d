//! The command `ivyhatch lab`: its text and JSON output, and its exit codes.

use std::process::{Command, Output};

fn run_ivyhatch(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ivyhatch"))
        .args(arguments)
        .output()
        .expect("the ivyhatch program can be run")
}

fn text_of(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn lab_without_arguments_runs_the_built_in_world() {
    let output = run_ivyhatch(&["lab"]);
    assert!(output.status.success(), "{}", text_of(&output.stderr));
    let table = text_of(&output.stdout);
    assert!(table.contains("find-race") && table.contains("0 rules broken"), "{table}");
}

#[test]
fn lab_with_json_prints_one_object_per_line() {
    let output = run_ivyhatch(&["lab", "--json", "--seed", "7", "--seeds", "2"]);
    let lines: Vec<serde_json::Value> = text_of(&output.stdout)
        .lines()
        .map(|line| serde_json::from_str(line).expect("each line is JSON"))
        .collect();
    assert_eq!(lines.iter().map(|line| line["seed"].as_u64()).collect::<Vec<_>>(), [Some(7), Some(8)]);
    assert!(lines.iter().all(|line| line["served"].as_f64().is_some_and(|served| served > 0.5)));
}

#[test]
fn invalid_world_is_reported_with_its_file_and_field() {
    let missing = run_ivyhatch(&["lab", "no-such-world.toml"]);
    assert_eq!(missing.status.code(), Some(3));
    assert!(text_of(&missing.stderr).contains("no-such-world.toml"), "{}", text_of(&missing.stderr));
    let printed = run_ivyhatch(&["lab", "--print-world"]);
    let path = std::env::temp_dir().join(format!("ivyhatch-world-{}.toml", std::process::id()));
    std::fs::write(&path, text_of(&printed.stdout).replacen("nodes = 3", "nodes = 0", 1)).unwrap();
    let invalid = run_ivyhatch(&["lab", path.to_str().unwrap()]);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(invalid.status.code(), Some(3));
    let error = text_of(&invalid.stderr);
    assert!(error.contains("nodes: got 0, expected 1 to 10000") && error.contains(".toml"), "{error}");
    assert_eq!(run_ivyhatch(&["lab", "--seeds", "0"]).status.code(), Some(2), "exit code of a usage error");
}

#[test]
fn experiment_is_run_resumed_and_reported() {
    let folder = std::env::temp_dir().join(format!("ivyhatch-experiment-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("mine.toml");
    let manifest = concat!(
        "name = \"mine\"\nseeds = 2\n[[world]]\nname = \"short\"\n",
        "set = { seconds = 2.0, trouble = [] }\n", // wire name
        "[[variant]]\nname = \"module\"\n[[variant]]\nname = \"turns\"\npolicy = \"round_robin\"\n",
    );
    std::fs::write(&file, manifest).unwrap();
    let (file, results_folder) = (file.to_str().unwrap(), folder.join("out"));
    let run_experiment = |options: &[&str]| {
        let arguments =
            [&["lab", "experiment", file, "--out", results_folder.to_str().unwrap()], options].concat();
        run_ivyhatch(&arguments)
    };
    let first = run_experiment(&["--json"]);
    assert!(first.status.success(), "{}", text_of(&first.stderr));
    let summary: serde_json::Value = serde_json::from_slice(&first.stdout).expect("the summary is JSON");
    assert_eq!((summary["played"].as_u64(), summary["planned"].as_u64()), (Some(4), Some(4)));
    let report = std::fs::read(results_folder.join("report.html")).unwrap();
    // Truncates the last result, as an interrupted run does.
    let results = std::fs::read_to_string(results_folder.join("results.jsonl")).unwrap();
    std::fs::write(results_folder.join("results.jsonl"), &results[..results.len() - 10]).unwrap();
    let resumed = run_experiment(&[]);
    assert!(text_of(&resumed.stderr).contains("unfinished line"), "{}", text_of(&resumed.stderr));
    assert!(text_of(&resumed.stdout).contains("4 of 4 plays"), "{}", text_of(&resumed.stdout));
    assert_eq!(
        std::fs::read(results_folder.join("report.html")).unwrap(),
        report,
        "the report of the resumed run equals that of the first run"
    );
    // The variant now runs in a separate program, which is this same build, so its results do not differ.
    let manifest_with_program = manifest
        .replace("policy = \"round_robin\"", &format!("program = \"{}\"", env!("CARGO_BIN_EXE_ivyhatch")));
    std::fs::write(file, manifest_with_program).unwrap();
    let with_program = run_experiment(&["--json"]);
    let summary: serde_json::Value =
        serde_json::from_slice(&with_program.stdout).expect("the summary is JSON");
    let cells = summary["cells"].as_array().unwrap();
    let differences: Vec<f64> = cells.iter().filter_map(|cell| cell["difference"].as_f64()).collect();
    assert!(
        differences.len() >= 4 && differences.iter().all(|difference| *difference == 0.0),
        "differences between the variants, each expected to be 0: {differences:?}"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}
