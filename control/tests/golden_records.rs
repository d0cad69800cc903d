//! Records files of a control node that are kept in `golden/`: each is read as the state that was written, and the same records
//! are written as the same bytes.
//!
//! `UPDATE_GOLDEN=1` in the environment writes the files of the present format anew. `format_1.records` was written by the release
//! before that format (commit 4761d54) from the same encoded records, and can't be written by this one.

use std::collections::BTreeMap;
use std::fs;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

use googletest::prelude::*;
use ivyhatch_control::Record;
use ivyhatch_control::consensus::partition_state::{
    ConfigurationState, EvacuationState, EvacuationStatus, PartitionState,
};
use ivyhatch_control::storage::durable_state::{DurableState, FormattedReplica};
use ivyhatch_protocol::configuration::Document;
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{AcceptedValue, AcceptorState, Membership, Voter};
use ivyhatch_wal::{CompactingWal, MIN_COMPACTION_BYTES, Wal};
use speedy::{Readable, Writable};
use tempfile::TempDir;

/// The file's name in the data folder of a control node.
const FILE_NAME: &str = "control.records";
/// Set to `1` in the environment, this writes the golden files anew instead of comparing with them.
const UPDATE_VARIABLE: &str = "UPDATE_GOLDEN";
/// Holds evacuations that change before the file is compacted.
const EVACUATIONS: PartitionId = PartitionId(3);
/// Holds a promise and nothing accepted.
const ONLY_PROMISED: PartitionId = PartitionId(6);
/// The first block of a file of the present format has this offset, in bytes.
const FILE_HEADER_LENGTH: usize = 16;

fn node(last: u8) -> NodeId {
    NodeId::from(Ipv4Addr::new(10, 20, 30, last))
}

fn ballot(counter: u64) -> Ballot {
    Ballot { counter, node: node(2), incarnation: 0x0102_0304_0506_0708 }
}

fn replica(last: u8) -> ReplicaId {
    ReplicaId { node: node(last), disk: 0x1112_1314_1516_1700 + u64::from(last) }
}

fn voter(last: u8, zone: &str) -> Voter {
    Voter { replica: replica(last), zone: zone.to_owned(), joined_generation: 1 }
}

fn first_membership() -> Membership {
    let voters = vec![voter(1, "north-a"), voter(2, "north-b"), voter(3, "south-a")];
    Membership { generation: 1, voters, previous: Vec::new() }
}

fn second_membership() -> Membership {
    first_membership().with_replacement(replica(3), replica(4), "south-b")
}

fn configured() -> ConfigurationState {
    let text =
        br#"{"revision":7,"routes":[{"name":"chat","host":"chat.example"}],"tenants":[],"owner":"platform"}"#;
    ConfigurationState {
        document: Document::parse(text).expect("a readable configuration"),
        applied_digests: vec![11, 0xffee],
    }
}

fn evacuated() -> EvacuationState {
    let state = |active, change_count| EvacuationStatus { active, change_count };
    let zones = [("north-a".to_owned(), state(false, 2)), ("south-a".to_owned(), state(true, 3))];
    EvacuationState { zones: BTreeMap::from(zones) }
}

fn accepted(counter: u64, sequence: u64, value: &impl Writable<speedy::LittleEndian>) -> AcceptedValue {
    let value = value.write_to_vec().expect("writing to memory");
    AcceptedValue { ballot: ballot(counter), sequence, value }
}

/// Writes in their order, each a block; among them every kind of record.
fn writes() -> Vec<Vec<Record>> {
    let proposed = second_membership().with_replacement(replica(1), replica(5), "north-c");
    vec![
        vec![Record::Formatted { replica: replica(1), first_start: true }],
        vec![Record::Membership(first_membership()), Record::Joined(1)],
        vec![
            Record::Promised(PartitionId::CONFIGURATION, ballot(3)),
            Record::Promised(ONLY_PROMISED, ballot(4)),
        ],
        vec![Record::Accepted(PartitionId::CONFIGURATION, accepted(3, 1, &ConfigurationState::default()))],
        vec![
            Record::Committed(PartitionId::CONFIGURATION, ballot(3), 1),
            Record::Accepted(PartitionId::CONFIGURATION, accepted(5, 2, &configured())),
            Record::Accepted(EVACUATIONS, accepted(4, 9, &evacuated())),
        ],
        vec![Record::Accepted(PartitionId::MEMBERSHIP, accepted(4, 2, &second_membership()))],
        vec![Record::Membership(second_membership())],
        vec![
            Record::Committed(EVACUATIONS, ballot(4), 9),
            Record::Promised(EVACUATIONS, ballot(6)),
            Record::Accepted(PartitionId::MEMBERSHIP, accepted(6, 3, &proposed)),
        ],
    ]
}

/// What the records of [`writes`] say together.
fn expected_state() -> DurableState {
    let proposed = second_membership().with_replacement(replica(1), replica(5), "north-c");
    let state = |promised: u64, accepted: Option<AcceptedValue>| AcceptorState {
        promised: ballot(promised),
        accepted,
    };
    DurableState {
        replica: Some(FormattedReplica { id: replica(1), first_start: true }),
        membership: Some(second_membership()),
        joined: Some(1),
        partitions: BTreeMap::from([
            (PartitionId::CONFIGURATION, state(5, Some(accepted(5, 2, &configured())))),
            (EVACUATIONS, state(6, Some(accepted(4, 9, &evacuated())))),
            (ONLY_PROMISED, state(4, None)),
            (PartitionId::MEMBERSHIP, state(6, Some(accepted(6, 3, &proposed)))),
        ]),
        committed: BTreeMap::from([
            (PartitionId::CONFIGURATION, (ballot(3), 1)),
            (EVACUATIONS, (ballot(4), 9)),
        ]),
    }
}

/// A write that makes the file long enough to be compacted, and leaves the state as it was before.
fn write_that_is_compacted() -> Vec<Record> {
    let overwritten = vec![0; MIN_COMPACTION_BYTES as usize];
    vec![
        Record::Accepted(EVACUATIONS, AcceptedValue { ballot: ballot(4), sequence: 8, value: overwritten }),
        Record::Accepted(EVACUATIONS, accepted(4, 9, &evacuated())),
    ]
}

fn encode(records: &[Record]) -> Vec<Vec<u8>> {
    records.iter().map(|record| record.write_to_vec().expect("writing to memory")).collect()
}

fn decode(bytes: &[u8]) -> Record {
    let (record, length) = Record::read_with_length_from_buffer(bytes);
    assert_eq!(length, bytes.len(), "a record takes all of its bytes");
    record.expect("a record that can be read")
}

/// Writes to a new file as a control node's disk does, and returns the bytes of the file.
fn write_file(writes: &[Vec<Record>]) -> Vec<u8> {
    let folder = tempfile::tempdir().expect("a folder");
    let (log, found) = Wal::open(folder.path(), FILE_NAME).expect("a new file");
    assert!(found.is_empty());
    let (mut log, mut stored) = (CompactingWal::new(log), DurableState::default());
    for records in writes {
        records.iter().for_each(|record| stored.apply(record.clone()));
        let written = log.append(&encode(records), || encode(&stored.records())).expect("a durable write");
        assert!(written.compaction_error.is_none());
    }
    read_file(folder.path())
}

fn read_file(folder: &Path) -> Vec<u8> {
    fs::read(folder.join(FILE_NAME)).expect("the file")
}

fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// A data folder that holds a copy of a golden file.
fn folder_with(name: &str) -> TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    fs::copy(golden_path(name), folder.path().join(FILE_NAME)).expect("a golden file");
    folder
}

/// Opens the file in a data folder as a control node's disk does.
fn read_records(folder: &Path) -> Vec<Record> {
    let (_, records) = Wal::open(folder, FILE_NAME).expect("a file that can be read");
    records.iter().map(|bytes| decode(bytes)).collect()
}

fn read_state(folder: &Path) -> DurableState {
    read_records(folder).into_iter().collect()
}

/// Compares bytes with a golden file; writes it first where the environment asks for that.
fn check_bytes(name: &str, bytes: &[u8]) {
    if std::env::var(UPDATE_VARIABLE).is_ok_and(|value| value == "1") {
        fs::write(golden_path(name), bytes).expect("a folder that can be written to");
    }
    let golden = fs::read(golden_path(name)).expect("a golden file");
    assert!(
        golden == bytes,
        "{name}: other bytes are written now ({} against {})",
        bytes.len(),
        golden.len()
    );
}

#[gtest]
fn every_kind_of_record_is_written_as_the_golden_file_and_read_as_the_same_state() {
    check_bytes("appended.records", &write_file(&writes()));
    let folder = folder_with("appended.records");
    expect_that!(read_records(folder.path()), eq(&writes().concat()));
    expect_that!(read_state(folder.path()), eq(&expected_state()));
    expect_that!(read_file(folder.path()), eq(&write_file(&writes())), "reading leaves it as it was");
}

#[gtest]
fn compacted_file_is_the_golden_one_and_is_read_as_the_same_state() {
    let mut all = writes();
    all.push(write_that_is_compacted());
    check_bytes("compacted.records", &write_file(&all));
    let folder = folder_with("compacted.records");
    expect_that!(read_records(folder.path()), eq(&expected_state().records()));
    expect_that!(read_state(folder.path()), eq(&expected_state()));
}

#[gtest]
fn write_after_a_compaction_is_a_second_block_of_the_golden_file() {
    let last = Record::Committed(PartitionId::CONFIGURATION, ballot(5), 2);
    let mut all = writes();
    all.extend([write_that_is_compacted(), vec![last.clone()]]);
    check_bytes("compacted_and_appended.records", &write_file(&all));
    let folder = folder_with("compacted_and_appended.records");
    let mut expected = expected_state();
    expected.apply(last);
    expect_that!(read_state(folder.path()), eq(&expected));
    expect_that!(expected.committed[&PartitionId::CONFIGURATION], eq((ballot(5), 2)));
}

#[gtest]
fn file_of_the_format_before_is_read_as_the_same_state_and_replaced_by_the_golden_one() {
    let folder = folder_with("format_1.records");
    expect_that!(read_records(folder.path()), eq(&writes().concat()));
    let replaced = read_file(folder.path());
    check_bytes("format_1_replaced.records", &replaced);
    expect_that!(replaced.len(), gt(FILE_HEADER_LENGTH));
    expect_that!(read_state(folder.path()), eq(&expected_state()));
}

#[gtest]
fn accepted_values_of_the_golden_file_are_read_as_the_state_of_their_partitions() {
    let folder = folder_with("appended.records");
    let stored = read_state(folder.path());
    let value = |partition: PartitionId| {
        stored.partitions[&partition].accepted.as_ref().expect("a value").value.clone()
    };
    let read = |partition: PartitionId| PartitionState::decode(partition, &value(partition));
    expect_that!(read(PartitionId::CONFIGURATION), some(eq(&PartitionState::Configuration(configured()))));
    expect_that!(read(EVACUATIONS), some(eq(&PartitionState::Evacuations(evacuated()))));
    let membership = Membership::read_from_buffer(&value(PartitionId::MEMBERSHIP)).expect("a membership");
    expect_that!(membership.generation, eq(3));
    expect_that!(membership.previous, eq(&second_membership().voters));
}
