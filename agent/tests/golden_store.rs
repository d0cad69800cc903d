//! Golden tests of the agent's durable store: its tables as text, the content read from them, and a store file that an earlier build
//! has written.

#[path = "../../cli/tests/golden/mod.rs"]
mod golden;

use std::path::Path;
use std::sync::OnceLock;

use golden::{assert_golden, golden_path, is_update, read_golden};
use ivyhatch_agent::{AuditRecord, Change, Command, DesiredEntry, DesiredState, Outcome, Rejection, Store};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde_json::json;

const DESIRED_TABLE: &str = "desired";
const COMMANDS_TABLE: &str = "commands";
const AUDIT_TABLE: &str = "audit";
const META_TABLE: &str = "meta";

/// Golden file with the tables as text.
const TABLES_FILE: &str = "store_tables.txt";
/// Golden file with the content that is read from the tables.
const CONTENT_FILE: &str = "store_content.txt";
/// Golden store file, written by the same build as the golden texts.
const STORE_FILE: &str = "store.redb";

fn command(id: &str, requested_by: &str, base: u64, changes: &[(&str, DesiredState)]) -> Command {
    let change = |&(instance, desired_state): &(&str, DesiredState)| Change {
        instance: instance.to_owned(),
        desired_state,
    };
    Command {
        id: id.to_owned(),
        requested_by: requested_by.to_owned(),
        base_revision: base,
        changes: changes.iter().map(change).collect(),
        at_unix_ms: 1_700_000_000_000 + base,
    }
}

/// Commands with each kind of change and each kind of outcome that is stored.
fn commands() -> Vec<Command> {
    let all =
        [("a-1", DesiredState::Running), ("a-2", DesiredState::Drained), ("b-1", DesiredState::Stopped)];
    vec![
        command("c-1/a-1", "ops-1", 0, &all),
        command("c-2/a-2", "ops-2", 0, &[("a-2", DesiredState::Stopped)]),
        command("c-3/a-2", "ops-2", 1, &[("a-2", DesiredState::Stopped)]),
        command("c-4/a-1", "ops-\u{e9}\"", 9, &[("a-1", DesiredState::Drained)]),
        command("c-5", "ops-1", 2, &[]),
    ]
}

/// Writes a store with the product's code.
fn write_store(path: &Path) {
    let store = Store::open(path).expect("the store opens");
    for command in commands() {
        store.apply(&command).expect("the command is written");
    }
}

/// The tables of a store as text, read without the product's code: a line for each table and each entry.
fn tables(path: &Path) -> String {
    let database = Database::open(path).expect("the store opens");
    let transaction = database.begin_read().expect("the database can be read");
    let mut text = String::new();
    for name in [DESIRED_TABLE, COMMANDS_TABLE] {
        let table = transaction.open_table(TableDefinition::<&str, &str>::new(name)).expect("a table");
        text += &format!("[{name}]\n");
        for entry in table.iter().expect("entries") {
            let (key, value) = entry.expect("an entry");
            text += &format!("{} = {}\n", key.value(), value.value());
        }
    }
    let table = transaction.open_table(TableDefinition::<u64, &str>::new(AUDIT_TABLE)).expect("a table");
    text += &format!("[{AUDIT_TABLE}]\n");
    for entry in table.iter().expect("entries") {
        let (key, value) = entry.expect("an entry");
        text += &format!("{} = {}\n", key.value(), value.value());
    }
    let table = transaction.open_table(TableDefinition::<&str, u64>::new(META_TABLE)).expect("a table");
    text += &format!("[{META_TABLE}]\n");
    for entry in table.iter().expect("entries") {
        let (key, value) = entry.expect("an entry");
        text += &format!("{} = {}\n", key.value(), value.value());
    }
    text
}

/// Writes tables from their text, without the product's code.
fn write_tables(path: &Path, text: &str) {
    let database = Database::create(path).expect("the database can be created");
    let transaction = database.begin_write().expect("the database can be written");
    let mut table_name = "";
    for line in text.lines() {
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
            table_name = name;
            continue;
        }
        let (key, value) = line.split_once(" = ").expect("a key and its value");
        match table_name {
            AUDIT_TABLE => {
                let mut table =
                    transaction.open_table(TableDefinition::<u64, &str>::new(AUDIT_TABLE)).expect("a table");
                table.insert(key.parse::<u64>().expect("a number"), value).expect("written");
            }
            META_TABLE => {
                let mut table =
                    transaction.open_table(TableDefinition::<&str, u64>::new(META_TABLE)).expect("a table");
                table.insert(key, value.parse::<u64>().expect("a number")).expect("written");
            }
            name => {
                let mut table =
                    transaction.open_table(TableDefinition::<&str, &str>::new(name)).expect("a table");
                table.insert(key, value).expect("written");
            }
        }
    }
    transaction.commit().expect("committed");
}

/// The content of a store as the product's code reads it, and the outcomes of repeated commands.
fn content(path: &Path) -> String {
    let store = Store::open(path).expect("the store opens");
    let mut text = format!("revision {}\n", store.revision().expect("the store is read"));
    text += &format!("desired {}\n", json!(store.desired().expect("the store is read")));
    for instance in ["a-1", "a-2", "b-1", "nobody"] {
        text +=
            &format!("entry of {instance} {}\n", json!(store.entry(instance).expect("the store is read")));
    }
    for from in [0, 3] {
        for line in store.audit(from).expect("the store is read") {
            text += &format!("audit from {from} {}\n", json!(line));
        }
    }
    // A repeated command gets its first outcome; another command with a used id is rejected.
    for command in commands() {
        let outcome = store.apply(&command).expect("the store is read");
        text += &format!("again {} {}\n", command.id, json!(outcome));
    }
    let other = command("c-1/a-1", "ops-3", 0, &[]);
    text += &format!("again by another {}\n", json!(store.apply(&other).expect("the store is read")));
    text
}

/// The golden texts of the tables and of their content; an update run rewrites the golden files first.
fn golden_texts() -> &'static (String, String) {
    static TEXTS: OnceLock<(String, String)> = OnceLock::new();
    TEXTS.get_or_init(|| {
        if is_update() {
            let folder = tempfile::tempdir().expect("a folder");
            let path = folder.path().join("store.redb");
            write_store(&path);
            Database::open(&path).expect("the store opens").compact().expect("the store is compacted");
            assert_golden(TABLES_FILE, &tables(&path));
            std::fs::copy(&path, golden_path(STORE_FILE)).expect("the golden file can be written");
            assert_golden(CONTENT_FILE, &content(&path));
        }
        (read_golden(TABLES_FILE), read_golden(CONTENT_FILE))
    })
}

/// Asserts that a store has the golden tables and content.
fn assert_golden_store(path: &Path) {
    let (golden_tables, golden_content) = golden_texts();
    assert_eq!(&tables(path), golden_tables);
    assert_eq!(&content(path), golden_content);
    assert_eq!(&tables(path), golden_tables, "reading has changed nothing");
}

#[test]
fn written_store_has_the_golden_tables_and_content() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("store.redb");
    write_store(&path);
    assert_golden_store(&path);
}

#[test]
fn golden_tables_are_read() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("store.redb");
    write_tables(&path, &golden_texts().0);
    assert_golden_store(&path);
}

#[test]
fn golden_store_file_is_read() {
    golden_texts();
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("store.redb");
    // The test opens a copy, as opening a store may write to its file.
    std::fs::copy(golden_path(STORE_FILE), &path).expect("a golden file: write it with UPDATE_GOLDEN=1");
    assert_golden_store(&path);
}

/// Encodes and decodes each kind of entry as JSON.
#[test]
fn entries_are_encoded_as_before() {
    let entry = DesiredEntry {
        desired_state: DesiredState::Drained,
        revision: 3,
        command: "c-3".to_owned(),
        requested_by: "ops-1".to_owned(),
    };
    let conflict = Rejection::Conflict { instance: "a-1".to_owned(), other: entry.clone() };
    let outcomes = [
        Outcome::Applied { revision: 7 },
        Outcome::Rejected(conflict),
        Outcome::Rejected(Rejection::UnknownBaseRevision { revision: 8 }),
        Outcome::Rejected(Rejection::IdTaken { requested_by: "ops-2".to_owned() }),
    ];
    let desired_states = [DesiredState::Running, DesiredState::Drained, DesiredState::Stopped];
    let mut text = desired_states.map(|state| format!("{}\n", json!(state))).concat();
    text += &format!("{}\n", json!(entry));
    for outcome in outcomes {
        let written = AuditRecord { command: commands()[0].clone(), outcome };
        let line = json!(written).to_string();
        assert_eq!(serde_json::from_str::<AuditRecord>(&line).expect("the JSON is decoded"), written);
        text += &format!("{line}\n");
    }
    assert_golden("store_entries.txt", &text);
    let golden = read_golden("store_entries.txt");
    let lines: Vec<&str> = golden.lines().collect();
    for (line, state) in lines.iter().zip(desired_states) {
        assert_eq!(serde_json::from_str::<DesiredState>(line).expect("the JSON is decoded"), state);
    }
    assert_eq!(
        serde_json::from_str::<DesiredEntry>(lines[desired_states.len()]).expect("the JSON is decoded"),
        entry
    );
}
