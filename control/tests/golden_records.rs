//! Records files of a control node in `golden/`: reading each file gives the state that was written, and writing the same records
//! gives the same bytes.
//!
//! With `UPDATE_GOLDEN=1` in the environment, the tests rewrite the files of the current format. `format_1.records` was written by the
//! release before that format (commit 4761d54) from the same encoded records; this release can't write it.

use std::collections::BTreeMap;
use std::fs;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

use googletest::prelude::*;
use ivyhatch_control::Record;
use ivyhatch_control::consensus::acceptor::{AcceptOutcome, Acceptor, CommitOutcome};
use ivyhatch_control::consensus::partition_state::{
    ConfigurationState, EvacuationState, EvacuationStatus, PartitionState,
};
use ivyhatch_control::consensus::whole_values::{WholeConfiguration, to_update};
use ivyhatch_control::storage::durable_state::{DurableState, FormattedReplica};
use ivyhatch_protocol::configuration::Document;
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{AcceptedValue, Membership, Voter};
use ivyhatch_protocol::registers::{
    RegisterKey, RegisterMap, RegisterWrite, StateUpdate, UpdateBase, Version, writes_digest,
};
use ivyhatch_wal::{CompactingWal, MIN_COMPACTION_BYTES, Wal};
use speedy::{Readable, Writable};
use tempfile::TempDir;

/// The name of the records file in a control node's data folder.
const FILE_NAME: &str = "control.records";
/// The environment variable that, set to `1`, makes the tests rewrite the golden files before they compare.
const UPDATE_VARIABLE: &str = "UPDATE_GOLDEN";
/// The partition of evacuations, which change before the file is compacted.
const EVACUATIONS: PartitionId = PartitionId(3);
/// A partition with a promise and no accepted change.
const ONLY_PROMISED: PartitionId = PartitionId(6);
/// The offset of the first block in a file of the current format, in bytes.
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

fn configured() -> WholeConfiguration {
    let text =
        br#"{"revision":7,"routes":[{"name":"chat","host":"chat.example"}],"tenants":[],"owner":"platform"}"#;
    WholeConfiguration {
        document: Document::parse(text).expect("the configuration can be parsed"),
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

/// Writes in order, each of which is one block. They contain every kind of record from before registers.
fn writes() -> Vec<Vec<Record>> {
    let proposed = second_membership().with_replacement(replica(1), replica(5), "north-c");
    vec![
        vec![Record::Formatted { replica: replica(1), first_start: true }],
        vec![Record::Membership(first_membership()), Record::Joined(1)],
        vec![
            Record::Promised(PartitionId::CONFIGURATION, ballot(3)),
            Record::Promised(ONLY_PROMISED, ballot(4)),
        ],
        vec![Record::AcceptedValue(
            PartitionId::CONFIGURATION,
            accepted(3, 1, &WholeConfiguration::default()),
        )],
        vec![
            Record::Committed(PartitionId::CONFIGURATION, ballot(3), 1),
            Record::AcceptedValue(PartitionId::CONFIGURATION, accepted(5, 2, &configured())),
            Record::AcceptedValue(EVACUATIONS, accepted(4, 9, &evacuated())),
        ],
        vec![Record::AcceptedValue(PartitionId::MEMBERSHIP, accepted(4, 2, &second_membership()))],
        vec![Record::Membership(second_membership())],
        vec![
            Record::Committed(EVACUATIONS, ballot(4), 9),
            Record::Promised(EVACUATIONS, ballot(6)),
            Record::AcceptedValue(PartitionId::MEMBERSHIP, accepted(6, 3, &proposed)),
        ],
    ]
}

/// A replica that has accepted these whole values in order, and then promised a ballot.
fn acceptor(values: &[(PartitionId, AcceptedValue)], promised: u64) -> Acceptor {
    let mut acceptor = Acceptor::default();
    for (partition, value) in values {
        assert_eq!(acceptor.accept(&to_update(*partition, value)), AcceptOutcome::Accepted);
    }
    acceptor.promise(ballot(promised));
    acceptor
}

fn committed(mut acceptor: Acceptor, counter: u64, sequence: u64) -> Acceptor {
    let version = Version { ballot: ballot(counter), sequence };
    assert_eq!(acceptor.commit(version), CommitOutcome::Committed);
    acceptor
}

/// The state that results from the records of [`writes`].
fn expected_state() -> DurableState {
    let first = (PartitionId::CONFIGURATION, accepted(3, 1, &WholeConfiguration::default()));
    let second = accepted(5, 2, &configured());
    let mut configuration = committed(acceptor(&[first], 3), 3, 1);
    assert_eq!(
        configuration.accept(&to_update(PartitionId::CONFIGURATION, &second)),
        AcceptOutcome::Accepted
    );
    state_with_configuration(configuration)
}

/// The state that results from the records of [`writes`], with this acceptor for the configuration's partition.
fn state_with_configuration(configuration: Acceptor) -> DurableState {
    let proposed = second_membership().with_replacement(replica(1), replica(5), "north-c");
    let evacuations = acceptor(&[(EVACUATIONS, accepted(4, 9, &evacuated()))], 6);
    DurableState {
        replica: Some(FormattedReplica { id: replica(1), first_start: true }),
        membership: Some(second_membership()),
        joined: Some(1),
        partitions: BTreeMap::from([
            (PartitionId::CONFIGURATION, configuration),
            (EVACUATIONS, committed(evacuations, 4, 9)),
            (ONLY_PROMISED, acceptor(&[], 4)),
            (PartitionId::MEMBERSHIP, acceptor(&[(PartitionId::MEMBERSHIP, accepted(6, 3, &proposed))], 6)),
        ]),
    }
}

/// The state in a compacted file of a release before registers, which holds the last value of each partition only.
fn expected_whole_values() -> DurableState {
    let value = accepted(5, 2, &configured());
    state_with_configuration(acceptor(&[(PartitionId::CONFIGURATION, value)], 5))
}

fn update(counter: u64, sequence: u64, base: UpdateBase, writes: Vec<RegisterWrite>) -> StateUpdate {
    let digest = writes_digest(&writes);
    StateUpdate { version: Version { ballot: ballot(counter), sequence }, base, writes, digest }
}

fn zone_write(zone: &str, sequence: u64, value: Option<&[u8]>) -> RegisterWrite {
    let value = value.map(|value| value.to_vec().into());
    RegisterWrite { key: RegisterKey::Zone(zone.to_owned()), sequence, value }
}

/// Writes in order with records of registers, each of which is one block.
fn register_writes() -> Vec<Vec<Record>> {
    let first = vec![zone_write("north-a", 1, Some(b"one"))];
    let second = update(3, 2, UpdateBase::Since(1), vec![zone_write("north-b", 2, Some(b"two"))]);
    let both = [first.clone(), second.writes.clone()].concat();
    let second = StateUpdate { digest: writes_digest(&both), ..second };
    let learned = vec![zone_write("north-b", 2, Some(b"two")), zone_write("north-c", 4, Some(b"four"))];
    let removed = vec![zone_write("north-b", 5, None)];
    let removal = update(5, 5, UpdateBase::Since(4), removed);
    let removal = StateUpdate { digest: writes_digest(&learned[1..]), ..removal };
    vec![
        vec![Record::Formatted { replica: replica(1), first_start: true }],
        vec![Record::Membership(first_membership()), Record::Joined(1)],
        vec![
            Record::Promised(EVACUATIONS, ballot(3)),
            Record::AcceptedUpdate(EVACUATIONS, update(3, 1, UpdateBase::Since(0), first)),
        ],
        vec![Record::AcceptedUpdate(EVACUATIONS, second)],
        vec![Record::Committed(EVACUATIONS, ballot(3), 1)],
        vec![Record::Learned(EVACUATIONS, update(4, 4, UpdateBase::Empty, learned))],
        vec![Record::AcceptedUpdate(EVACUATIONS, removal), Record::Promised(EVACUATIONS, ballot(6))],
    ]
}

/// Records that make the file long enough to be compacted, and leave the state unchanged.
fn records_that_trigger_compaction() -> Vec<Record> {
    let long = vec![zone_write("north-a", 1, Some(&vec![0; MIN_COMPACTION_BYTES as usize]))];
    vec![Record::Learned(EVACUATIONS, update(3, 1, UpdateBase::Since(0), long))]
}

fn encode(records: &[Record]) -> Vec<Vec<u8>> {
    records.iter().map(|record| record.write_to_vec().expect("writing to memory")).collect()
}

fn decode(bytes: &[u8]) -> Record {
    let (record, length) = Record::read_with_length_from_buffer(bytes);
    assert_eq!(length, bytes.len(), "the record does not use all of its bytes");
    record.expect("the record can be decoded")
}

/// Writes to a new file in the way of a control node's disk, and returns the bytes of the file.
fn write_file(writes: &[Vec<Record>]) -> Vec<u8> {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (log, found) = Wal::open(folder.path(), FILE_NAME).expect("a new file can be opened");
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
    fs::read(folder.join(FILE_NAME)).expect("the records file can be read")
}

fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// A data folder that holds a copy of a golden file.
fn folder_with(name: &str) -> TempDir {
    let folder = tempfile::tempdir().expect("a temporary folder");
    fs::copy(golden_path(name), folder.path().join(FILE_NAME)).expect("the golden file can be copied");
    folder
}

/// Opens the file in a data folder in the way of a control node's disk, and returns its records.
fn read_records(folder: &Path) -> Vec<Record> {
    let (_, records) = Wal::open(folder, FILE_NAME).expect("the records file can be opened");
    records.iter().map(|bytes| decode(bytes)).collect()
}

fn read_state(folder: &Path) -> DurableState {
    read_records(folder).into_iter().collect()
}

/// Compares bytes with a golden file, after rewriting the file if `UPDATE_GOLDEN` is set.
fn check_bytes(name: &str, bytes: &[u8]) {
    if std::env::var(UPDATE_VARIABLE).is_ok_and(|value| value == "1") {
        fs::write(golden_path(name), bytes).expect("the golden file can be written");
    }
    let golden = fs::read(golden_path(name)).expect("the golden file can be read");
    assert!(
        golden == bytes,
        "{name}: the written bytes differ from the golden file ({} bytes, golden {} bytes)",
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
    expect_that!(read_file(folder.path()), eq(&write_file(&writes())), "reading leaves the file unchanged");
}

#[gtest]
fn compacted_file_of_a_release_before_registers_is_read() {
    let folder = folder_with("compacted.records");
    expect_that!(read_state(folder.path()), eq(&expected_whole_values()));
    let folder = folder_with("compacted_and_appended.records");
    let last = Record::Committed(PartitionId::CONFIGURATION, ballot(5), 2);
    let mut expected = expected_whole_values();
    expected.apply(last);
    expect_that!(read_state(folder.path()), eq(&expected));
    let configuration = &expected.partitions[&PartitionId::CONFIGURATION];
    expect_that!(configuration.committed(), eq(Version { ballot: ballot(5), sequence: 2 }));
}

#[gtest]
fn records_of_registers_are_written_as_the_golden_file_and_read_as_the_same_state() {
    check_bytes("registers.records", &write_file(&register_writes()));
    let folder = folder_with("registers.records");
    expect_that!(read_records(folder.path()), eq(&register_writes().concat()));
    let stored = read_state(folder.path());
    let acceptor = &stored.partitions[&EVACUATIONS];
    expect_that!(acceptor.promised(), eq(ballot(6)));
    expect_that!(acceptor.committed(), eq(Version { ballot: ballot(4), sequence: 4 }));
    expect_that!(acceptor.accepted(), eq(Version { ballot: ballot(5), sequence: 5 }));
    let values: Vec<&[u8]> = acceptor.registers().values().map(|(_, value)| &value[..]).collect();
    expect_that!(values, elements_are![eq(b"two"), eq(b"four")]);
}

#[gtest]
fn compacted_file_of_registers_is_the_golden_one_and_is_read_as_the_same_state() {
    let mut all = register_writes();
    all.push(records_that_trigger_compaction());
    check_bytes("registers_compacted.records", &write_file(&all));
    let folder = folder_with("registers_compacted.records");
    let expected: DurableState = register_writes().concat().into_iter().collect();
    expect_that!(read_records(folder.path()), eq(&expected.records()));
    expect_that!(read_state(folder.path()), eq(&expected));
}

#[gtest]
fn whole_values_are_compacted_into_registers_with_the_same_contents() {
    let stored = expected_state();
    let again: DurableState = stored.records().into_iter().collect();
    expect_that!(again, eq(&stored));
}

#[gtest]
fn file_of_the_previous_format_is_read_as_the_same_state_and_replaced_by_the_golden_one() {
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
    let registers = |partition: PartitionId| {
        RegisterMap::from_snapshot(0, stored.partitions[&partition].accepted_update(None).writes)
    };
    let read = |partition: PartitionId| PartitionState::from_registers(partition, &registers(partition));
    let configuration = PartitionState::Configuration(ConfigurationState::from(configured()));
    expect_that!(read(PartitionId::CONFIGURATION), some(eq(&configuration)));
    expect_that!(read(EVACUATIONS), some(eq(&PartitionState::Evacuations(evacuated()))));
    let registers = registers(PartitionId::MEMBERSHIP);
    let value = registers.value(&RegisterKey::Membership).expect("the membership register has a value");
    let membership = Membership::read_from_buffer(value).expect("the membership can be decoded");
    expect_that!(membership.generation, eq(3));
    expect_that!(membership.previous, eq(&second_membership().voters));
}
