//! The command as a person, or a script, meets it.

use std::process::{Command, Output};

fn ivyhatch(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ivyhatch")).args(arguments).output().expect("it starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn a_newcomer_plays_the_built_in_evening() {
    let output = ivyhatch(&["lab"]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let table = text(&output.stdout);
    assert!(table.contains("find-race") && table.contains("0 rules broken"), "{table}");
}

#[test]
fn a_script_gets_one_object_a_line() {
    let output = ivyhatch(&["lab", "--json", "--seed", "7", "--seeds", "2"]);
    let lines: Vec<serde_json::Value> =
        text(&output.stdout).lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
    assert_eq!(lines.iter().map(|line| line["seed"].as_u64()).collect::<Vec<_>>(), [Some(7), Some(8)]);
    assert!(lines.iter().all(|line| line["served"].as_f64().is_some_and(|served| served > 0.5)));
}

#[test]
fn what_can_not_be_used_is_named_with_its_file_and_field() {
    let missing = ivyhatch(&["lab", "no-such-world.toml"]);
    assert_eq!(missing.status.code(), Some(3));
    assert!(text(&missing.stderr).contains("no-such-world.toml"), "{}", text(&missing.stderr));
    let printed = ivyhatch(&["lab", "--print-world"]);
    let path = std::env::temp_dir().join(format!("ivyhatch-world-{}.toml", std::process::id()));
    std::fs::write(&path, text(&printed.stdout).replacen("nodes = 3", "nodes = 0", 1)).unwrap();
    let wrong = ivyhatch(&["lab", path.to_str().unwrap()]);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(wrong.status.code(), Some(3));
    let error = text(&wrong.stderr);
    assert!(error.contains("nodes: 0: 1 to 10000") && error.contains(".toml"), "{error}");
    assert_eq!(ivyhatch(&["lab", "--seeds", "0"]).status.code(), Some(2), "wrong use");
}
