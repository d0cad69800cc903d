//! Tests of the encoding of a control node's stored state: any bytes are either rejected or decoded to a value that round-trips.
//!
//! A longer run: `PROPTEST_CASES=100000 cargo test --release -p ivyhatch-system --test stored_codecs`.

use googletest::prelude::*;
use ivyhatch_control::Record;
use ivyhatch_control::consensus::partition_state::{EvacuationState, EvacuationStatus};
use ivyhatch_control::consensus::whole_values::{WholeConfiguration, to_update, to_whole_value};
use ivyhatch_protocol::configuration::Document;
use ivyhatch_protocol::ids::{Ballot, PartitionId};
use ivyhatch_protocol::peer::AcceptedValue;
use ivyhatch_protocol::registers::StateUpdate;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use speedy::{LittleEndian, Readable, Writable};

/// Checks that bytes that decode as `T` round-trip. Returns whether the bytes decode.
fn check<T>(bytes: &[u8]) -> std::result::Result<bool, TestCaseError>
where
    T: for<'a> Readable<'a, LittleEndian> + Writable<LittleEndian> + PartialEq + std::fmt::Debug,
{
    let Ok(value) = T::read_from_buffer(bytes) else { return Ok(false) };
    let written = value.write_to_vec().expect("writing to memory");
    prop_assert_eq!(T::read_from_buffer(&written).expect("its own bytes"), value);
    Ok(true)
}

fn check_all(bytes: &[u8]) -> std::result::Result<(), TestCaseError> {
    check::<Record>(bytes)?;
    check::<StateUpdate>(bytes)?;
    check::<WholeConfiguration>(bytes)?;
    check::<EvacuationState>(bytes)?;
    for partition in [PartitionId::CONFIGURATION, PartitionId(1), PartitionId::MEMBERSHIP] {
        check_whole_value(partition, bytes)?;
    }
    Ok(())
}

/// Checks that a whole value that is converted to registers, back to a value and again to registers yields the same registers. The
/// bytes of the value need not be decodable.
fn check_whole_value(partition: PartitionId, bytes: &[u8]) -> std::result::Result<(), TestCaseError> {
    let value = AcceptedValue { ballot: Ballot::default(), sequence: 3, value: bytes.to_vec() };
    let update = to_update(partition, &value);
    let Some(again) = to_whole_value(partition, update.clone()) else {
        // Not convertible back: of two items with the same name, the registers hold only one.
        prop_assert_ne!(partition, PartitionId::MEMBERSHIP);
        return Ok(());
    };
    prop_assert_eq!(to_update(partition, &again).digest, update.digest);
    Ok(())
}

/// One encoded value of each stored type.
fn samples() -> Vec<Vec<u8>> {
    let document =
        Document::parse(br#"{"revision":7,"routes":[{"name":"a"},{"name":"b"}],"limits":{"x":1}}"#)
            .expect("a readable configuration");
    let configured = WholeConfiguration { document, applied_digests: vec![1, 2, 3] };
    let mut evacuated = EvacuationState::default();
    evacuated.zones.insert("za".to_owned(), EvacuationStatus { active: true, change_count: 3 });
    evacuated.zones.insert("zb".to_owned(), EvacuationStatus { active: false, change_count: 2 });
    vec![
        Record::Promised(PartitionId(1), Ballot::default()).write_to_vec().expect("bytes"),
        configured.write_to_vec().expect("bytes"),
        evacuated.write_to_vec().expect("bytes"),
    ]
}

proptest! {
    #[test]
    fn any_bytes_are_rejected_or_round_trip(
        bytes in vec(prop_oneof![3 => Just(0_u8), 3 => 0..12_u8, 1 => any::<u8>()], 0..160),
    ) {
        check_all(&bytes)?;
    }

    #[test]
    fn corrupted_bytes_are_rejected_or_round_trip(
        which in any::<Index>(),
        at in any::<Index>(),
        with in vec(any::<u8>(), 0..5),
        length in any::<Index>(),
    ) {
        let samples = samples();
        let mut bytes = samples[which.index(samples.len())].clone();
        let at = at.index(bytes.len());
        let end = bytes.len().min(at + with.len());
        bytes[at..end].copy_from_slice(&with[..end - at]);
        check_all(&bytes)?;
        bytes.truncate(length.index(bytes.len()));
        check_all(&bytes)?;
    }
}

#[gtest]
fn samples_round_trip() {
    let samples = samples();
    expect_that!(check::<Record>(&samples[0]), ok(eq(&true)));
    expect_that!(check::<WholeConfiguration>(&samples[1]), ok(eq(&true)));
    expect_that!(check::<EvacuationState>(&samples[2]), ok(eq(&true)));
}
