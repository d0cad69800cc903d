//! The command `ivyhatch config`, and a node that runs with an operators' configuration file.

mod common;

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Output, Stdio};

use common::{KillOnDrop, server_entry, single_instance_config};
use ivyhatch_socket_lab::scripted::{Backend, BackendReply, Client, Discovery, ok};
use serde_json::{Value, json};

fn run_ivyhatch(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ivyhatch"))
        .args(arguments)
        .output()
        .expect("the ivyhatch program can be run")
}

#[test]
fn mistakes_are_reported_as_text_and_json_and_by_the_exit_code() {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), single_instance_config("nowhere").replace("zones", "zoness")).unwrap();
    let path = file.path().to_str().unwrap();
    let text_output = run_ivyhatch(&["config", "check", path]);
    let error_text = String::from_utf8(text_output.stderr).unwrap();
    assert_eq!(text_output.status.code(), Some(3), "exit code of `config check`: {error_text}");
    assert!(
        error_text.contains(":5:1: fleet.zoness: unknown field; wanted: did you mean \"zones\"?"),
        "{error_text}"
    );
    assert!(error_text.contains("fleet.discovery") && error_text.ends_with("4 mistakes\n"), "{error_text}");
    let json_output = run_ivyhatch(&["config", "show", path, "--json"]);
    assert_eq!(json_output.status.code(), Some(3));
    let reported: Vec<Value> =
        json_output.stdout.lines().map(|line| serde_json::from_str(&line.unwrap()).unwrap()).collect();
    assert_eq!((reported.len(), &reported[1]["field"]), (4, &json!("fleet.zoness")), "{reported:?}");
    assert_eq!(reported[1]["at"]["file"]["line"], 5);
    let without_instance = run_ivyhatch(&["node", "--config", path]);
    assert_eq!(without_instance.status.code(), Some(2), "exit code of `node --config` without `--instance`");
}

#[test]
fn deploy_configuration_is_valid_and_config_fields_lists_its_fields() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/ivyhatch.toml");
    let output = run_ivyhatch(&["config", "show", "--origin", file.to_str().unwrap()]);
    let settings_text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success());
    let line = settings_text
        .lines()
        .find(|line| line.starts_with("limits.sockets = 1024"))
        .expect("the settings contain limits.sockets");
    assert!(line.ends_with("# default"), "origin of the setting: {line}");
    let fields = String::from_utf8(run_ivyhatch(&["config", "fields"]).stdout).unwrap();
    let setting_names = settings_text.lines().filter_map(|line| line.split(" = ").next());
    for setting in setting_names.filter(|setting| !setting.contains('[')) {
        assert!(fields.contains(&format!("{setting}: ")), "`config fields` does not list {setting}");
    }
}

#[test]
fn node_keeps_its_configuration_when_a_reload_finds_the_file_invalid() {
    let backend = Backend::new(|_| BackendReply::Write(ok("served")));
    let discovery = Discovery::new(json!([server_entry("s-0", &backend, "a")]));
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), single_instance_config(&discovery.address.to_string())).unwrap();
    let unknown_instance =
        run_ivyhatch(&["node", "--config", file.path().to_str().unwrap(), "--instance", "b-1"]);
    assert_eq!(unknown_instance.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&unknown_instance.stderr).contains("no instance \"b-1\"; there are a-1"));
    let child = Command::new(env!("CARGO_BIN_EXE_ivyhatch"))
        .args(["node", "--instance", "a-1", "--config"])
        .arg(file.path())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn();
    let mut node = KillOnDrop(child.unwrap());
    let mut log = BufReader::new(node.0.stderr.take().unwrap())
        .lines()
        .map(|line| serde_json::from_str::<Value>(&line.unwrap()).expect("each log line is a JSON object"));
    // Reads the log up to the next message that contains this text, and returns the message.
    let mut wait_for_message = |text: &str| {
        let line =
            log.find(|line| line["fields"]["message"].as_str().is_some_and(|message| message.contains(text)));
        let line = line.expect(text);
        assert_eq!(line["span"]["instance"], "a-1", "instance in the span of a log line: {line}");
        line["fields"]["message"].as_str().unwrap().to_owned()
    };
    let address = wait_for_message("listening on ").split_once("listening on ").unwrap().1.parse().unwrap();
    discovery.wait_for_watch_from(1);
    let request =
        "GET /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: 1\r\nX-Call-Class: find\r\nX-Budget-Ms: 2000\r\n\r\n";
    assert_eq!(Client::connect(address).round_trip(request).expect("the node responds").status(), 200);
    std::fs::write(file.path(), single_instance_config("nowhere")).unwrap();
    let send_signal = |signal_name: &str| {
        Command::new("kill").args([signal_name, &node.0.id().to_string()]).status().unwrap().success()
    };
    assert!(send_signal("-HUP"));
    assert!(wait_for_message("configuration reload failed").contains("fleet.discovery"));
    let second_request = request.replace("Id: 1", "Id: 2");
    assert_eq!(
        Client::connect(address).round_trip(&second_request).expect("the node responds").status(),
        200
    );
    assert!(send_signal("-TERM"));
    assert_eq!(node.0.wait().unwrap().code(), Some(0));
}
