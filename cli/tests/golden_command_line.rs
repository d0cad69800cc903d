//! Compares the output of commands that need no agent with golden files: the help of each command, usage errors, and the checks and
//! the printed settings of an operators' configuration file.

mod golden;

use std::path::Path;
use std::process::Command;

use golden::{assert_golden, assert_golden_folder};

/// The arguments of each command, separated by spaces; empty for the program without a command.
const COMMANDS: [&str; 34] = [
    "",
    "demo",
    "lab",
    "lab experiment",
    "lab hunt",
    "node",
    "agent",
    "status",
    "start",
    "stop",
    "drain",
    "undrain",
    "restart",
    "rollout",
    "top",
    "logs",
    "config",
    "config check",
    "config show",
    "config fields",
    "control",
    "router",
    "hunt",
    "lock",
    "lock run",
    "cell",
    "cell get",
    "cell put",
    "cell watch",
    "number",
    "number next",
    "help lab",
    "help config",
    "--version",
];

/// The name of the golden file with a command's help.
fn help_file_name(command: &str) -> String {
    let name = if command.is_empty() { "ivyhatch" } else { command };
    format!("{}.txt", name.trim_start_matches('-').replace(' ', "-"))
}

/// Runs the program in a folder with an empty environment; returns its exit code, standard output and standard error as text.
fn output_in(folder: &Path, arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivyhatch"));
    let output = command
        .args(arguments)
        .env_clear()
        .current_dir(folder)
        .output()
        .expect("the ivyhatch program can be run");
    let to_text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("the output is UTF-8");
    format!(
        "exit code {}\n\n## standard output\n{}\n## standard error\n{}",
        output.status.code().expect("the program ends with an exit code"),
        to_text(&output.stdout),
        to_text(&output.stderr),
    )
}

/// Like [`output_in`], in the folder of this crate.
fn output(arguments: &[&str]) -> String {
    output_in(Path::new(env!("CARGO_MANIFEST_DIR")), arguments)
}

#[test]
fn each_command_prints_its_help() {
    for command in COMMANDS {
        let mut arguments: Vec<&str> = command.split_whitespace().collect();
        if !command.starts_with("help") && !command.starts_with('-') {
            arguments.push("--help");
        }
        let text = output(&arguments).replace(env!("CARGO_PKG_VERSION"), "<version>");
        assert_golden(&format!("help/{}", help_file_name(command)), &text);
    }
    assert_golden_folder("help", &COMMANDS.map(help_file_name));
}

#[test]
fn usage_errors_are_reported() {
    let mut transcript = String::new();
    for arguments in [
        vec![],
        vec!["nothing"],
        vec!["start"],
        vec!["start", "all", "--nothing"],
        vec!["lab", "--seed", "x"],
        vec!["control", "--nothing"],
        vec!["router", "x"],
        vec!["hunt", "--seed", "x"],
        vec!["config"],
        vec!["config", "nothing"],
    ] {
        let output = output(&arguments);
        transcript += &format!("# ivyhatch {}\n{output}\n", arguments.join(" "));
    }
    assert_golden("wrong_usage.txt", &transcript);
}

#[test]
fn config_fields_lists_all_fields() {
    assert_golden("config_fields.txt", &output(&["config", "fields"]));
    assert_golden("config_fields_json.txt", &output(&["config", "fields", "--json"]));
}

/// A valid operators' configuration file with both kinds of table: sections and lists of named items.
const VALID_FILE: &str = r#"
version = 1
[log]
format = "json"
[fleet]
zones = ["a", "b"]
discovery = "127.0.0.1:9000"
[limits]
sockets = 512
[agent]
state = "state"
[[class]]
name = "find"
effect = "repeatable"
aim_ms = 800
deadline_ms = 3000
[[instance]]
name = "a-1"
zone = "a"
labels = { tier = "front" }
[[instance]]
name = "b-1"
zone = "b"
enabled = false
"#;

/// An operators' configuration file with several errors: an unknown field, and invalid values.
const INVALID_FILE: &str = r#"
version = 1
[fleet]
zones = ["a"]
discovery = "nowhere"
unknown = 1
[limits]
sockets = -1
[[instance]]
name = "a-1"
zone = "z"
"#;

#[test]
fn configuration_files_are_checked_and_printed() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    std::fs::write(folder.path().join("sound.toml"), VALID_FILE).expect("sound.toml can be written");
    std::fs::write(folder.path().join("wrong.toml"), INVALID_FILE).expect("wrong.toml can be written");
    let mut transcript = String::new();
    for command_line in [
        "config check sound.toml",
        "config check sound.toml --json",
        "config show sound.toml",
        "config show sound.toml --origin",
        "config show sound.toml --json",
        "config check wrong.toml",
        "config check wrong.toml --json",
        "config check missing.toml",
        "node --config sound.toml --instance nothing",
    ] {
        let arguments: Vec<&str> = command_line.split_whitespace().collect();
        transcript += &format!("# ivyhatch {command_line}\n{}\n", output_in(folder.path(), &arguments));
    }
    assert_golden("config_files.txt", &transcript);
}
