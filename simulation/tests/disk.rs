//! Tests which writes of the simulated disk are durable, and what a crash or a wipe leaves.

use googletest::prelude::*;
use ivyhatch_control::Record;
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId};
use ivyhatch_simulation::disk::{BlockOutcome, Disk};

fn promised(counter: u64) -> Vec<Record> {
    vec![Record::Promised(PartitionId(1), Ballot { counter, node: NodeId(1), incarnation: 1 })]
}

fn counter(disk: &Disk) -> u64 {
    disk.stored().partitions.get(&PartitionId(1)).map_or(0, |state| state.promised().counter)
}

#[gtest]
fn queued_writes_are_one_block_and_later_ones_wait_for_it() {
    let mut disk = Disk::default();
    expect_that!(disk.start_write(), eq(false));
    disk.enqueue(1, promised(1));
    disk.enqueue(2, promised(2));
    expect_that!(disk.start_write(), eq(true));
    disk.enqueue(3, promised(3));
    expect_that!(disk.start_write(), eq(false));
    expect_that!(counter(&disk), eq(0));
    expect_that!(disk.complete_write(), elements_are![eq(&1), eq(&2)]);
    expect_that!(counter(&disk), eq(2));
    expect_that!(disk.start_write(), eq(true));
    expect_that!(disk.complete_write(), elements_are![eq(&3)]);
}

#[gtest]
fn block_in_progress_is_durable_as_a_whole_or_lost_after_a_crash() {
    for (fate, left) in [(BlockOutcome::Durable, 2), (BlockOutcome::Lost, 1)] {
        let mut disk = Disk::default();
        disk.enqueue(1, promised(1));
        disk.start_write();
        disk.complete_write();
        disk.enqueue(2, promised(2));
        disk.start_write();
        disk.enqueue(3, promised(3));
        disk.crash(fate);
        expect_that!(counter(&disk), eq(left));
        // The next process starts with an empty queue.
        expect_that!(disk.start_write(), eq(false));
        disk.wipe();
        expect_that!(counter(&disk), eq(0));
    }
}
