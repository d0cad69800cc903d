//! What a disk keeps.

use googletest::prelude::*;
use ivyhatch_control::Record;
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId};
use ivyhatch_simulation::disk::Disk;

fn promised(counter: u64) -> Vec<Record> {
    vec![Record::Promised(PartitionId(1), Ballot { counter, node: NodeId(1), incarnation: 1 })]
}

fn counter(disk: &Disk) -> u64 {
    disk.stored().partitions.get(&PartitionId(1)).map_or(0, |state| state.promised.counter)
}

#[gtest]
fn what_has_gathered_is_one_block_and_the_next_waits() {
    let mut disk = Disk::default();
    expect_that!(disk.begin(), eq(false));
    disk.write(1, promised(1));
    disk.write(2, promised(2));
    expect_that!(disk.begin(), eq(true));
    disk.write(3, promised(3));
    expect_that!(disk.begin(), eq(false));
    expect_that!(counter(&disk), eq(0));
    expect_that!(disk.end(), elements_are![eq(&1), eq(&2)]);
    expect_that!(counter(&disk), eq(2));
    expect_that!(disk.begin(), eq(true));
    expect_that!(disk.end(), elements_are![eq(&3)]);
}

#[gtest]
fn a_block_that_is_cut_short_is_there_whole_or_not_at_all() {
    for (present, left) in [(true, 2), (false, 1)] {
        let mut disk = Disk::default();
        disk.write(1, promised(1));
        disk.begin();
        disk.end();
        disk.write(2, promised(2));
        disk.begin();
        disk.write(3, promised(3));
        disk.cut_short(present);
        expect_that!(counter(&disk), eq(left));
        // The next process begins with an empty queue.
        expect_that!(disk.begin(), eq(false));
        disk.wipe();
        expect_that!(counter(&disk), eq(0));
    }
}
