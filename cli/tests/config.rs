//! `ivyhatch config` and a node that runs from the operators' file.

mod common;

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Output, Stdio};

use common::{KillOnDrop, fleet, listed};
use ivyhatch_socket_lab::scripted::{Backend, BackendReply, Client, Discovery, ok};
use serde_json::{Value, json};

fn ivyhatch(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ivyhatch")).args(arguments).output().expect("it starts")
}

#[test]
fn mistakes_are_reported_as_text_and_json_and_by_the_exit_code() {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), fleet("nowhere").replace("zones", "zoness")).unwrap();
    let path = file.path().to_str().unwrap();
    let plain = ivyhatch(&["config", "check", path]);
    let text = String::from_utf8(plain.stderr).unwrap();
    assert_eq!(plain.status.code(), Some(3), "{text}");
    assert!(text.contains(":5:1: fleet.zoness: unknown field; wanted: did you mean \"zones\"?"), "{text}");
    assert!(text.contains("fleet.discovery") && text.ends_with("4 mistakes\n"), "{text}");
    let lines = ivyhatch(&["config", "show", path, "--json"]);
    assert_eq!(lines.status.code(), Some(3));
    let reported: Vec<Value> =
        lines.stdout.lines().map(|line| serde_json::from_str(&line.unwrap()).unwrap()).collect();
    assert_eq!((reported.len(), &reported[1]["field"]), (4, &json!("fleet.zoness")), "{reported:?}");
    assert_eq!(reported[1]["at"]["file"]["line"], 5);
    let none = ivyhatch(&["node", "--config", path]);
    assert_eq!(none.status.code(), Some(2), "an instance has to be named");
}

#[test]
fn deploy_file_of_the_repository_is_valid_and_its_fields_are_listed() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/ivyhatch.toml");
    let shown = ivyhatch(&["config", "show", "--origin", file.to_str().unwrap()]);
    let text = String::from_utf8(shown.stdout).unwrap();
    assert!(shown.status.success());
    let line = text.lines().find(|line| line.starts_with("limits.sockets = 1024")).expect("a line");
    assert!(line.ends_with("# default"), "{line}");
    let fields = String::from_utf8(ivyhatch(&["config", "fields"]).stdout).unwrap();
    let settings = text.lines().filter_map(|line| line.split(" = ").next());
    for setting in settings.filter(|setting| !setting.contains('[')) {
        assert!(fields.contains(&format!("{setting}: ")), "{setting}");
    }
}

#[test]
fn node_keeps_its_configuration_when_a_reload_finds_the_file_invalid() {
    let backend = Backend::new(|_| BackendReply::Write(ok("served")));
    let discovery = Discovery::new(json!([listed("s-0", &backend, "a")]));
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), fleet(&discovery.address.to_string())).unwrap();
    let wrong = ivyhatch(&["node", "--config", file.path().to_str().unwrap(), "--instance", "b-1"]);
    assert_eq!(wrong.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&wrong.stderr).contains("no instance \"b-1\"; there are a-1"));
    let child = Command::new(env!("CARGO_BIN_EXE_ivyhatch"))
        .args(["node", "--instance", "a-1", "--config"])
        .arg(file.path())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn();
    let mut node = KillOnDrop(child.unwrap());
    let mut log = BufReader::new(node.0.stderr.take().unwrap())
        .lines()
        .map(|line| serde_json::from_str::<Value>(&line.unwrap()).expect("each line is an object"));
    let mut says = |word: &str| {
        let line =
            log.find(|line| line["fields"]["message"].as_str().is_some_and(|text| text.contains(word)));
        let line = line.expect(word);
        assert_eq!(line["span"]["instance"], "a-1", "{line}");
        line["fields"]["message"].as_str().unwrap().to_owned()
    };
    let at = says("listening on ").split_once("listening on ").unwrap().1.parse().unwrap();
    discovery.wait_for_watch_from(1);
    let get =
        "GET /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: 1\r\nX-Call-Class: find\r\nX-Budget-Ms: 2000\r\n\r\n";
    assert_eq!(Client::connect(at).round_trip(get).expect("an answer").status(), 200);
    std::fs::write(file.path(), fleet("nowhere")).unwrap();
    let signal =
        |name: &str| Command::new("kill").args([name, &node.0.id().to_string()]).status().unwrap().success();
    assert!(signal("-HUP"));
    assert!(says("configuration reload failed").contains("fleet.discovery"));
    let again = get.replace("Id: 1", "Id: 2");
    assert_eq!(Client::connect(at).round_trip(&again).expect("an answer").status(), 200);
    assert!(signal("-TERM"));
    assert_eq!(node.0.wait().unwrap().code(), Some(0));
}
